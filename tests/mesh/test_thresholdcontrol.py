"""Tests of mimosahaven.mesh.thresholdcontrol."""

import testtools
from testtools import matchers

from mimosahaven import identity
from mimosahaven.mesh import thresholdcontrol

STEP = identity.WEIGHT_STEP
DELAY_MS = 300.0


class ThresholdControllerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.threshold = thresholdcontrol.ThresholdController(0.0)
        # The mean age of the requests settles.
        for _ in range(5):
            self.record_arrivals(lambda part: 98 * STEP + part)
            self.threshold.hold()

    def record_arrivals(self, priority_of):
        for number in range(100):
            self.threshold.record(priority_of(number * STEP // 100), DELAY_MS)

    def raise_to_the_end_of_weight_98(self, now_ms):
        while self.threshold.value < 99 * STEP:
            for weight in (98, 100):
                self.record_arrivals(lambda part, w=weight: w * STEP + part)
            self.threshold.raise_by(1.0, True, now_ms)

    def test_a_higher_weight_is_shed_only_when_the_lower_has_been(self):
        self.raise_to_the_end_of_weight_98(1_000.0)
        self.assertEqual(99 * STEP, self.threshold.value)
        for now_ms in (1_150.0, 1_250.0):
            self.record_arrivals(lambda part: 100 * STEP + part)
            self.threshold.raise_by(0.5, True, now_ms)
            self.assertEqual(99 * STEP, self.threshold.value)
        self.record_arrivals(lambda part: 100 * STEP + part)
        self.threshold.raise_by(0.5, True, 1_000.0 + DELAY_MS)
        self.assertThat(self.threshold.value, matchers.GreaterThan(100 * STEP))

    def test_a_higher_weight_that_does_not_wait_is_not_shed(self):
        self.raise_to_the_end_of_weight_98(1_000.0)
        self.record_arrivals(lambda part: 100 * STEP + part)
        self.threshold.raise_by(0.5, False, 2_000.0)
        self.assertEqual(99 * STEP, self.threshold.value)

    def test_one_raise_sheds_no_more_than_one_weight(self):
        self.record_arrivals(lambda part: 99 * STEP + part)
        self.raise_to_the_end_of_weight_98(1_000.0)
        for weight in (99, 100):
            self.record_arrivals(lambda part, w=weight: w * STEP + part)
        self.threshold.raise_by(1.0, True, 2_000.0)
        self.assertEqual(100 * STEP, self.threshold.value)

    def test_weights_without_requests_are_skipped(self):
        self.raise_to_the_end_of_weight_98(1_000.0)
        self.record_arrivals(lambda part: 100 * STEP + part)
        self.threshold.raise_by(0.1, True, 2_000.0)
        self.assertThat(self.threshold.value, matchers.GreaterThan(100 * STEP))
        self.threshold.lower(0.5, 3_000.0)
        self.assertEqual(99 * STEP, self.threshold.value)

    def test_a_change_takes_effect_before_the_next_fall(self):
        self.raise_to_the_end_of_weight_98(1_000.0)
        self.threshold.lower(0.5, 1_000.0 + DELAY_MS / 2)
        self.assertEqual(99 * STEP, self.threshold.value)
        self.threshold.lower(0.5, 1_000.0 + DELAY_MS)
        self.assertThat(self.threshold.value, matchers.LessThan(99 * STEP))
