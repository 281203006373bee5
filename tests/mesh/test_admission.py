import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies
from testtools import matchers

from mimosahaven import codes
from mimosahaven import identity
from mimosahaven.mesh import admission as admission_lib

Code = codes.Code


def ticket(weight, deadline_ms=1e9, now_ms=0.0):
    return admission_lib.AdmissionRequest(
        weight * identity.WEIGHT_STEP, deadline_ms, now_ms
    )


class GateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.admission = admission_lib.AdmissionController(4, 0.0)
        self.limit = self.admission.limit

    def fill(self):
        for _ in range(self.limit):
            self.admission.offer(ticket(5), 0.0)

    def test_never_more_than_the_slots_run(self):
        for _ in range(20):
            self.admission.offer(ticket(5), 0.0)
        self.assertThat(self.admission.running, matchers.LessThan(5))

    def test_the_most_important_runs_next(self):
        self.fill()
        low, high = ticket(1), ticket(9)
        self.admission.offer(low, 0.0)
        self.admission.offer(high, 0.0)
        self.assertEqual([high], self.admission.finish(50.0, 10.0).run)
        self.assertEqual([low], self.admission.finish(50.0, 10.0).run)

    def test_the_oldest_root_runs_next_among_equals(self):
        self.fill()
        young, old = ticket(5, now_ms=9.0), ticket(5, now_ms=1.0)
        self.admission.offer(young, 10.0)
        self.admission.offer(old, 10.0)
        self.assertEqual([old], self.admission.finish(50.0, 20.0).run)

    def test_a_full_queue_gives_up_the_least_important(self):
        self.fill()
        low = ticket(1)
        self.admission.offer(low, 0.0)
        refused = []
        while not refused:
            refused = self.admission.offer(ticket(9), 0.0).refused
        self.assertEqual([(low, Code.DISPLACED)], refused)

    def test_what_cannot_end_in_time_is_refused_before_it_runs(self):
        self.fill()
        late = ticket(9, deadline_ms=40.0)
        self.admission.offer(late, 0.0)
        self.assertEqual(
            [(late, Code.DEADLINE_BEFORE_RUN)],
            self.admission.tick(41.0).refused,
        )

    def test_the_threshold_rises_in_overload_and_falls_after_it(self):
        now_ms = 0.0
        running = 0
        for step in range(200):
            now_ms = step * 10.0
            verdicts = self.admission.offer(
                ticket(step % 97 + 1, 1e9, now_ms), now_ms
            )
            running += len(verdicts.run)
            if step % 4 == 0 and running:
                running += len(self.admission.finish(40.0, now_ms).run) - 1
        self.assertThat(self.admission.threshold, matchers.GreaterThan(0))
        while running:
            running += len(self.admission.finish(40.0, now_ms).run) - 1
        for step in range(1, 100):
            self.admission.tick(now_ms + step * 100.0)
        self.assertEqual(0, self.admission.threshold)

    def test_what_cannot_end_in_time_is_refused_on_arrival(self):
        for _ in range(20):
            self.admission.offer(ticket(5), 0.0)
            self.admission.finish(100.0, 100.0)
        late = ticket(9, deadline_ms=110.0)
        verdicts = self.admission.offer(late, 100.0)
        self.assertEqual([(late, Code.DEADLINE_BEFORE_RUN)], verdicts.refused)
        self.assertEqual([], verdicts.run)

    def test_calls_that_come_too_late_are_no_overload(self):
        # An origin that sends them late says nothing of this target.
        for _ in range(20):
            self.admission.offer(ticket(5), 0.0)
            self.admission.finish(100.0, 0.0)
        # The expected time fades without ends; for so long it is above 5 ms.
        for step in range(100):
            now_ms = step * 10.0
            self.admission.offer(ticket(9, deadline_ms=now_ms + 5), now_ms)
        self.assertEqual(0, self.admission.threshold)

    def test_an_old_mean_is_not_told(self):
        self.admission.offer(ticket(5), 0.0)
        self.admission.finish(600.0, 600.0)
        self.assertThat(self.admission.mean_ms, matchers.GreaterThan(0))
        self.admission.tick(600.0 + admission_lib.MEAN_KEEP_MS + 1)
        self.assertEqual(0.0, self.admission.mean_ms)


class RecoveryTest(testtools.TestCase):
    """A slow target is fast again, as in the incident inc-20d6."""

    def test_the_threshold_falls_within_a_second(self):
        gate = admission_lib.AdmissionController(29, 0.0)
        running, now_ms = 0, 0.0
        for step in range(300):
            now_ms = step * 5.0
            weight = 98 + step % 3
            priority = weight * identity.WEIGHT_STEP + step * 7919 % 65536
            offered = admission_lib.AdmissionRequest(
                priority, now_ms + 500, now_ms
            )
            running += len(gate.offer(offered, now_ms).run)
            if step % 10 == 0 and running:
                running += len(gate.finish(240.0, now_ms).run) - 1
        self.assertThat(
            gate.threshold, matchers.GreaterThan(99 * identity.WEIGHT_STEP)
        )
        end_ms = now_ms + 1_000.0
        while now_ms < end_ms:
            now_ms += 5.0
            # Only the most important requests come; they use half the slots.
            while running > 14:
                running += len(gate.finish(20.0, now_ms).run) - 1
            lowest = max(gate.threshold, 99 * identity.WEIGHT_STEP)
            step = 101 * identity.WEIGHT_STEP - lowest
            priority = lowest + int(now_ms) * 7919 % step
            offered = admission_lib.AdmissionRequest(
                priority, now_ms + 500, now_ms
            )
            running += len(gate.offer(offered, now_ms).run)
        self.assertThat(
            gate.threshold, matchers.LessThan(99 * identity.WEIGHT_STEP)
        )


class GateMachine(stateful.RuleBasedStateMachine):
    """Any order of arrivals, ends, leavings and pauses."""

    def __init__(self):
        super().__init__()
        self.admission = admission_lib.AdmissionController(4, 0.0)
        self.now_ms = 0.0
        self.waiting = []
        self.running = []

    def take_in(self, verdicts):
        """Checks that each verdict is about a ticket that waits, once."""
        for one in verdicts.run:
            self.waiting.remove(one)
            self.running.append(one)
            higher = [w for w in self.waiting if w.priority > one.priority]
            refused = [given_up for given_up, _ in verdicts.refused]
            assert all(w in refused or w in verdicts.run for w in higher)
        for one, code in verdicts.refused:
            self.waiting.remove(one)
            if code is Code.DISPLACED:
                assert all(w.priority >= one.priority for w in self.waiting)

    @stateful.rule(
        weight=strategies.integers(1, 3),
        age_ms=strategies.floats(0, 500),
        left_ms=strategies.floats(-50, 2_000),
    )
    def offer(self, weight, age_ms, left_ms):
        new = admission_lib.AdmissionRequest(
            weight * identity.WEIGHT_STEP,
            self.now_ms + left_ms,
            self.now_ms - age_ms,
        )
        self.waiting.append(new)
        self.take_in(self.admission.offer(new, self.now_ms))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(service_ms=strategies.none() | strategies.floats(1, 800))
    def finish(self, service_ms):
        self.running.pop()
        self.take_in(self.admission.finish(service_ms, self.now_ms))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        left = data.draw(strategies.sampled_from(self.waiting))
        self.waiting.remove(left)
        self.admission.cancel(left, self.now_ms)

    @stateful.rule(passed_ms=strategies.floats(0, 3_000))
    def tick(self, passed_ms):
        self.now_ms += passed_ms
        self.take_in(self.admission.tick(self.now_ms))

    @stateful.invariant()
    def keeps_its_counts(self):
        gate = self.admission
        assert gate.running == len(self.running) <= gate.limit
        assert gate.waiting == len(self.waiting)
        assert gate.waiting <= gate.limit * admission_lib.QUEUE_FACTOR
        assert not gate.waiting or gate.running == gate.limit
        assert gate.threshold >= 0


GateMachineTest = GateMachine.TestCase
GateMachineTest.settings = hypothesis.settings(
    database=None, derandomize=True, deadline=None, max_examples=60
)
