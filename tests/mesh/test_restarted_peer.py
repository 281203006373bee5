"""Guards against TWICE: an order runs again after its daemon has restarted.

The daemon that took the order is replaced by one without any records of it,
and the sending daemon asks that one for the outcome.
"""

import asyncio

import testtools
from testtools import matchers

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import records
from tests.mesh import fleet as fleet_lib
from tests.mesh import rawtarget
from tests.mesh import samples
from tests.mesh import test_frames

Code = codes.Code
WORK_S = 3.0
DEADLINE_MS = 8_000
LOST = outcomes.Failed(Code.RECORD_LOST)
FORMER = frames.RecordGeneration("former", 1)


async def work(head, body, writer, number):
    await asyncio.sleep(WORK_S)
    await rawtarget.respond_ok(head, body, writer, number)


class RestartWhileRunningTest(testtools.TestCase):
    """The target lives on; nothing comes on the connection of the order."""

    def restart_while_running(self, services):
        """Returns the status of the order, and how often it ran."""

        async def scenario():
            route = samples.route(
                repeat_rule=records.RepeatRule.ONCE, timeout_ms=DEADLINE_MS
            )
            handlers = [work] * len(services)
            async with fleet_lib.Fleet(services, handlers, [route]) as fleet:
                targets = fleet.targets
                order = asyncio.ensure_future(
                    fleet.send_request(
                        method="POST", body=b"x", deadline_ms=DEADLINE_MS
                    )
                )
                await fleet_lib.wait_until(
                    lambda: any(target.requests for target in targets)
                )
                [running] = [
                    index
                    for index, target in enumerate(targets)
                    if target.requests
                ]
                await fleet.restart(running)
                status, _, _ = await order
                return status, sum(len(target.requests) for target in targets)

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_the_order_does_not_run_at_another_target(self):
        status, runs = self.restart_while_running(
            ["ordre", "katalog", "katalog"]
        )
        self.assertEqual((502, 1), (status, runs))

    def test_without_another_target_the_order_is_not_told_as_not_run(self):
        status, runs = self.restart_while_running(["ordre", "katalog"])
        self.assertEqual((502, 1), (status, runs))


class NewIncarnationTest(testtools.TestCase):
    """Sends and inquiries that were meant for the former incarnation."""

    def run_scenario(self, scenario):
        async def run():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                await scenario(fleet.daemons[0].runner, fleet.targets[0])

        asyncio.run(asyncio.wait_for(run(), 30))

    def order(self, send_id, generation):
        run = test_frames.run(send_id=send_id)
        run.headers = [(b"Mimosahaven-Attempt", b"a")]
        run.generation = generation
        now_ms = clock.monotonic_ms()
        return outcomes.Send(run, now_ms + 2_000, now_ms)

    def test_an_inquiry_is_unknown_before_and_after_the_first_work(self):
        async def scenario(runner, target):
            inquiry = frames.Inquire("a#1", FORMER)
            runner.refuse_code = Code.STARTING
            self.assertEqual(LOST, await runner.inquire(inquiry))
            runner.refuse_code = None
            current = runner.send_records.current
            for send_id in ("b#1", "b#2"):
                first_work = asyncio.ensure_future(
                    runner.run(self.order(send_id, current))
                )
                self.assertEqual(LOST, await runner.inquire(inquiry))
                self.assertIsInstance(await first_work, outcomes.Answered)
                self.assertEqual(LOST, await runner.inquire(inquiry))

        self.run_scenario(scenario)

    def test_a_delayed_send_neither_runs_nor_counts_as_not_run(self):
        async def scenario(runner, target):
            delayed = self.order("a#1", FORMER)
            self.assertEqual(LOST, await runner.run(delayed))
            await runner.inquire(frames.Inquire("a#1", FORMER))
            self.assertEqual(LOST, await runner.run(delayed))
            self.assertEqual([], target.requests)

        self.run_scenario(scenario)

    def test_a_sender_without_generations_is_told_no_more_than_is_known(self):
        async def scenario(runner, target):
            inquiry = frames.Inquire("a#1")
            # The code is one that such a sender knows.
            lost = outcomes.Failed(Code.TARGET_LOST)
            for _ in range(2):
                self.assertEqual(lost, await runner.inquire(inquiry))
            barred = await runner.run(self.order("a#1", None))
            self.assertEqual(outcomes.Refused(Code.BARRED), barred)
            ran = await runner.run(self.order("a#2", None))
            self.assertIsInstance(ran, outcomes.Answered)
            told = await runner.inquire(frames.Inquire("a#2"))
            self.assertEqual(b"hi", await told.stream.read())

        self.run_scenario(scenario)


class BarredOrderTest(testtools.TestCase):
    def test_without_another_target_a_barred_order_may_be_sent_again(self):
        # Guards against 409, which callers take as final, for an order that
        # has not run.
        async def refuse(send):
            return outcomes.Refused(Code.BARRED)

        async def scenario():
            route = samples.route(repeat_rule=records.RepeatRule.ONCE)
            services = ["ordre", "katalog"]
            async with fleet_lib.Fleet(services, routes=[route]) as fleet:
                fleet.daemons[1].runner.run = refuse
                status, head, _ = await fleet.send_request(
                    method="POST", body=b"x"
                )
                self.assertEqual(503, status)
                self.assertIn("retry-after", head)

        asyncio.run(asyncio.wait_for(scenario(), 30))


class SendIdTest(testtools.TestCase):
    def test_a_restarted_sender_uses_new_send_ids(self):
        # An inquiry about the second send must not find the first one.
        async def scenario():
            route = samples.route(repeat_rule=records.RepeatRule.ONCE)
            services = ["ordre", "katalog"]
            async with fleet_lib.Fleet(services, routes=[route]) as fleet:
                await fleet.send_request(method="POST", body=b"x")
                await fleet.restart(0)
                status, _, _ = await fleet.send_request(
                    method="POST", body=b"x"
                )
                self.assertEqual(200, status)
                self.assertThat(
                    fleet.daemons[1].runner.send_records, matchers.HasLength(2)
                )

        asyncio.run(asyncio.wait_for(scenario(), 30))
