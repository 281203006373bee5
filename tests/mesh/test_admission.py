import collections
import heapq
import itertools
import random
import typing

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies
from testtools import matchers

from mimosahaven import codes
from mimosahaven import identity
from mimosahaven.mesh import admission as admission_lib

Code = codes.Code


def make_request(weight, deadline_ms=1e9, now_ms=0.0):
    return admission_lib.AdmissionRequest(
        weight * identity.WEIGHT_STEP, deadline_ms, now_ms
    )


class AdmissionControllerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.admission = admission_lib.AdmissionController(4, 0.0)
        self.limit = self.admission.limit

    def fill(self):
        for _ in range(self.limit):
            self.admission.offer(make_request(5), 0.0)

    def test_running_never_exceeds_slots(self):
        for _ in range(20):
            self.admission.offer(make_request(5), 0.0)
        self.assertThat(self.admission.running, matchers.LessThan(5))

    def test_highest_priority_runs_next(self):
        self.fill()
        low, high = make_request(1), make_request(9)
        self.admission.offer(low, 0.0)
        self.admission.offer(high, 0.0)
        self.assertEqual([high], self.admission.finish(50.0, 10.0).run)
        self.assertEqual([low], self.admission.finish(50.0, 10.0).run)

    def test_oldest_root_request_runs_next_among_equals(self):
        self.fill()
        young, old = make_request(5, now_ms=9.0), make_request(5, now_ms=1.0)
        self.admission.offer(young, 10.0)
        self.admission.offer(old, 10.0)
        self.assertEqual([old], self.admission.finish(50.0, 20.0).run)

    def test_full_queue_drops_the_lowest_priority(self):
        self.fill()
        low = make_request(1)
        self.admission.offer(low, 0.0)
        refused = []
        while not refused:
            refused = self.admission.offer(make_request(9), 0.0).refused
        self.assertEqual([(low, Code.DISPLACED)], refused)

    def test_queued_run_that_would_miss_its_deadline_is_refused(self):
        self.fill()
        late = make_request(9, deadline_ms=40.0)
        self.admission.offer(late, 0.0)
        self.assertEqual(
            [(late, Code.DEADLINE_BEFORE_RUN)],
            self.admission.tick(41.0).refused,
        )

    def test_threshold_rises_in_overload_and_falls_afterwards(self):
        now_ms = 0.0
        running = 0
        for step in range(200):
            now_ms = step * 10.0
            decisions = self.admission.offer(
                make_request(step % 97 + 1, 1e9, now_ms), now_ms
            )
            running += len(decisions.run)
            if step % 4 == 0 and running:
                running += len(self.admission.finish(40.0, now_ms).run) - 1
        self.assertThat(self.admission.threshold, matchers.GreaterThan(0))
        while running:
            running += len(self.admission.finish(40.0, now_ms).run) - 1
        for step in range(1, 100):
            self.admission.tick(now_ms + step * 100.0)
        self.assertEqual(0, self.admission.threshold)

    def test_run_that_would_miss_its_deadline_is_refused_on_arrival(self):
        for _ in range(20):
            self.admission.offer(make_request(5), 0.0)
            self.admission.finish(100.0, 100.0)
        late = make_request(9, deadline_ms=110.0)
        decisions = self.admission.offer(late, 100.0)
        self.assertEqual([(late, Code.DEADLINE_BEFORE_RUN)], decisions.refused)
        self.assertEqual([], decisions.run)

    def test_late_calls_do_not_raise_the_threshold(self):
        # Late calls are caused by the sender, not by the load of this target.
        for _ in range(20):
            self.admission.offer(make_request(5), 0.0)
            self.admission.finish(100.0, 0.0)
        # The expected run time decays while no run ends, but stays above 5 ms
        # for the duration of this loop.
        for step in range(100):
            now_ms = step * 10.0
            self.admission.offer(
                make_request(9, deadline_ms=now_ms + 5), now_ms
            )
        self.assertEqual(0, self.admission.threshold)

    def test_stale_mean_is_not_reported(self):
        self.admission.offer(make_request(5), 0.0)
        self.admission.finish(600.0, 600.0)
        self.assertThat(self.admission.mean_ms, matchers.GreaterThan(0))
        self.admission.tick(600.0 + admission_lib.MEAN_MAX_AGE_MS + 1)
        self.assertEqual(0.0, self.admission.mean_ms)


class RateLimitTest(testtools.TestCase):
    """A target that announces how many requests per second it accepts."""

    def setUp(self):
        super().setUp()
        self.admission = admission_lib.AdmissionController(100, 0.0)
        for _ in range(200):
            self.admission.offer(make_request(5), 0.0)
            self.admission.finish(100.0, 0.0)
        self.admission.set_rate_limit(20.0, 0.0)

    def play(self, interval_ms, end_ms):
        """Offers requests of 100 ms at an interval; returns how many start."""
        started, now_ms, running = 0, 0.0, []
        next_offer_ms = 0.0
        while now_ms < end_ms:
            now_ms += 1.0
            decisions = [self.admission.tick(now_ms)]
            if now_ms >= next_offer_ms:
                next_offer_ms += interval_ms
                request = make_request(5, now_ms + 5_000, now_ms)
                decisions.append(self.admission.offer(request, now_ms))
            while running and running[0] <= now_ms:
                running.pop(0)
                decisions.append(self.admission.finish(100.0, now_ms))
            for decision in decisions:
                started += len(decision.run)
                running += [now_ms + 100.0] * len(decision.run)
        return started

    def test_runs_start_at_the_announced_rate(self):
        started = self.play(interval_ms=10.0, end_ms=5_000.0)
        self.assertThat(started, matchers.GreaterThan(95))
        self.assertThat(started, matchers.LessThan(5 * 20 + 20 // 2 + 2))
        self.assertThat(self.admission.threshold, matchers.GreaterThan(0))

    def test_a_wait_for_the_next_turn_is_no_overload(self):
        # 18 requests per second, which come 60 and 50 ms apart in turn, fit.
        self.play(interval_ms=1000 / 18, end_ms=5_000.0)
        self.assertEqual(0, self.admission.threshold)

    def test_reported_concurrency_follows_from_the_rate(self):
        # 20 runs per second of 100 ms each occupy two slots.
        self.assertEqual(2, self.admission.usable_limit)
        self.assertEqual(95, self.admission.limit)
        self.admission.set_rate_limit(None, 0.0)
        self.assertEqual(95, self.admission.usable_limit)

    def test_reported_run_time_is_that_of_a_slower_turn(self):
        # One run every 2 s: load balancing must not count on 100 ms.
        self.admission.set_rate_limit(0.5, 0.0)
        self.assertEqual(1, self.admission.usable_limit)
        self.assertEqual(2_000.0, self.admission.mean_ms)

    def test_the_next_turn_is_known(self):
        self.assertIsNone(self.admission.next_dispatch_ms(0.0))
        self.admission.offer(make_request(5), 0.0)
        self.assertEqual(50.0, self.admission.next_dispatch_ms(0.0))


class RecoveryTest(testtools.TestCase):
    """A slow target recovers, as in incident inc-20d6.

    A threshold that falls only in small steps leaves it half idle for seconds.
    """

    def test_threshold_falls_within_a_second_of_recovery(self):
        admission = admission_lib.AdmissionController(29, 0.0)
        running, now_ms = 0, 0.0
        for step in range(300):
            now_ms = step * 5.0
            weight = 98 + step % 3
            priority = weight * identity.WEIGHT_STEP + step * 7919 % 65536
            offered = admission_lib.AdmissionRequest(
                priority, now_ms + 500, now_ms
            )
            running += len(admission.offer(offered, now_ms).run)
            if step % 10 == 0 and running:
                running += len(admission.finish(240.0, now_ms).run) - 1
        self.assertThat(
            admission.threshold, matchers.GreaterThan(99 * identity.WEIGHT_STEP)
        )
        end_ms = now_ms + 1_000.0
        while now_ms < end_ms:
            now_ms += 5.0
            # Only the most important requests arrive; they use half the slots.
            while running > 14:
                running += len(admission.finish(20.0, now_ms).run) - 1
            lowest = max(admission.threshold, 99 * identity.WEIGHT_STEP)
            step = 101 * identity.WEIGHT_STEP - lowest
            priority = lowest + int(now_ms) * 7919 % step
            offered = admission_lib.AdmissionRequest(
                priority, now_ms + 500, now_ms
            )
            running += len(admission.offer(offered, now_ms).run)
        self.assertThat(
            admission.threshold, matchers.LessThan(99 * identity.WEIGHT_STEP)
        )


class GateMachine(stateful.RuleBasedStateMachine):
    """Random sequences of arrivals, completions, cancellations and pauses."""

    def __init__(self):
        super().__init__()
        self.admission = admission_lib.AdmissionController(4, 0.0)
        self.now_ms = 0.0
        self.waiting = []
        self.running = []

    def check_decisions(self, decisions):
        """Checks that each decision concerns a queued request, exactly once."""
        for request in decisions.run:
            self.waiting.remove(request)
            self.running.append(request)
            higher = [w for w in self.waiting if w.priority > request.priority]
            refused = [rejected for rejected, _ in decisions.refused]
            assert all(w in refused or w in decisions.run for w in higher)
        for request, code in decisions.refused:
            self.waiting.remove(request)
            if code is Code.DISPLACED:
                assert all(w.priority >= request.priority for w in self.waiting)

    @stateful.rule(
        weight=strategies.integers(1, 3),
        age_ms=strategies.floats(0, 500),
        left_ms=strategies.floats(-50, 2_000),
    )
    def offer(self, weight, age_ms, left_ms):
        request = admission_lib.AdmissionRequest(
            weight * identity.WEIGHT_STEP,
            self.now_ms + left_ms,
            self.now_ms - age_ms,
        )
        self.waiting.append(request)
        self.check_decisions(self.admission.offer(request, self.now_ms))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(service_ms=strategies.none() | strategies.floats(1, 800))
    def finish(self, service_ms):
        self.running.pop()
        self.check_decisions(self.admission.finish(service_ms, self.now_ms))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        cancelled = data.draw(strategies.sampled_from(self.waiting))
        self.waiting.remove(cancelled)
        self.admission.cancel(cancelled, self.now_ms)

    @stateful.rule(passed_ms=strategies.floats(0, 3_000))
    def tick(self, passed_ms):
        self.now_ms += passed_ms
        self.check_decisions(self.admission.tick(self.now_ms))

    @stateful.invariant()
    def keeps_its_counts(self):
        admission = self.admission
        assert admission.running == len(self.running) <= admission.limit
        assert admission.waiting == len(self.waiting)
        assert admission.waiting <= admission.limit * admission_lib.QUEUE_FACTOR
        assert not admission.waiting or admission.running == admission.limit
        assert admission.threshold >= 0


GateMachineTest = GateMachine.TestCase
GateMachineTest.settings = hypothesis.settings(
    database=None, derandomize=True, deadline=None, max_examples=60
)


class DelayedArrivalSimulation:
    """A service deep in the call graph that is overloaded.

    Requests are shed at their origin by its threshold, and those let in reach
    it 300 ms later.

    Args:
      seed: Seed of the arrivals.
      rates: Arrivals of each weight, as a multiple of the capacity.
      duration_ms: Simulated time.

    Attributes:
      capacity: Runs that the service could complete.
      served: Runs that it has completed.
      sent: Requests of each weight.
      shed_at_origin: Requests of each weight that were shed.
      falls_ms: Times at which the threshold fell.
    """

    DELAY_MS = 300.0
    RUN_MS = 40.0

    def __init__(self, seed, rates, duration_ms=60_000.0):
        self._duration_ms = duration_ms
        self._rng = random.Random(seed)
        self._rates = rates
        self._admission = admission_lib.AdmissionController(18, 0.0)
        self._running, self._travelling = [], []
        self._now_ms = 0.0
        self._capacity_per_ms = self._admission.limit / self.RUN_MS
        self.capacity = self._capacity_per_ms * duration_ms
        self.served = 0
        self.sent = collections.Counter()
        self.shed_at_origin = collections.Counter()
        self.falls_ms = []

    def run(self):
        gap_ms = 1 / (self._capacity_per_ms * sum(self._rates.values()))
        next_ms = threshold = 0
        while self._now_ms < self._duration_ms:
            self._now_ms = min(
                [next_ms, *self._running[:1], *self._travelling[:1]]
            )
            if self._running and self._running[0] == self._now_ms:
                heapq.heappop(self._running)
                self.served += 1
                self._apply(self._admission.finish(self.RUN_MS, self._now_ms))
            elif self._travelling and self._travelling[0] == self._now_ms:
                heapq.heappop(self._travelling)
                self._arrive(self._now_ms - self.DELAY_MS)
            else:
                next_ms += self._rng.expovariate(1 / gap_ms)
                self._send(self._now_ms)
            if self._admission.threshold < threshold:
                self.falls_ms.append(self._now_ms)
            threshold = self._admission.threshold
        return self

    def _priority(self, root_ms):
        """Returns the priority of the request that began at a time."""
        rng = random.Random(root_ms)
        (weight,) = rng.choices(list(self._rates), self._rates.values())
        return identity.priority(weight, repr(root_ms))

    def _send(self, root_ms):
        # Found again from the time of arrival, as it is rounded there.
        root_ms = root_ms + self.DELAY_MS - self.DELAY_MS
        priority = self._priority(root_ms)
        self.sent[priority // identity.WEIGHT_STEP] += 1
        if priority >= self._admission.threshold:
            heapq.heappush(self._travelling, root_ms + self.DELAY_MS)
        else:
            self.shed_at_origin[priority // identity.WEIGHT_STEP] += 1

    def _arrive(self, root_ms):
        request = admission_lib.AdmissionRequest(
            self._priority(root_ms), root_ms + 1_500.0, root_ms
        )
        self._apply(self._admission.offer(request, self._now_ms))

    def _apply(self, decisions):
        for _ in decisions.run:
            heapq.heappush(self._running, self._now_ms + self.RUN_MS)


class DelayedArrivalTest(testtools.TestCase):
    """The threshold of a deep service went down and up by more than the load.

    Its queue was full or empty in turn.
    """

    RATES: typing.ClassVar = {98: 2.5}

    def test_the_threshold_falls_no_faster_than_its_effect_is_seen(self):
        for seed in range(3):
            simulation = DelayedArrivalSimulation(seed, self.RATES).run()
            # The mean age of requests needs some runs to settle.
            falls_ms = [t for t in simulation.falls_ms if t > 10_000.0]
            self.assertThat(len(falls_ms), matchers.GreaterThan(10))
            for earlier_ms, later_ms in itertools.pairwise(falls_ms):
                self.assertThat(
                    later_ms - earlier_ms,
                    matchers.GreaterThan(0.99 * simulation.DELAY_MS),
                )

    def test_the_service_stays_in_use(self):
        for seed in range(3):
            simulation = DelayedArrivalSimulation(seed, self.RATES).run()
            self.assertThat(
                simulation.served,
                matchers.GreaterThan(0.9 * simulation.capacity),
            )


class ImportantRequestsTest(testtools.TestCase):
    """The most important requests nearly fill a service, others exceed it.

    No request has the weight between the two ranks. Seen where the threshold
    went up and down through that weight: the service was idle in part, and
    important requests were shed in turn (incident inc-6a74). The bounds are the
    goals of docs/design.md for an offered load of three times the capacity.
    """

    RATES: typing.ClassVar = {98: 2.1, 100: 0.9}

    def test_goodput(self):
        sent, shed = 0, 0
        for seed in range(6):
            simulation = DelayedArrivalSimulation(
                seed, self.RATES, 20_000.0
            ).run()
            self.assertThat(
                simulation.served,
                matchers.GreaterThan(0.9 * simulation.capacity),
            )
            sent += simulation.sent[100]
            shed += simulation.shed_at_origin[100]
        self.assertThat(shed, matchers.LessThan(0.01 * sent))
