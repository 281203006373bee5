"""Guards against DRAIN: queued runs start at a target that has left.

A check when a run arrives says nothing of the time when it starts.
"""

import asyncio
import collections
import heapq
import time

import testtools
from testtools import matchers

from mimosahaven import codes
from mimosahaven import identity
from mimosahaven.mesh import admission as admission_lib
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import records
from mimosahaven.mesh import targetdrain
from tests.mesh import fleet as fleet_lib
from tests.mesh import rawtarget
from tests.mesh import samples

Code = codes.Code
DRAIN_MS = 2_000.0


class DrainSimulation:
    """Runs queue at a target that begins to leave at time 0.

    Args:
      weights: Weight of each run, in the order of arrival.
      run_ms: How long each of them takes.
      has_alternative: Whether another target of the service serves.
      rate_limit_per_s: Rate limit of the target, or None.

    Attributes:
      started: Start time and weight of each run after time 0.
      refused: Time, weight and code of each refusal.
    """

    LIMIT = 19

    def __init__(
        self, weights, run_ms, has_alternative=True, rate_limit_per_s=None
    ):
        self.started, self.refused = [], []
        self._run_ms = run_ms
        self._ends = []
        drain = targetdrain.TargetDrain(DRAIN_MS)
        self._admission = admission_lib.AdmissionController(20, -9e3, drain)
        # What the controller has learnt of the duration of runs before.
        for number in range(50):
            now_ms = -9e3 + number
            self._admission.offer(
                admission_lib.AdmissionRequest(0, 1e9, now_ms), now_ms
            )
            self._admission.finish(run_ms, now_ms)
        self._admission.set_rate_limit(rate_limit_per_s, -5e3)
        for number, weight in enumerate(weights):
            now_ms = -1.0 + number / 1000
            request = admission_lib.AdmissionRequest(
                weight * identity.WEIGHT_STEP, 8_000.0, now_ms
            )
            self._apply(self._admission.offer(request, now_ms), now_ms)
        self.waiting = self._admission.waiting
        drain.observe(False, has_alternative, 0.0)
        self._run()

    def _run(self):
        for tick_ms in range(0, 8_000, 50):
            while self._ends and self._ends[0] <= tick_ms:
                end_ms = heapq.heappop(self._ends)
                self._apply(
                    self._admission.finish(self._run_ms, end_ms), end_ms
                )
            self._apply(self._admission.tick(float(tick_ms)), float(tick_ms))

    def _apply(self, decisions, now_ms):
        for request in decisions.run:
            heapq.heappush(self._ends, now_ms + self._run_ms)
            if now_ms >= 0:
                weight = request.shed_priority // identity.WEIGHT_STEP
                self.started.append((now_ms, weight))
        for request, code in decisions.refused:
            weight = request.shed_priority // identity.WEIGHT_STEP
            if now_ms >= 0:
                self.refused.append((now_ms, weight, code))


class DrainingQueueTest(testtools.TestCase):
    WEIGHTS = (90, 50, 10) * 19

    def assert_in_time(self, simulation):
        for start_ms, _ in simulation.started:
            self.assertThat(start_ms, matchers.LessThan(DRAIN_MS))
        self.assertEqual(
            simulation.waiting,
            len(simulation.started) + len(simulation.refused),
        )
        self.assertEqual(
            set(), {code for _, _, code in simulation.refused} - {Code.LEAVING}
        )

    def test_no_run_starts_that_may_outlast_the_target(self):
        for run_ms in (40.0, 160.0, 400.0, 700.0, 1_300.0, 2_500.0):
            simulation = DrainSimulation(self.WEIGHTS, run_ms)
            self.assert_in_time(simulation)
            for start_ms, _ in simulation.started:
                self.assertThat(
                    start_ms + run_ms, matchers.LessThan(DRAIN_MS + 1)
                )

    def test_short_runs_are_all_served(self):
        simulation = DrainSimulation(self.WEIGHTS, 160.0)
        self.assertEqual([], simulation.refused)

    def test_what_does_not_fit_is_refused_at_once_and_by_rank(self):
        # 38 runs wait; until 1,200 ms, each of 19 slots becomes free once.
        simulation = DrainSimulation(self.WEIGHTS, 800.0)
        self.assert_in_time(simulation)
        started = collections.Counter(w for _, w in simulation.started)
        refused = collections.Counter(w for _, w, _ in simulation.refused)
        self.assertEqual(19, started.total())
        self.assertEqual({0.0}, {at_ms for at_ms, _, _ in simulation.refused})
        # None of a higher rank is moved while one of a lower rank starts.
        self.assertThat(min(started), matchers.GreaterThan(max(refused) - 1))

    def test_long_runs_are_refused_at_once(self):
        simulation = DrainSimulation(self.WEIGHTS, 2_500.0)
        self.assertEqual([], simulation.started)
        self.assertEqual({0.0}, {at_ms for at_ms, _, _ in simulation.refused})

    def test_without_another_target_runs_start_as_long_as_they_may(self):
        simulation = DrainSimulation(self.WEIGHTS, 1_300.0, False)
        self.assert_in_time(simulation)
        self.assertEqual(19, len(simulation.started))

    def test_runs_that_wait_for_the_rate_limit(self):
        # 21 runs wait; the limit allows 13 to start until 1,300 ms.
        simulation = DrainSimulation(self.WEIGHTS, 700.0, rate_limit_per_s=10)
        self.assert_in_time(simulation)
        self.assertEqual(21, simulation.waiting)
        at_once = [at_ms for at_ms, _, _ in simulation.refused if at_ms == 0]
        self.assertThat(at_once, matchers.HasLength(8))

    def test_a_rerouted_run_may_exceed_the_capacity_of_the_queue(self):
        admission = admission_lib.AdmissionController(10, 0.0)
        for _ in range(36):
            admission.offer(admission_lib.AdmissionRequest(0, 1e9, 0.0), 0.0)
        self.assertEqual(27, admission.waiting)
        admission.finish(1_000.0, 1_000.0)
        full = admission_lib.AdmissionRequest(0, 1e9, 1_000.0)
        admission.offer(full, 1_000.0)
        for deadline_ms, refused in ((9_000.0, False), (4_000.0, True)):
            request = admission_lib.AdmissionRequest(
                0, deadline_ms, 1_001.0, rerouted=True
            )
            decisions = admission.offer(request, 1_001.0)
            codes_by_request = dict(
                (request, code) for request, code in decisions.refused
            )
            self.assertEqual(refused, request in codes_by_request)


class DrainingFleetTest(testtools.TestCase):
    """One of two targets leaves while a burst of orders waits for both."""

    WORK_S = 0.5
    DRAIN_S = 1.0
    ORDERS = 60
    LEAVING = 1

    async def publish(self, fleet, changed, gone):
        for feed in fleet.feeds:
            feed.publish(feed_lib.Changes(2, None, changed, gone))

    def entry(self, fleet, **changes):
        return samples.target(
            f"i-{self.LEAVING}",
            fleet.hosts[self.LEAVING],
            service="ordre",
            port=fleet_lib.TARGET_PORT,
            revision=2,
            **changes,
        )

    def arrived(self, fleet, starts):
        """Returns how many orders have started, or wait in a queue."""
        return sum(map(len, starts.values())) + sum(
            daemon.admission.waiting for daemon in fleet.daemons
        )

    def leave_under_load(self, services, leave):
        """Sends all orders at once; returns statuses and start times.

        Args:
          services: Service of each daemon; the callers use the first one.
          leave: Makes the target leave; called with the fleet.
        """
        starts = collections.defaultdict(list)

        def work_at(index):
            async def work(head, body, writer, number):
                starts[index].append(time.monotonic())
                await asyncio.sleep(self.WORK_S)
                await rawtarget.respond_ok(head, body, writer, number)

            return work

        async def scenario():
            route = samples.route(
                repeat_rule=records.RepeatRule.ONCE,
                timeout_ms=8_000.0,
                shares=(records.Share("ordre", 1.0),),
            )
            handlers = [work_at(index) for index in range(len(services))]
            async with fleet_lib.Fleet(
                services, handlers, [route], bounds={"drain_s": self.DRAIN_S}
            ) as fleet:
                orders = [
                    asyncio.ensure_future(
                        fleet.send_request(
                            attempt=f"r{number}",
                            method="POST",
                            body=b"x",
                            deadline_ms=8_000,
                        )
                    )
                    for number in range(self.ORDERS)
                ]
                await fleet_lib.wait_until(
                    lambda: self.arrived(fleet, starts) == self.ORDERS
                )
                await leave(fleet)
                self.left_s = time.monotonic()
                return [
                    status for status, _, _ in await asyncio.gather(*orders)
                ]

        statuses = asyncio.run(asyncio.wait_for(scenario(), 30))
        return statuses, starts

    def assert_orders_are_served_in_time(self, services, leave):
        statuses, starts = self.leave_under_load(services, leave)
        late = [
            start_s - self.left_s
            for start_s in starts[self.LEAVING]
            if start_s > self.left_s + self.DRAIN_S
        ]
        self.assertEqual([], late)
        self.assertEqual([200] * self.ORDERS, statuses)
        self.assertEqual(self.ORDERS, sum(map(len, starts.values())))

    async def report_draining(self, fleet):
        entry = self.entry(fleet, state=records.DRAINING_STATE)
        await self.publish(fleet, [entry], [])

    def test_a_target_that_reports_draining(self):
        self.assert_orders_are_served_in_time(
            ["katalog", "ordre", "ordre"], self.report_draining
        )

    def test_a_target_that_drains_beside_the_callers(self):
        self.LEAVING = 0
        self.assert_orders_are_served_in_time(
            ["ordre", "ordre"], self.report_draining
        )

    def test_a_target_whose_entry_is_removed(self):
        async def remove(fleet):
            await self.publish(fleet, [], [f"i-{self.LEAVING}"])

        self.assert_orders_are_served_in_time(
            ["katalog", "ordre", "ordre"], remove
        )

    def test_a_target_that_announces_it_in_a_response(self):
        async def announce(fleet):
            daemon = fleet.daemons[self.LEAVING]
            daemon.runner.on_leaving(f"i-{self.LEAVING}")

        self.assert_orders_are_served_in_time(
            ["katalog", "ordre", "ordre"], announce
        )

    def test_a_run_that_waits_for_a_connection_to_the_target(self):
        async def scenario():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                daemon = fleet.daemons[0]
                open_connection = daemon.runner.pool.open

                async def open_late():
                    daemon.target_drain.observe(False, False, 0.0)
                    return await open_connection()

                daemon.runner.pool.open = open_late
                status, _, _ = await fleet.send_request()
                self.assertEqual(503, status)
                self.assertEqual([], fleet.targets[0].requests)

        asyncio.run(asyncio.wait_for(scenario(), 30))
