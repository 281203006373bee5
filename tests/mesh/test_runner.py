import asyncio

import testtools

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import outcomes
from tests.mesh import fleet as fleet_lib
from tests.mesh import test_frames


class AtMostOnceTest(testtools.TestCase):
    """Tests at-most-once sends and inquiries about them."""

    def run_scenario(self, scenario):
        async def run():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                now_ms = clock.monotonic_ms()
                message = test_frames.run(send_id="a#1")
                message.once = True
                message.generation = fleet.daemons[
                    0
                ].runner.send_records.current
                message.headers = [(b"Mimosahaven-Attempt", b"a")]
                send = outcomes.Send(message, now_ms + 2_000, now_ms)
                await scenario(fleet.daemons[0].runner, send, fleet.targets[0])

        asyncio.run(asyncio.wait_for(run(), 30))

    def test_a_send_that_arrives_after_its_inquiry_does_not_run(self):
        async def scenario(runner, send, target):
            barred = outcomes.Refused(codes.Code.BARRED)
            inquiry = frames.Inquire("a#1", send.run.generation)
            self.assertEqual(barred, await runner.inquire(inquiry))
            self.assertEqual(barred, await runner.run(send))
            self.assertEqual(barred, await runner.inquire(inquiry))
            self.assertEqual([], target.requests)

        self.run_scenario(scenario)

    def test_a_duplicate_send_does_not_run(self):
        # Nor is it told as not run, since the first one has run.
        async def scenario(runner, send, target):
            await runner.run(send)
            second = await runner.run(send)
            self.assertEqual(outcomes.Failed(codes.Code.RECORD_LOST), second)
            self.assertEqual(1, len(target.requests))

        self.run_scenario(scenario)

    def test_an_inquiry_about_a_run_returns_its_outcome(self):
        async def scenario(runner, send, target):
            outcome = await runner.run(send)
            self.assertIsInstance(outcome, outcomes.Answered)
            inquiry = frames.Inquire("a#1", send.run.generation)
            for _ in range(2):
                told = await runner.inquire(inquiry)
                self.assertEqual(outcome.stream.status, told.stream.status)
                self.assertEqual(outcome.stream.headers, told.stream.headers)
                self.assertEqual(b"hi", await told.stream.read())
                self.assertTrue(told.stream.complete)

        self.run_scenario(scenario)
