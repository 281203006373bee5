"""Checks that the fake store and the client of the store are compatible."""

import asyncio

import testtools
from mimosahaven_platform import store

from mimosahaven.mesh import feed
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.testing import ports
from tests.mesh import samples
from tests.platform import fakestore
from tests.platform import writer

HOST = "127.0.0.1"
TABLE = samples.table(samples.route(), version=12)
TARGET = samples.target()


class FakeStoreTest(testtools.TestCase):
    def run_scenario(self, scenario):
        async def run():
            allocator = ports.PortAllocator()
            self.addCleanup(allocator.release)
            [port] = allocator.allocate(HOST)
            fake = fakestore.FakeStore()
            await fake.start(HOST, port)
            client = store.StoreFeed(
                settings_lib.convert(
                    {"endpoint": f"{HOST}:{port}", "read_timeout_ms": 500},
                    settings_lib.StoreSettings,
                )
            )
            try:
                await scenario(fake, client)
            finally:
                await client.close()
                await fake.stop()

        asyncio.run(asyncio.wait_for(run(), 30))

    def test_written_items_are_read_back(self):
        async def scenario(fake, client):
            await writer.put_table(fake, TABLE)
            await writer.put_target(fake, TARGET)
            snapshot = await client.snapshot()
            self.assertEqual(TABLE, snapshot.table)
            [target] = snapshot.targets
            self.assertEqual(
                (TARGET.target_id, TARGET.host, TARGET.slots, TARGET.state),
                (target.target_id, target.host, target.slots, target.state),
            )

        self.run_scenario(scenario)

    def test_a_change_ends_a_watch(self):
        async def scenario(fake, client):
            await writer.put_target(fake, TARGET)
            before = (await client.snapshot()).revision
            watch = asyncio.ensure_future(client.changes(before, 20_000))
            await writer.remove_target(fake, TARGET.target_id)
            changes = await watch
            self.assertEqual([TARGET.target_id], changes.gone)

        self.run_scenario(scenario)

    def test_faults_raise_feed_errors(self):
        async def scenario(fake, client):
            for fault in fakestore.Fault:
                fake.fault = fault
                if fault is fakestore.Fault.NONE:
                    await client.snapshot()
                    continue
                with testtools.ExpectedException(feed.FeedError):
                    await client.snapshot()
            fake.fault = fakestore.Fault.NONE
            await writer.put_table(fake, TABLE)
            fake.forget_history()
            with testtools.ExpectedException(feed.HistoryGoneError):
                await client.changes(1, 1_000)

        self.run_scenario(scenario)
