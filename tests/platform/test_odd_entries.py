"""Entries that another writer has left in the store."""

import asyncio
import contextlib
import json
import random

import testtools
from mimosahaven_platform import store

from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import storewatch
from mimosahaven.testing import ports
from tests.mesh import fleet as fleet_lib
from tests.mesh import samples
from tests.mesh import test_replica
from tests.platform import fakestore
from tests.platform import test_decoding
from tests.platform import writer

HOST = "127.0.0.1"
# Beyond the recursion limit of the interpreter and of its JSON decoders.
NESTING = 100_000
NESTED = b"[" * NESTING + b"]" * NESTING
# Digits that int() refuses to convert.
DIGITS = 5_000


def with_field(document, name, value):
    """Returns a JSON object with one more field of the given bytes."""
    return json.dumps(document).encode()[:-1] + b', "%b": %b}' % (
        name.encode(),
        value,
    )


class OddEntryTest(testtools.TestCase):
    """Guards against LOST: an odd entry ends the following of the store."""

    def assert_followed_beside(self, key, data, at_start):
        """Asserts that later changes are followed in spite of an entry.

        Args:
          key: Key of the entry.
          data: Its value.
          at_start: Whether the entry is there at the first read, or comes as a
            change.
        """

        async def run():
            allocator = ports.PortAllocator()
            self.addCleanup(allocator.release)
            [port] = allocator.allocate(HOST)
            fake_store = fakestore.FakeStore()
            await fake_store.start(HOST, port)
            feed = store.StoreFeed(
                settings_lib.convert(
                    {"endpoint": f"{HOST}:{port}"}, settings_lib.StoreSettings
                )
            )
            replica = test_replica.make_replica()
            watch = storewatch.StoreWatch(
                replica._settings,
                feed,
                replica,
                test_replica.NullLog(),
                random.Random(1),
            )

            async def put_table(version):
                await writer.put_table(
                    fake_store, samples.table(samples.route(), version=version)
                )

            await put_table(1)
            if at_start:
                await fake_store.put_bytes(key, data)
            task = asyncio.ensure_future(watch.run())
            try:
                if not at_start:
                    await fleet_lib.wait_until(lambda: replica.complete)
                    await fake_store.put_bytes(key, data)
                await put_table(2)
                await writer.put_target(fake_store, samples.target("i-9"))
                await fleet_lib.wait_until(
                    lambda: (
                        replica.table_version == 2
                        and [t.target_id for t in replica.directory.targets]
                        == ["i-9"]
                    )
                )
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                await feed.close()
                await fake_store.stop()

        asyncio.run(asyncio.wait_for(run(), 60))

    def test_a_deeply_nested_field_in_the_first_snapshot(self):
        data = with_field(test_decoding.ENTRY, "more", NESTED)
        self.assert_followed_beside("servers/i-1", data, at_start=True)

    def test_a_deeply_nested_field_in_a_change(self):
        data = with_field(test_decoding.ENTRY, "more", NESTED)
        self.assert_followed_beside("servers/i-1", data, at_start=False)

    def test_a_deeply_nested_configuration(self):
        data = with_field(test_decoding.CONFIG, "more", NESTED)
        self.assert_followed_beside("op/config", data, at_start=False)
