"""Tests of mimosahaven.membership."""

import asyncio
import contextlib
import random

import testtools
from testtools import matchers

from mimosahaven import clock
from mimosahaven import membership
from tests import gossipsim
from tests import test_platformclient

TIMEOUT_S = 30
DAEMON_COUNT = 4
FAST_GOSSIP = {"interval_ms": 50, "retry_ms": 100, "read_timeout_ms": 300}


class Network:
    """An in-process network of memberships, by link address."""

    def __init__(self):
        self.by_address = {}
        self.events = []
        self.members = [
            gossipsim.make_member(n, 2) for n in range(DAEMON_COUNT + 1)
        ]

    def add(self, number, gossip=None, **overrides):
        """Adds a membership; it replaces the one with the same number."""
        vm = self.members[number]
        address = (vm.host, vm.link_port)
        settings = gossipsim.make_settings(
            vm, gossip=FAST_GOSSIP | (gossip or {}), **overrides
        )
        added = membership.Membership(
            settings,
            f"{number:016x}",
            random.Random(number),
            InProcessTransport(self, address),
            on_table=lambda table: self.events.append((number, table.version)),
            on_fleet_view=lambda: None,
        )
        self.by_address[address] = added
        return added

    def publish(self, publisher, version):
        """Puts a table and the list in force at one membership."""
        now_ms = clock.monotonic_ms()
        text = gossipsim.list_text(5, self.members)
        publisher.gossip.offer_list(text, now_ms)
        text = gossipsim.table_text(version)
        publisher.gossip.offer_table(text, "platform", now_ms)


class InProcessTransport:
    """Transport of one membership; delivers messages in the same process."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def send(self, member, message):
        self.deliver((member.host, member.link_port), message)

    def deliver(self, address, message):
        asyncio.get_running_loop().call_soon(self.deliver_now, address, message)

    def deliver_now(self, address, message):
        receiver = self.network.by_address.get(address)
        if receiver is None:
            return
        reply_transport = InProcessTransport(self.network, address)
        receiver.on_message(
            message,
            lambda reply: reply_transport.deliver(self.address, reply),
            clock.monotonic_ms(),
        )


@contextlib.asynccontextmanager
async def start_all(*memberships):
    for one in memberships:
        await one.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield
    finally:
        for one in memberships:
            await one.stop()


class MembershipTest(testtools.TestCase):
    async def restart_with_stale_platform(self, **overrides):
        """Returns the status of a daemon restarted with a stale platform."""
        async with test_platformclient.open_reader() as platform:
            network = Network()
            stale_list = gossipsim.list_text(4, network.members)
            await platform.put("/v1/vms", data=stale_list)
            for version in (3, 9):
                text = gossipsim.table_text(version)
                await platform.put("/v1/table", data=text)
            await platform.set_faults(frozen_table_version=3)
            old = [network.add(number) for number in range(DAEMON_COUNT)]
            for one in old:
                network.publish(one, 9)
            network.events.clear()
            new = network.add(
                DAEMON_COUNT, platform=platform.endpoint, **overrides
            )
            async with start_all(*old, new):
                await new.ready.wait()
                return new.status(clock.monotonic_ms())

    def test_restart_with_stale_platform_keeps_newer_table(self):
        status = asyncio.run(self.restart_with_stale_platform())
        self.assertThat(status.table_version, matchers.Equals(9))
        self.assertThat(status.list_version, matchers.Equals(5))

    def test_restart_without_gossip_takes_stale_table(self):
        status = asyncio.run(
            self.restart_with_stale_platform(mechanisms={"gossip": False})
        )
        self.assertThat(status.table_version, matchers.Equals(3))

    def test_seed_brings_table_and_list_without_platform(self):
        async def scenario():
            network = Network()
            old = network.add(0)
            network.publish(old, 7)
            seed = network.members[0]
            seeds = [{"host": seed.host, "port": seed.link_port}]
            new = network.add(1, seeds=seeds)
            async with start_all(old, new):
                await new.ready.wait()
                await test_platformclient.wait_until(
                    lambda: (1, 7) in network.events
                )
            self.assertThat(new.fleet_view.version, matchers.Equals(5))

        asyncio.run(scenario())

    def test_ready_without_any_reply(self):
        # A daemon that starts during an outage must not wait forever.
        async def scenario():
            new = Network().add(0, gossip={"join_wait_ms": 100})
            async with start_all(new):
                await new.ready.wait()
            self.assertThat(new.store.version, matchers.Equals(0))

        asyncio.run(scenario())

    def test_refresh_counts_only_later_replies(self):
        # Digests queued during a pause carry old versions.
        async def scenario():
            network = Network()
            old, new = network.add(0), network.add(1)
            for one in (old, new):
                network.publish(one, 7)
            now_ms = clock.monotonic_ms()
            late_digest = old.gossip.digest(now_ms, echo_ms=now_ms - 1)
            new.refresh(now_ms)
            new.on_message(late_digest, lambda reply: None, now_ms)
            self.assertFalse(new.fresh.is_set())
            async with asyncio.timeout(TIMEOUT_S):
                await new.fresh.wait()
            await new.stop()

        asyncio.run(scenario())

    def test_leaving_is_known_to_peers_at_once(self):
        async def scenario():
            network = Network()
            all_memberships = [
                network.add(number) for number in range(DAEMON_COUNT)
            ]
            for one in all_memberships:
                network.publish(one, 7)
            first, *others = all_memberships
            first.set_state("leaving")
            first.set_state("ready")
            target = network.members[0].target
            await test_platformclient.wait_until(
                lambda: all(
                    other.fleet_view.is_leaving(target) for other in others
                )
            )

        asyncio.run(scenario())
