import testtools
from testtools import matchers

from mimosahaven.mesh import durations


class DurationEstimateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.estimate = durations.DurationEstimate()

    def test_without_samples_a_request_may_last_until_its_deadline(self):
        self.assertEqual(8_000, self.estimate.latest_end_ms(1_000, 8_000))

    def test_equal_durations(self):
        for _ in range(100):
            self.estimate.record(600)
        end_ms = self.estimate.latest_end_ms(1_000, 8_000)
        self.assertThat(end_ms, matchers.GreaterThan(1_599))
        self.assertThat(end_ms, matchers.LessThan(1_700))

    def test_varying_durations_end_within_the_estimate(self):
        for _ in range(50):
            for duration_ms in (100, 200, 900):
                self.estimate.record(duration_ms)
        end_ms = self.estimate.latest_end_ms(0, 8_000)
        self.assertThat(end_ms, matchers.GreaterThan(900))

    def test_a_request_ends_at_its_deadline(self):
        self.estimate.record(5_000)
        self.assertEqual(3_000, self.estimate.latest_end_ms(1_000, 3_000))
