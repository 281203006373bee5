import asyncio
import contextlib

import testtools
from testtools import matchers

from mimosahaven import clock
from mimosahaven import links
from mimosahaven import messages
from mimosahaven import settings as settings_lib
from mimosahaven.testing import ports as ports_lib
from mimosahaven.testing import processes

HOST = "127.0.0.1"


def make_hub(name, ports):
    entry, link = ports.take(HOST, 2)
    settings = settings_lib.Settings(
        target=settings_lib.TargetSettings(
            name=name,
            service="ordre",
            failure_domain="dk-east-1",
            endpoint={"host": HOST, "port": entry},
        ),
        entry={"host": HOST, "port": entry},
        link={"host": HOST, "port": link},
    )
    return links.LinkManager(settings, "1" * 16, links.Handler())


@contextlib.asynccontextmanager
async def two_hubs():
    ports = ports_lib.PortHold()
    near, far = make_hub("ordre-1", ports), make_hub("ordre-2", ports)
    near.start()
    far.start()
    try:
        yield near, far
    finally:
        near.stop()
        far.stop()
        ports.release()


async def linked(near, far):
    endpoint = far.settings.link
    link = near.get_or_create("ordre-2", endpoint.host, endpoint.port)
    await asyncio.wait_for(link.up.wait(), 30)
    return link


async def answered(link):
    async def heard():
        return not link.awaiting_reply

    await processes.wait_for(heard, what="an answer on the link")


class HeartbeatTest(testtools.TestCase):
    def count_heartbeats(self, send):
        async def run():
            async with two_hubs() as (near, far):
                link = await linked(near, far)
                now_ms = clock.monotonic_ms()
                send(link, messages.Cancel("a"), now_ms)
                near.tick(now_ms)
                await answered(link)
                before = near.traffic.sent_count
                # Later ticks would find the link silent.
                for passed_ms in (500, 1_000):
                    near.tick(now_ms + passed_ms)
                return near.traffic.sent_count - before

        return asyncio.run(run())

    def test_heartbeats_follow_calls(self):
        """A call on a connection that went silent would wait for ever."""
        count = self.count_heartbeats(lambda link, *args: link.send(*args))
        self.assertThat(count, matchers.Equals(2))

    def test_gossip_needs_one_answer(self):
        """Heartbeats on all links of the gossip cost 2% of a core."""
        count = self.count_heartbeats(
            lambda link, *args: link.send_one_way(*args)
        )
        self.assertThat(count, matchers.Equals(0))


class LinkUpTest(testtools.TestCase):
    def test_link_comes_up_without_a_tick(self):
        """The event of the connection was missed until the next send."""

        async def run():
            async with two_hubs() as (near, far):
                await linked(near, far)

        asyncio.run(run())


class DeadPeerTest(testtools.TestCase):
    def test_link_to_a_dead_peer_is_replaced_and_then_closed(self):
        """A target that left the list must not be connected to for ever."""

        async def run():
            ports = ports_lib.PortHold()
            self.addCleanup(ports.release)
            near = make_hub("ordre-1", ports)
            near.start()
            (port,) = ports.take(HOST)
            link = near.get_or_create("ordre-2", HOST, port)
            # In the past, so that a link that takes its creation for a use
            # is not unused long enough at the last tick.
            sent_ms = clock.monotonic_ms() - 15_000
            link.send(messages.Cancel("a"), sent_ms)
            link.last_received_ms = sent_ms
            near.tick(sent_ms + 2_000)
            replaced = near.links() != [link]
            near.tick(sent_ms + 21_000)
            count = len(near.links())
            near.stop()
            return replaced, count

        replaced, count = asyncio.run(run())
        self.assertThat(replaced, matchers.Is(True))
        self.assertThat(count, matchers.Equals(0))
