import math

import testtools

from mimosahaven.mesh import targetdrain

MARGIN_MS = targetdrain.LATENESS_MARGIN_MS


class TargetDrainTest(testtools.TestCase):
    """A daemon that learns late of a drain still sends runs to the target.

    Found by randomized testing with mixed failures.
    """

    def setUp(self):
        super().setUp()
        self.drain = targetdrain.TargetDrain(2_000.0)

    def test_runs_start_until_shortly_before_the_end_of_the_drain(self):
        for drain_ms in (400.0, 2_000.0, 2_500.0, 10_000.0):
            drain = targetdrain.TargetDrain(drain_ms)
            drain.observe(True, True, 0.0)
            self.assertEqual(math.inf, drain.start_until_ms)
            self.assertTrue(drain.observe(False, True, 9_000.0))
            # What follows does not prolong it.
            self.assertFalse(drain.observe(False, True, 9_100.0))
            self.assertEqual(
                9_000.0 + max(0.0, drain_ms - MARGIN_MS),
                drain.start_until_ms,
            )

    def test_runs_are_to_end_before_the_target_may_exit(self):
        self.drain.observe(False, True, 1_000.0)
        self.assertEqual(3_000.0, self.drain.end_by_ms)

    def test_without_another_target_runs_may_be_cut_off(self):
        self.drain.observe(False, False, 1_000.0)
        self.assertEqual(math.inf, self.drain.end_by_ms)
        self.assertEqual(3_000.0 - MARGIN_MS, self.drain.start_until_ms)

    def test_returning_target_accepts_runs_immediately(self):
        self.drain.observe(False, True, 0.0)
        self.assertFalse(self.drain.observe(True, True, 5_000.0))
        self.assertEqual(math.inf, self.drain.start_until_ms)
        self.assertEqual(math.inf, self.drain.end_by_ms)

    def test_nothing_is_refused_before_the_first_list(self):
        self.assertEqual(math.inf, self.drain.start_until_ms)
