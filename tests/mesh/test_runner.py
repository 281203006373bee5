import asyncio

import testtools

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import outcomes
from tests.mesh import fleet as fleet_lib
from tests.mesh import test_frames


class OnceTest(testtools.TestCase):
    """Sends that may run at most once, and inquiries about them."""

    def run_scenario(self, scenario):
        async def run():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                now_ms = clock.monotonic_ms()
                message = test_frames.run(send_id="a#1")
                message.once = True
                message.headers = [(b"Mimosahaven-Attempt", b"a")]
                send = outcomes.Send(message, now_ms + 2_000, now_ms)
                await scenario(fleet.daemons[0].runner, send, fleet.targets[0])

        asyncio.run(asyncio.wait_for(run(), 30))

    def test_a_late_send_does_not_run_after_an_inquiry(self):
        async def scenario(runner, send, raw):
            barred = outcomes.Refused(codes.Code.BARRED)
            self.assertEqual(barred, await runner.inquire("a#1"))
            self.assertEqual(barred, await runner.run(send))
            self.assertEqual(barred, await runner.inquire("a#1"))
            self.assertEqual([], raw.requests)

        self.run_scenario(scenario)

    def test_a_second_copy_does_not_run(self):
        async def scenario(runner, send, raw):
            await runner.run(send)
            again = await runner.run(send)
            self.assertEqual(outcomes.Refused(codes.Code.BARRED), again)
            self.assertEqual(1, len(raw.requests))

        self.run_scenario(scenario)

    def test_an_inquiry_about_a_run_gives_its_outcome(self):
        async def scenario(runner, send, raw):
            outcome = await runner.run(send)
            self.assertIsInstance(outcome, outcomes.Answered)
            self.assertIs(outcome, await runner.inquire("a#1"))

        self.run_scenario(scenario)
