"""Requests to a target that announces in its responses that it leaves."""

import asyncio

import testtools

from mimosahaven.mesh import targetdrain
from tests.mesh import fleet as fleet_lib


async def respond_leaving(head, body, writer, number):
    writer.write(
        b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
        b"Mimosahaven-Signature: s1\r\nMimosahaven-Leaving: 1\r\n"
        b"Content-Length: 2\r\n\r\nhi" % head["mimosahaven-attempt"].encode()
    )
    await writer.drain()


class AnnouncedLeavingTest(testtools.TestCase):
    """Guards against DRAIN: a target that leaves gets new requests.

    The only target of the service announces it; the list says that it serves.
    """

    def run_scenario(self, scenario):
        async def run():
            async with fleet_lib.Fleet(
                ["katalog", "ordre", "ordre"], [respond_leaving, None, None]
            ) as fleet:
                await scenario(fleet)

        asyncio.run(asyncio.wait_for(run(), 30))

    def test_a_daemon_that_passed_on_the_announcement_sends_no_more(self):
        async def scenario(fleet):
            for attempt, expected in (("a", 200), ("b", 503), ("c", 503)):
                status, _, _ = await fleet.send_request(1, attempt=attempt)
                self.assertEqual(expected, status)
            self.assertEqual(1, len(fleet.targets[0].requests))

        self.run_scenario(scenario)

    def test_the_targets_daemon_refuses_what_others_still_send(self):
        # All of the drain is left as a margin.
        self.patch(targetdrain, "LATENESS_MARGIN_MS", 60_000.0)

        async def scenario(fleet):
            status, _, _ = await fleet.send_request(1, attempt="a")
            self.assertEqual(200, status)
            await asyncio.sleep(0)
            # This daemon has not seen the announcement.
            status, _, _ = await fleet.send_request(2, attempt="b")
            self.assertEqual(503, status)
            self.assertEqual(1, len(fleet.targets[0].requests))

        self.run_scenario(scenario)
