import asyncio
import base64
import json
import urllib.parse

import testtools
from mimosahaven_platform import store

from mimosahaven.mesh import feed
from mimosahaven.mesh import settings as settings_lib
from tests.mesh import rawtarget
from tests.platform import test_decoding

CONFIG = test_decoding.encode(test_decoding.CONFIG)
ENTRY = test_decoding.encode(test_decoding.ENTRY)


def item(key, value, rev):
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "rev": rev, "created": rev, "lease": 0}


class StoreFeedTest(testtools.TestCase):
    """The client of the store against answers written by the test."""

    def ask(self, answers, ask):
        """Returns what a call gives; each answer is (status, body)."""
        self.queries = []

        async def handle(head, body, writer, number):
            path = urllib.parse.urlsplit(head["path"])
            self.queries.append((path.path, path.query))
            answer = answers[number - 1]
            if answer is None:
                writer.transport.abort()
                return
            status, value = answer
            data = value if isinstance(value, bytes) else json.dumps(value)
            data = data if isinstance(data, bytes) else data.encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b"
                % (status, len(data), data)
            )

        async def scenario():
            raw = rawtarget.RawTarget(handle)
            port = await raw.start("127.0.0.1")
            feed = store.StoreFeed(
                settings_lib.StoreSettings(endpoint=f"127.0.0.1:{port}")
            )
            try:
                return await ask(feed)
            finally:
                await feed.close()
                raw.close()

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_pages_are_read_to_the_end(self):
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
        snapshot = self.ask(pages, lambda feed: feed.snapshot())
        # Changes after the first page may be missing in the second.
        self.assertEqual(7, snapshot.revision)
        self.assertEqual(12, snapshot.table.version)
        self.assertEqual(["i-1"], [t.target_id for t in snapshot.targets])
        self.assertEqual("prefix=&after=op/config", self.queries[1][1])

    def test_changes_tell_what_came_and_went(self):
        events = [
            item("servers/i-1", ENTRY, 5),
            {"key": "servers/i-2", "rev": 6, "is_gone": True},
            item("servers/i-3", ENTRY, 7),
            {"key": "servers/i-3", "rev": 8, "is_gone": True},
        ]
        answer = (200, {"events": events, "store_revision": 8})
        changes = self.ask([answer], lambda feed: feed.changes(4, 100.0))
        self.assertEqual(["i-1"], [t.target_id for t in changes.changed])
        self.assertEqual(["i-2", "i-3"], changes.gone)
        self.assertEqual(8, changes.revision)
        self.assertEqual("prefix=&after=4&wait_ms=100", self.queries[0][1])

    def test_history_that_is_gone_asks_for_a_snapshot(self):
        self.assertRaises(
            feed.HistoryGoneError,
            self.ask,
            [(410, {})],
            lambda feed: feed.changes(4, 100.0),
        )

    def test_every_other_failure_is_an_error_of_the_feed(self):
        # A failure may have a body that can be read.
        page = {"items": [], "store_revision": 1}
        for answer in ((503, page), (429, page), (200, b"{"), None):
            self.assertRaises(
                feed.FeedError,
                self.ask,
                [answer, answer],
                lambda feed: feed.snapshot(),
            )

    def test_a_configuration_that_cannot_be_read_is_left_out(self):
        answer = {"items": [item("op/config", b"{", 3)], "store_revision": 3}
        snapshot = self.ask([(200, answer)], lambda feed: feed.snapshot())
        self.assertIsNone(snapshot.table)
