"""Simulation of the gossip of many daemons in virtual time, for tests."""

import collections
import json
import random

import msgspec

from mimosahaven import fleet
from mimosahaven import gossip
from mimosahaven import messages
from mimosahaven import settings as settings_lib
from mimosahaven import table

STEP_MS = 100


def table_text(version, rows=20, weight=10):
    fields = {"weight": weight, "idempotent": True, "deadline_ms": 1000}
    row_dicts = [
        {"caller": f"c-{n}", "kind": "*"} | fields for n in range(rows)
    ]
    return json.dumps({"version": version, "rows": row_dicts})


def list_text(version, members):
    listing = fleet.MemberList(version, members)
    return msgspec.json.encode(listing).decode()


def make_member(number, domains):
    return fleet.Member(
        f"katalog-{number}",
        f"service-{number % 25}",
        f"domain-{number % domains}",
        "region",
        f"127.0.{number // 200}.{number % 200 + 1}",
        7000,
        7001,
    )


def make_settings(vm, **overrides):
    endpoint = {"host": vm.host, "port": vm.link_port}
    target = {
        "name": vm.target,
        "service": vm.service,
        "failure_domain": vm.failure_domain,
        "endpoint": endpoint,
    }
    document = {"target": target, "entry": endpoint, "link": endpoint}
    return settings_lib.Settings.model_validate(document | overrides)


class SimulatedDaemon:
    """The gossip components of one daemon, without I/O."""

    def __init__(self, vm, seed, **overrides):
        self.vm = vm
        self.settings = make_settings(vm, **overrides)
        self.fleet_view = fleet.FleetView()
        self.store = table.TableStore(self.settings.mechanisms.table_order)
        self.rng = random.Random(seed)
        self.gossip = gossip.Gossip(
            self.settings, f"{seed:016x}", self.fleet_view, self.store, self.rng
        )
        self.round_phase = self.rng.randrange(5)


class SimulatedFleet:
    """Simulated daemons and a network between them.

    The network counts bytes, loses messages and can be partitioned.
    """

    def __init__(self, count, domains, **overrides):
        self.members = [make_member(number, domains) for number in range(count)]
        self.daemons = {
            vm.target: SimulatedDaemon(vm, number + 1, **overrides)
            for number, vm in enumerate(self.members)
        }
        self.now_ms = 0.0
        self.rng = random.Random(7)
        self.loss = 0.0
        self.is_partitioned = lambda sender, receiver: False
        self.bytes = collections.Counter()
        # Parsing the list once per daemon would dominate the run time.
        listing = fleet.MemberList(1, self.members)
        text = list_text(1, self.members)
        for daemon in self.daemons.values():
            daemon.fleet_view.apply_list(listing, 0.0)
            daemon.gossip.list_text = text
            daemon.gossip.offer_table(table_text(1), "platform", 0.0)
            daemon.gossip.set_state("ready", 0.0)

    def restart(self, target, **overrides):
        old = self.daemons[target]
        seed = self.rng.getrandbits(32)
        self.daemons[target] = SimulatedDaemon(old.vm, seed, **overrides)
        return self.daemons[target]

    def deliver(self, sender, outgoing):
        """Delivers messages and all replies and pushes that they cause."""
        queue = collections.deque(
            (sender, item.member.target, item.message) for item in outgoing
        )
        while queue:
            source, target, message = queue.popleft()
            data = messages.encode(message)
            size = len(data)
            self.bytes[source] += size
            self.bytes[target] += size
            lost = self.rng.random() < self.loss or self.is_partitioned(
                source, target
            )
            if lost or target not in self.daemons:
                continue
            effects = self.daemons[target].gossip.on_message(
                messages.decode(data), source, self.now_ms
            )
            for reply in effects.replies:
                queue.append((target, source, reply))
            for push in effects.pushes:
                queue.append((target, push.member.target, push.message))

    def step(self):
        """Advances the time by STEP_MS; a fifth of the daemons gossip."""
        self.now_ms += STEP_MS
        round_phase = int(self.now_ms / STEP_MS) % 5
        for target, daemon in list(self.daemons.items()):
            if daemon.round_phase == round_phase:
                self.deliver(target, daemon.gossip.next_round(self.now_ms))

    def run_until(self, condition, limit_ms):
        """Steps until the condition holds; returns the time in ms, or None."""
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                return None
            self.step()
        return self.now_ms - start_ms

    def versions(self):
        return {daemon.store.version for daemon in self.daemons.values()}
