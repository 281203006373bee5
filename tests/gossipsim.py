"""Pure gossip objects of many daemons, driven by a loop, for tests."""

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
    lines = [{"caller": f"c-{n}", "kind": "*"} | fields for n in range(rows)]
    return json.dumps({"version": version, "rows": lines})


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


def make_settings(line, **parts):
    endpoint = {"host": line.host, "port": line.link_port}
    target = {
        "name": line.target,
        "service": line.service,
        "failure_domain": line.failure_domain,
        "endpoint": endpoint,
    }
    document = {"target": target, "entry": endpoint, "link": endpoint}
    return settings_lib.Settings.model_validate(document | parts)


class SimulatedDaemon:
    """The pure parts of one daemon."""

    def __init__(self, line, seed, **parts):
        self.line = line
        self.settings = make_settings(line, **parts)
        self.view = fleet.FleetView()
        self.store = table.TableStore(self.settings.mechanisms.table_order)
        self.rng = random.Random(seed)
        self.gossip = gossip.Gossip(
            self.settings, f"{seed:016x}", self.view, self.store, self.rng
        )
        self.phase = self.rng.randrange(5)


class SimulatedFleet:
    """Daemons and a transport that counts, loses and cuts."""

    def __init__(self, count, domains, **parts):
        self.members = [make_member(number, domains) for number in range(count)]
        self.daemons = {
            line.target: SimulatedDaemon(line, number + 1, **parts)
            for number, line in enumerate(self.members)
        }
        self.now_ms = 0.0
        self.rng = random.Random(7)
        self.loss = 0.0
        self.cut = lambda sender, receiver: False
        self.bytes = collections.Counter()
        # Parsing the list 450 times would take most of the time.
        listing = fleet.MemberList(1, self.members)
        text = list_text(1, self.members)
        for daemon in self.daemons.values():
            daemon.view.apply_list(listing, 0.0)
            daemon.gossip.list_text = text
            daemon.gossip.offer_table(table_text(1), "platform", 0.0)
            daemon.gossip.set_state("ready", 0.0)

    def restart(self, target, **parts):
        old = self.daemons[target]
        seed = self.rng.getrandbits(32)
        self.daemons[target] = SimulatedDaemon(old.line, seed, **parts)
        return self.daemons[target]

    def deliver(self, sender, outgoing):
        """Delivers messages and all that follows from them."""
        queue = collections.deque(
            (sender, item.member.target, item.message) for item in outgoing
        )
        while queue:
            source, target, message = queue.popleft()
            data = messages.encode(message)
            size = len(data)
            self.bytes[source] += size
            self.bytes[target] += size
            lost = self.rng.random() < self.loss or self.cut(source, target)
            if lost or target not in self.daemons:
                continue
            reaction = self.daemons[target].gossip.on_message(
                messages.decode(data), source, self.now_ms
            )
            for reply in reaction.replies:
                queue.append((target, source, reply))
            for push in reaction.pushes:
                queue.append((target, push.member.target, push.message))

    def step(self):
        """Lets STEP_MS pass; a fifth of the daemons has its round."""
        self.now_ms += STEP_MS
        phase = int(self.now_ms / STEP_MS) % 5
        for target, daemon in list(self.daemons.items()):
            if daemon.phase == phase:
                self.deliver(target, daemon.gossip.next_round(self.now_ms))

    def run_until(self, condition, limit_ms):
        """Steps until the condition holds; returns the time in ms or None."""
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                return None
            self.step()
        return self.now_ms - start_ms

    def versions(self):
        return {daemon.store.version for daemon in self.daemons.values()}
