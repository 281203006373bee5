"""Changes that a daemon reads from a store restored from an older copy."""

import asyncio
import contextlib
import random

import testtools
from mimosahaven_platform import store
from testtools import matchers

from mimosahaven.mesh import records
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import storewatch
from mimosahaven.testing import ports
from tests.mesh import fleet as fleet_lib
from tests.mesh import samples
from tests.mesh import test_replica
from tests.platform import fakestore
from tests.platform import writer

HOST = "127.0.0.1"
DRAINING = records.DRAINING_STATE
# Requests to the store that a restore may cost one watcher within RESTORE_S:
# watches that fail, a snapshot, and watches that return a change each.
READS_MAX = 40
RESTORE_S = 1.0


class RestoredStoreTest(testtools.TestCase):
    """Guards against CONFIG: a restored store hides changes for good."""

    def run_scenario(self, scenario):
        async def run():
            allocator = ports.PortAllocator()
            self.addCleanup(allocator.release)
            [port] = allocator.allocate(HOST)
            self.store = fakestore.FakeStore()
            await self.store.start(HOST, port)
            settings = settings_lib.convert(
                {"endpoint": f"{HOST}:{port}", "read_timeout_ms": 500},
                settings_lib.StoreSettings,
            )
            feed = store.StoreFeed(settings)
            self.replica = test_replica.make_replica()
            watch = storewatch.StoreWatch(
                self.replica._settings,
                feed,
                self.replica,
                test_replica.NullLog(),
                random.Random(1),
            )
            await self.put_table(1)
            await self.put_target("i-1", 1)
            task = asyncio.ensure_future(watch.run())
            try:
                await self.wait_for_table(1)
                await scenario()
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                await feed.close()
                await self.store.stop()

        asyncio.run(asyncio.wait_for(run(), 60))

    async def put_table(self, version):
        await writer.put_table(
            self.store, samples.table(samples.route(), version=version)
        )

    async def put_target(self, target_id, number, **changes):
        await writer.put_target(
            self.store,
            samples.target(target_id, f"10.0.0.{number}", **changes),
        )

    async def wait_for_table(self, version):
        await fleet_lib.wait_until(
            lambda: self.replica.table_version == version
        )

    async def wait_for_serving(self, *target_ids):
        def is_serving():
            serving = self.replica.directory.serving("katalog")
            return {t.target_id for t in serving} == set(target_ids)

        await fleet_lib.wait_until(is_serving)

    async def lose_changes(self, count):
        """Restores the store from a copy without the latest changes."""
        copy = self.store.copy()
        for version in range(2, 2 + count):
            await self.put_table(version)
        await self.wait_for_table(1 + count)
        await self.store.restore(copy)
        # The operators write again what was lost.
        await self.put_table(1 + count)

    def test_changes_below_the_lost_revisions_are_in_force(self):
        async def scenario():
            await self.lose_changes(8)
            await self.put_target("i-2", 2)
            await self.wait_for_serving("i-1", "i-2")
            await self.put_target("i-1", 1, state=DRAINING)
            await self.wait_for_serving("i-2")
            await self.put_table(20)
            await self.wait_for_table(20)

        self.run_scenario(scenario)

    def test_changes_are_not_missed_when_revisions_have_caught_up(self):
        async def scenario():
            copy = self.store.copy()
            await self.put_table(2)
            await self.wait_for_table(2)
            self.store.fault = fakestore.Fault.RESET
            await self.store.restore(copy)
            # This change has the revision that the lost table had.
            await self.put_target("i-2", 2)
            await self.put_table(3)
            self.store.fault = fakestore.Fault.NONE
            await self.wait_for_table(3)
            await self.wait_for_serving("i-1", "i-2")

        self.run_scenario(scenario)

    def test_a_restore_costs_few_requests(self):
        async def scenario():
            reads = self.store.request_count
            await self.lose_changes(8)
            await asyncio.sleep(RESTORE_S)
            self.assertThat(
                self.store.request_count - reads, matchers.LessThan(READS_MAX)
            )

        self.run_scenario(scenario)
