import testtools

from mimosahaven.mesh import targetdrain

ALLOWED_MS = targetdrain.ALLOWED_MS


class DepartureTest(testtools.TestCase):
    """An origin that hears late, seen on a mixed day of a hunt."""

    def setUp(self):
        super().setUp()
        self.target_drain = targetdrain.TargetDrain()

    def test_runs_are_refused_some_time_after_the_target_has_left(self):
        self.target_drain.observe(True, 0.0)
        self.assertFalse(self.target_drain.refuses_runs(9_000.0))
        self.target_drain.observe(False, 9_000.0)
        self.target_drain.observe(False, 9_000.0 + ALLOWED_MS)
        self.assertFalse(self.target_drain.refuses_runs(9_000.0 + ALLOWED_MS))
        self.assertTrue(self.target_drain.refuses_runs(9_001.0 + ALLOWED_MS))

    def test_a_target_that_comes_back_takes_runs_at_once(self):
        self.target_drain.observe(False, 0.0)
        self.target_drain.observe(True, 5_000.0)
        self.assertFalse(self.target_drain.refuses_runs(5_000.0))

    def test_before_the_first_list_nothing_is_refused(self):
        self.assertFalse(self.target_drain.refuses_runs(9_000.0))
