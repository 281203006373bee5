import asyncio
import base64
import json
import urllib.parse

import testtools
from mimosahaven_platform import store

from mimosahaven.mesh import feed
from mimosahaven.mesh import records
from mimosahaven.mesh import settings as settings_lib
from tests.mesh import rawtarget
from tests.platform import test_decoding

CONFIG = test_decoding.encode(test_decoding.CONFIG)
ENTRY = test_decoding.encode(test_decoding.ENTRY)


def item(key, value, rev):
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "rev": rev, "created": rev, "lease": 0}


class StoreFeedTest(testtools.TestCase):
    """Tests the client of the store against canned responses."""

    def run_call(self, responses, call):
        """Returns the result of a call to the client.

        Args:
          responses: Responses as (status, body) or (status, body, epoch); None
            resets the connection.
          call: Called with the client.
        """
        self.queries = []

        async def handle(head, body, writer, number):
            path = urllib.parse.urlsplit(head["path"])
            self.queries.append((path.path, path.query))
            response = responses[number - 1]
            if response is None:
                writer.transport.abort()
                return
            status, value, *epoch = response
            head = b"".join(b"Store-Era: %b\r\n" % e.encode() for e in epoch)
            data = value if isinstance(value, bytes) else json.dumps(value)
            data = data if isinstance(data, bytes) else data.encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b"
                % (status, len(data), head, data)
            )

        async def scenario():
            fake_store = rawtarget.RawTarget(handle)
            port = await fake_store.start("127.0.0.1")
            client = store.StoreFeed(
                settings_lib.convert(
                    {"endpoint": f"127.0.0.1:{port}"},
                    settings_lib.StoreSettings,
                )
            )
            try:
                return await call(client)
            finally:
                self.connection_count = fake_store.connection_count
                await client.close()
                fake_store.close()

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_all_pages_are_read(self):
        pages = [
            (
                200,
                {
                    "items": [item("op/config", CONFIG, 3)],
                    "has_more": True,
                    "store_revision": 7,
                },
            ),
            (
                200,
                {
                    "items": [
                        item("other/key", b"x", 4),
                        item("servers/i-1", ENTRY, 5),
                        item("servers/i-2", b"not an entry", 6),
                    ],
                    "has_more": False,
                    "store_revision": 9,
                },
            ),
        ]
        snapshot = self.run_call(pages, lambda client: client.snapshot())
        # The second page may lack changes made after the first one was read.
        self.assertEqual(7, snapshot.revision)
        self.assertEqual(12, snapshot.table.version)
        self.assertEqual(["i-1"], [t.target_id for t in snapshot.targets])
        self.assertEqual("prefix=&after=op/config", self.queries[1][1])

    def test_changes_list_added_and_removed_targets(self):
        events = [
            item("servers/i-1", ENTRY, 5),
            {"key": "servers/i-2", "rev": 6, "is_gone": True},
            item("servers/i-3", ENTRY, 7),
            {"key": "servers/i-3", "rev": 8, "is_gone": True},
        ]
        response = (200, {"events": events, "store_revision": 8})
        changes = self.run_call(
            [response], lambda client: client.changes(4, 100.0)
        )
        self.assertEqual(["i-1"], [t.target_id for t in changes.changed])
        self.assertEqual(["i-2", "i-3"], changes.gone)
        self.assertEqual(8, changes.revision)
        self.assertEqual("prefix=&after=4&wait_ms=100", self.queries[0][1])

    def test_discarded_history_requires_a_snapshot(self):
        self.assertRaises(
            feed.HistoryGoneError,
            self.run_call,
            [(410, {})],
            lambda client: client.changes(4, 100.0),
        )

    def test_a_check_is_a_stale_read_without_content(self):
        response = (200, {"items": [], "store_revision": 9}, "7")

        async def check(client):
            await client.check()
            return client.epoch

        # A stale response may be of an earlier epoch.
        self.assertEqual(0, self.run_call([response], check))
        [(path, query)] = self.queries
        self.assertEqual("/api/kv-range", path)
        self.assertEqual("prefix=none/&is_stale=1", query)

    def test_checks_and_reads_share_no_connection(self):
        # A late copy of the response to a check would be an empty snapshot.
        page = {"items": [], "store_revision": 9}

        async def read_and_check(client):
            for _ in range(2):
                await client.check()
                await client.snapshot()

        self.run_call([(200, page)] * 4, read_and_check)
        self.assertEqual(2, self.connection_count)

    def test_a_check_of_a_refusing_store_fails(self):
        self.assertRaises(
            feed.FeedError,
            self.run_call,
            [(503, {})],
            lambda client: client.check(),
        )

    def test_revisions_include_the_epoch(self):
        page = {"items": [item("servers/i-1", ENTRY, 5)], "store_revision": 7}
        events = {
            "events": [item("servers/i-2", ENTRY, 8)],
            "store_revision": 9,
        }

        async def read_both(client):
            snapshot = await client.snapshot()
            return snapshot, await client.changes(snapshot.revision, 100.0)

        snapshot, changes = self.run_call(
            [(200, page, "3"), (200, events, "3")], read_both
        )
        self.assertEqual(records.revision(3, 7), snapshot.revision)
        [target] = snapshot.targets
        self.assertEqual(records.revision(3, 5), target.revision)
        self.assertEqual("prefix=&after=7&wait_ms=100", self.queries[1][1])
        self.assertEqual(records.revision(3, 9), changes.revision)

    def test_changes_of_a_restored_store_require_a_snapshot(self):
        # The store has given out revision 4 again, so that it knows it.
        response = (200, {"events": [], "store_revision": 9}, "2")
        self.assertRaises(
            feed.HistoryGoneError,
            self.run_call,
            [response],
            lambda client: client.changes(records.revision(1, 4), 100.0),
        )

    def test_a_restore_between_two_pages_is_a_failure(self):
        page = {
            "items": [item("servers/i-1", ENTRY, 5)],
            "store_revision": 7,
            "has_more": True,
        }
        self.assertRaises(
            feed.FeedError,
            self.run_call,
            [(200, page, "1"), (200, page | {"has_more": False}, "2")],
            lambda client: client.snapshot(),
        )

    def test_invalid_epochs_and_revisions_are_failures(self):
        page = {"items": [], "store_revision": 1}
        responses = [
            (200, page, epoch) for epoch in ("", "x", "-1", "9" * 9, "9" * 5000)
        ]
        responses.append((200, {"items": [], "store_revision": 1 << 40}, "1"))
        responses.append((200, {"items": [], "store_revision": -1}, "1"))
        for response in responses:
            self.assertRaises(
                feed.FeedError,
                self.run_call,
                [response],
                lambda client: client.snapshot(),
            )

    def test_other_failures_raise_feed_errors(self):
        # The body of an error response may decode as a valid page.
        page = {"items": [], "store_revision": 1}
        for response in ((503, page), (429, page), (200, b"{"), None):
            self.assertRaises(
                feed.FeedError,
                self.run_call,
                [response, response],
                lambda client: client.snapshot(),
            )

    def test_an_invalid_configuration_is_ignored(self):
        response = {"items": [item("op/config", b"{", 3)], "store_revision": 3}
        snapshot = self.run_call(
            [(200, response)], lambda client: client.snapshot()
        )
        self.assertIsNone(snapshot.table)


class EndlessStoreTest(testtools.TestCase):
    """A store in trouble sends bytes without an end."""

    # For each response: what it begins with, and what then repeats.
    RESPONSES = (
        (b"HTTP/1.1 200 ", b"x" * 16_384),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 2_000),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 16_384),
    )

    def test_a_response_without_an_end_is_a_failure(self):
        for start, repeated in self.RESPONSES:
            sent_bytes = self.run_against(start, repeated)
            # The limit of a response, and the buffers of the sockets.
            limit_bytes = store.RESPONSE_BYTES_MAX + 16_000_000
            self.assertTrue(sent_bytes < limit_bytes, (start, sent_bytes))

    def run_against(self, start, repeated):
        """Returns the bytes that the store could send until it was cut off."""
        sent_bytes = 0

        async def handle(head, body, writer, number):
            nonlocal sent_bytes
            writer.write(start)
            try:
                while not writer.transport.is_closing():
                    writer.write(repeated)
                    sent_bytes += len(repeated)
                    await writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                pass

        async def scenario():
            fake_store = rawtarget.RawTarget(handle)
            port = await fake_store.start("127.0.0.1")
            client = store.StoreFeed(
                settings_lib.convert(
                    {"endpoint": f"127.0.0.1:{port}"},
                    settings_lib.StoreSettings,
                )
            )
            try:
                await client.snapshot()
            except feed.FeedError:
                return
            finally:
                await client.close()
                fake_store.close()
            self.fail("a response without an end was accepted")

        asyncio.run(asyncio.wait_for(scenario(), 30))
        return sent_bytes
