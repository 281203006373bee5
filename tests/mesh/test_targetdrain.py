import testtools

from mimosahaven.mesh import targetdrain

DRAIN_GRACE_MS = targetdrain.DRAIN_GRACE_MS


class TargetDrainTest(testtools.TestCase):
    """A daemon that learns late of a drain still sends runs to the target.

    Found by randomized testing with mixed failures.
    """

    def setUp(self):
        super().setUp()
        self.target_drain = targetdrain.TargetDrain()

    def test_runs_are_refused_after_the_grace_period(self):
        self.target_drain.observe(True, 0.0)
        self.assertFalse(self.target_drain.refuses_runs(9_000.0))
        self.target_drain.observe(False, 9_000.0)
        self.target_drain.observe(False, 9_000.0 + DRAIN_GRACE_MS)
        self.assertFalse(
            self.target_drain.refuses_runs(9_000.0 + DRAIN_GRACE_MS)
        )
        self.assertTrue(
            self.target_drain.refuses_runs(9_001.0 + DRAIN_GRACE_MS)
        )

    def test_returning_target_accepts_runs_immediately(self):
        self.target_drain.observe(False, 0.0)
        self.target_drain.observe(True, 5_000.0)
        self.assertFalse(self.target_drain.refuses_runs(5_000.0))

    def test_nothing_is_refused_before_the_first_list(self):
        self.assertFalse(self.target_drain.refuses_runs(9_000.0))
