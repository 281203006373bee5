"""Tests of mimosahaven.admission."""

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from mimosahaven import admission
from mimosahaven import codes
from tests import targetsim

Code = codes.Code
OK = admission.Outcome.OK
CAPACITY = targetsim.CAPACITY_PER_S
# Operation, number that selects a priority, call or outcome, time since the
# previous step in ms.
STEP = strategies.tuples(
    strategies.sampled_from(["offer", "finish", "withdraw"]),
    strategies.integers(0, 100),
    strategies.floats(0, 400),
)


def make_request(weight, deadline_ms=10_000.0, important=None):
    important = weight >= 50 if important is None else important
    return admission.AdmissionRequest(
        "c", weight * 65536, important, deadline_ms
    )


def make_controller(slots=4, **overrides):
    """Returns a controller whose fixed limit is the number of slots."""
    overrides.setdefault("admission", {"algorithm": "fixed"})
    return admission.AdmissionController(
        targetsim.make_settings(slots, **overrides)
    )


class QueueTest(testtools.TestCase):
    def make_full(self, *others, **overrides):
        """Offers calls while 3 of 4 slots are used and 1 is reserved."""
        controller = make_controller(**overrides)
        self.running = [make_request(10) for _ in range(3)]
        for request in self.running:
            self.assertEqual(controller.offer(request, 0.0).run, [request])
        for request in others:
            controller.offer(request, 0.0)
        return controller

    def test_highest_priority_runs_first(self):
        # In a FIFO queue, old calls of low priority would run first.
        low, high = make_request(10), make_request(20)
        controller = self.make_full(low, high)
        decisions = controller.finish(self.running[0], OK, 5.0, 5.0)
        self.assertEqual(decisions.run, [high])

    def test_higher_priority_displaces_the_lowest(self):
        waiting = [make_request(w) for w in (10, 11, 12, 13)]
        controller = self.make_full(*waiting)
        self.assertEqual(
            controller.offer(make_request(14), 0.0).refused,
            [(waiting[0], Code.DISPLACED)],
        )
        late = make_request(9)
        self.assertEqual(
            controller.offer(late, 0.0).refused, [(late, Code.QUEUE_FULL)]
        )

    def test_important_call_is_displaced_last(self):
        # After a change of important_weight, the priority of an important call
        # can be below that of an ordinary one.
        important = make_request(5, important=True)
        others = [make_request(w) for w in (20, 21, 22)]
        off = {"reserve": False}
        controller = self.make_full(
            make_request(99), important, *others, mechanisms=off
        )
        refused = controller.offer(make_request(30), 0.0).refused
        self.assertEqual(refused, [(others[0], Code.DISPLACED)])

    def test_reserve_stays_free_for_important_calls(self):
        # Long ordinary calls must not occupy all slots.
        controller = self.make_full()
        important = make_request(90)
        self.assertEqual(controller.offer(important, 0.0).run, [important])
        controller = self.make_full(mechanisms={"reserve": False})
        ordinary = make_request(10)
        self.assertEqual(controller.offer(ordinary, 0.0).run, [ordinary])

    def test_call_that_cannot_finish_is_refused(self):
        late, patient = make_request(10, 100.0), make_request(9)
        controller = self.make_full(late, patient)
        self.assertEqual(controller.tick(90.0).refused, [])
        self.assertEqual(
            controller.tick(101.0).refused, [(late, Code.DEADLINE_BEFORE_RUN)]
        )
        decisions = controller.finish(self.running[0], OK, 5.0, 102.0)
        self.assertEqual(decisions.run, [patient])

    def test_overestimated_service_time_does_not_refuse_for_good(self):
        # If every call is refused for its deadline, no new sample can correct
        # the estimate.
        controller = make_controller()
        for _ in range(300):
            slow = make_request(90, 1e9)
            controller.offer(slow, 0.0)
            controller.finish(slow, OK, 1_000.0, 0.0)
        runs = []
        for now_ms in range(0, 3_000, 20):
            controller.tick(now_ms)
            runs += [
                len(
                    controller.offer(make_request(90, now_ms + 300), now_ms).run
                )
            ]
        self.assertEqual((runs[0], max(runs)), (0, 1))

    def test_cancelled_call_does_not_run(self):
        cancelled, next_one = make_request(20), make_request(10)
        controller = self.make_full(cancelled, next_one)
        controller.cancel(cancelled, 1.0)
        self.assertEqual(controller.load(), 1.0)
        decisions = controller.finish(self.running[0], OK, 5.0, 5.0)
        self.assertEqual(decisions.run, [next_one])

    def test_disabled_controller_admits_everything(self):
        controller = make_controller(mechanisms={"admission": False})
        for _ in range(100):
            request = make_request(10, -1.0)
            self.assertEqual(controller.offer(request, 0.0).run, [request])
        self.assertEqual(controller.load(), 25.0)

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(
        strategies.lists(STEP, max_size=200),
        strategies.sampled_from(["aimd", "gradient", "fixed"]),
    )
    def test_every_call_is_decided_once(self, steps, name):
        # A call that is decided twice or never would leak a slot.
        controller = make_controller(8, admission={"algorithm": name})
        now_ms, running, waiting = 0.0, [], {}

        def apply(decisions):
            for request in decisions.run:
                running.append(waiting.pop(request))
            for request, _ in decisions.refused:
                waiting.pop(request)

        for step, number, passed_ms in steps:
            now_ms += passed_ms
            apply(controller.tick(now_ms))
            if step == "offer":
                request = make_request(number, now_ms + 3 * passed_ms + 1)
                waiting[request] = request
                before = len(running)
                apply(controller.offer(request, now_ms))
                if len(running) > before:
                    self.assertEqual(len(running), before + 1)
                    self.assertTrue(len(running) <= 8)
                    if not running[-1].important:
                        self.assertTrue(len(running) <= controller.limit)
            elif step == "finish" and running:
                request = running.pop(number % len(running))
                outcome = list(admission.Outcome)[number % 5]
                apply(controller.finish(request, outcome, passed_ms, now_ms))
            elif waiting:
                request = waiting.pop(list(waiting)[number % len(waiting)])
                apply(controller.cancel(request, now_ms))
            outstanding = len(running) + len(waiting)
            self.assertEqual(
                round(controller.load() * controller.limit), outstanding
            )


class OverloadTest(testtools.TestCase):
    """Offered load of 3 times capacity from 10 s to 20 s, 0.7 otherwise."""

    def run_surge(self, seed=1, browse_ms=targetsim.SERVICE_MS, **overrides):
        load = targetsim.Load
        important = load(0, 26_000, 0.3 * CAPACITY, 90, 2_000)
        scale = targetsim.SERVICE_MS / browse_ms
        browse = load(
            10_000, 20_000, 2.7 * CAPACITY * scale, service_ms=browse_ms
        )
        browse.deadline_ms = 20 * browse_ms
        loads = [important, load(0, 10_000, 0.4 * CAPACITY), browse]
        loads += [load(20_000, 26_000, 0.4 * CAPACITY)]
        settings = targetsim.make_settings(**overrides)
        unloaded = targetsim.TargetSimulation(settings, [important], seed)
        run = targetsim.TargetSimulation(settings, loads, seed)
        span = (10_000, 20_000, [True])
        run.important_share = run.goodput_per_s(*span) / unloaded.goodput_per_s(
            *span
        )
        return run

    def test_goodput_holds_and_recovers(self):
        for seed in (1, 2, 3):
            run = self.run_surge(seed)
            self.assertTrue(run.important_share >= 0.99)
            self.assertTrue(run.goodput_per_s(10_000, 20_000) >= 0.9 * CAPACITY)
            before = run.goodput_per_s(6_000, 10_000)
            self.assertTrue(run.goodput_per_s(22_000, 26_000) >= 0.95 * before)

    def test_threshold_settles_and_returns_to_0_within_about_1_s(self):
        # An oscillating threshold alternately fills the queue and leaves the
        # target idle. Once settled, it must stay within the priorities of the
        # weight whose calls are shed in part.
        for seed in (1, 2, 3):
            trace = self.run_surge(seed).trace
            settled = [x for now, x, _ in trace if 11_000 < now < 20_000]
            self.assertTrue(10.5 * 65536 < min(settled))
            self.assertTrue(max(settled) <= 11 * 65536)
            late = {x for now, x, _ in trace if now > 21_200}
            self.assertEqual(late, {0})

    def test_without_admission_goodput_collapses(self):
        run = self.run_surge(mechanisms={"admission": False})
        self.assertTrue(run.important_share < 0.5)
        self.assertTrue(run.goodput_per_s(10_000, 20_000) < 0.5 * CAPACITY)
        self.assertTrue(
            run.goodput_per_s(22_000, 26_000) < 0.5 * 0.7 * CAPACITY
        )

    def test_reserve_serves_important_calls_beside_long_browse_calls(self):
        # The browse calls run 40 times as long as the important ones.
        shares = {True: [], False: []}
        for seed in (1, 2, 3, 4):
            for reserve in shares:
                mechanisms = {"reserve": reserve}
                run = self.run_surge(seed, 2_000.0, mechanisms=mechanisms)
                shares[reserve].append(run.important_share)
        self.assertTrue(min(shares[True]) >= 0.99)
        self.assertTrue(min(shares[False]) < 0.99)

    def test_limit_is_kept_while_a_downstream_service_is_slow(self):
        # Every call takes 10 times as long from 10 s to 20 s, whatever the
        # limit is. A limit based on latency alone would fall to 1.
        load = targetsim.Load
        for name in ("aimd", "gradient"):
            settings = targetsim.make_settings(admission={"algorithm": name})
            run = targetsim.TargetSimulation(
                settings,
                [load(0, 26_000, 0.4 * CAPACITY, 90, 3_000)],
                changes=[(10_000, "slowness", 10), (20_000, "slowness", 1)],
            )
            during = [x for now, _, x in run.trace if 10_000 < now < 20_000]
            after = [x for now, _, x in run.trace if now > 21_000]
            self.assertTrue(min(during) >= 0.5 * targetsim.SLOTS)
            self.assertTrue(min(after) >= 0.9 * targetsim.SLOTS)
            before = run.goodput_per_s(6_000, 10_000)
            self.assertTrue(run.goodput_per_s(22_000, 26_000) >= 0.95 * before)


def test_offer_and_finish_cost(benchmark):
    controller = make_controller(100, admission={"algorithm": "aimd"})
    clock = [0.0]
    running = []

    def offer_and_finish():
        clock[0] += 0.5
        running.extend(controller.offer(make_request(10, 1e12), clock[0]).run)
        if len(running) > 15:
            running.extend(
                controller.finish(running.pop(0), OK, 8.0, clock[0]).run
            )

    benchmark(offer_and_finish)
