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

LIMIT_S = 30
COUNT = 4
FAST = {"interval_ms": 50, "retry_ms": 100, "read_timeout_ms": 300}


class Network:
    """Memberships in one process, by link address."""

    def __init__(self):
        self.by_address = {}
        self.events = []
        self.members = [gossipsim.make_member(n, 2) for n in range(COUNT + 1)]

    def add(self, number, gossip=None, **parts):
        """Adds a membership; it replaces the one with the same number."""
        line = self.members[number]
        address = (line.host, line.link_port)
        settings = gossipsim.make_settings(
            line, gossip=FAST | (gossip or {}), **parts
        )
        added = membership.Membership(
            settings,
            f"{number:016x}",
            random.Random(number),
            Endpoint(self, address),
            on_table=lambda table: self.events.append((number, table.version)),
            on_list=lambda: None,
        )
        self.by_address[address] = added
        return added

    def publish(self, added, version):
        """Gives a table and the list to one membership by hand."""
        now_ms = clock.monotonic_ms()
        text = gossipsim.list_text(5, self.members)
        added.gossip.offer_list(text, now_ms)
        text = gossipsim.table_text(version)
        added.gossip.offer_table(text, "platform", now_ms)


class Endpoint:
    """Transport of one membership."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def send(self, member, message):
        self.deliver((member.host, member.link_port), message)

    def deliver(self, address, message):
        asyncio.get_running_loop().call_soon(self.hand_over, address, message)

    def hand_over(self, address, message):
        receiver = self.network.by_address.get(address)
        if receiver is None:
            return
        back = Endpoint(self.network, address)
        receiver.on_message(
            message,
            lambda answer: back.deliver(self.address, answer),
            clock.monotonic_ms(),
        )


@contextlib.asynccontextmanager
async def running(*memberships):
    for one in memberships:
        await one.start()
    try:
        async with asyncio.timeout(LIMIT_S):
            yield
    finally:
        for one in memberships:
            await one.stop()


class MembershipTest(testtools.TestCase):
    async def restart_next_to_stale_platform(self, **parts):
        """Returns the table versions that a restarted daemon put in force."""
        async with test_platformclient.open_reader() as platform:
            network = Network()
            stale_list = gossipsim.list_text(4, network.members)
            await platform.put("/v1/vms", data=stale_list)
            for version in (3, 9):
                text = gossipsim.table_text(version)
                await platform.put("/v1/table", data=text)
            await platform.control(frozen_table_version=3)
            old = [network.add(number) for number in range(COUNT)]
            for one in old:
                network.publish(one, 9)
            network.events.clear()
            new = network.add(COUNT, platform=platform.endpoint, **parts)
            async with running(*old, new):
                await new.ready.wait()
                return new.status(clock.monotonic_ms())

    def test_restart_next_to_stale_platform_keeps_newer_table(self):
        status = asyncio.run(self.restart_next_to_stale_platform())
        self.assertThat(status.table_version, matchers.Equals(9))
        self.assertThat(status.list_version, matchers.Equals(5))

    def test_check_fails_without_gossip(self):
        status = asyncio.run(
            self.restart_next_to_stale_platform(mechanisms={"gossip": False})
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
            async with running(old, new):
                await new.ready.wait()
                await test_platformclient.wait_until(
                    lambda: (1, 7) in network.events
                )
            self.assertThat(new.view.version, matchers.Equals(5))

        asyncio.run(scenario())

    def test_ready_without_any_answer(self):
        # A daemon that starts during an outage must not wait for ever.
        async def scenario():
            new = Network().add(0, gossip={"join_wait_ms": 100})
            async with running(new):
                await new.ready.wait()
            self.assertThat(new.store.version, matchers.Equals(0))

        asyncio.run(scenario())

    def test_refresh_counts_only_later_answers(self):
        # Digests in the backlog of a pause carry old versions.
        async def scenario():
            network = Network()
            old, new = network.add(0), network.add(1)
            for one in (old, new):
                network.publish(one, 7)
            now_ms = clock.monotonic_ms()
            late = old.gossip.digest(now_ms, echo_ms=now_ms - 1)
            new.refresh(now_ms)
            new.on_message(late, lambda answer: None, now_ms)
            self.assertFalse(new.fresh.is_set())
            async with asyncio.timeout(LIMIT_S):
                await new.fresh.wait()
            await new.stop()

        asyncio.run(scenario())

    def test_leaving_is_known_to_peers_at_once(self):
        async def scenario():
            network = Network()
            all_of_them = [network.add(number) for number in range(COUNT)]
            for one in all_of_them:
                network.publish(one, 7)
            first, *others = all_of_them
            first.set_state("leaving")
            first.set_state("ready")
            target = network.members[0].target
            await test_platformclient.wait_until(
                lambda: all(o.view.is_leaving(target) for o in others)
            )

        asyncio.run(scenario())
