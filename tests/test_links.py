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


def make_manager(name, ports):
    entry, link = ports.allocate(HOST, 2)
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
async def two_managers():
    ports = ports_lib.PortAllocator()
    local, remote = (
        make_manager("ordre-1", ports),
        make_manager("ordre-2", ports),
    )
    local.start()
    remote.start()
    try:
        yield local, remote
    finally:
        local.stop()
        remote.stop()
        ports.release()


async def connect(local, remote):
    endpoint = remote.settings.link
    link = local.get_or_create("ordre-2", endpoint.host, endpoint.port)
    await asyncio.wait_for(link.up.wait(), 30)
    return link


async def wait_for_reply(link):
    async def reply_received():
        return not link.awaiting_reply

    await processes.wait_until(
        reply_received, description="a reply on the link"
    )


class HeartbeatTest(testtools.TestCase):
    def count_heartbeats(self, send):
        async def run():
            async with two_managers() as (local, remote):
                link = await connect(local, remote)
                now_ms = clock.monotonic_ms()
                send(link, messages.Cancel("a"), now_ms)
                local.tick(now_ms)
                await wait_for_reply(link)
                before = local.traffic.sent_count
                # Nothing is received on the link between these ticks.
                for elapsed_ms in (500, 1_000):
                    local.tick(now_ms + elapsed_ms)
                return local.traffic.sent_count - before

        return asyncio.run(run())

    def test_heartbeats_follow_calls(self):
        """Without heartbeats, calls on a dead connection would wait forever."""
        count = self.count_heartbeats(lambda link, *args: link.send(*args))
        self.assertThat(count, matchers.Equals(2))

    def test_one_way_message_needs_one_reply(self):
        """Heartbeats on all links used for gossip cost 2% of a core."""
        count = self.count_heartbeats(
            lambda link, *args: link.send_one_way(*args)
        )
        self.assertThat(count, matchers.Equals(0))


class LinkUpTest(testtools.TestCase):
    def test_link_comes_up_without_a_tick(self):
        """Guards against a connect event noticed only at the next send."""

        async def run():
            async with two_managers() as (local, remote):
                await connect(local, remote)

        asyncio.run(run())


class DeadPeerTest(testtools.TestCase):
    def test_link_to_a_dead_peer_is_replaced_and_then_closed(self):
        """Guards against endless connection attempts to a removed target."""

        async def run():
            ports = ports_lib.PortAllocator()
            self.addCleanup(ports.release)
            local = make_manager("ordre-1", ports)
            local.start()
            (port,) = ports.allocate(HOST)
            link = local.get_or_create("ordre-2", HOST, port)
            # Sent in the past: if replacing a link counted as a use, the last
            # tick would not close the replacement.
            sent_ms = clock.monotonic_ms() - 15_000
            link.send(messages.Cancel("a"), sent_ms)
            link.silence_since_ms = sent_ms
            local.tick(sent_ms + 2_000)
            replaced = local.links() != [link]
            local.tick(sent_ms + 21_000)
            count = len(local.links())
            local.stop()
            return replaced, count

        replaced, count = asyncio.run(run())
        self.assertThat(replaced, matchers.Is(True))
        self.assertThat(count, matchers.Equals(0))
