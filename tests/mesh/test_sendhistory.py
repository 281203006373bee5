import testtools

from mimosahaven import codes
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import sendhistory
from tests.mesh import samples

Code = codes.Code
SERVING = tuple(samples.target(f"i-{n}", f"10.0.0.{n}") for n in range(3))
REFUSED_BY_TARGET = outcomes.Refused(Code.TARGET_REFUSED, arrived=True)
REFUSED_BY_DAEMON = outcomes.Refused(Code.LEAVING)
LOST = outcomes.Failed(Code.TARGET_LOST)


def eligible_ids(history):
    return {
        target.target_id
        for target in history.candidates(SERVING)
        if target.target_id not in history.excluded
    }


class SendHistoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.history = sendhistory.SendHistory(2)

    def test_untried_targets_are_preferred(self):
        self.history.record("i-0", REFUSED_BY_TARGET)
        self.assertEqual({"i-1", "i-2"}, eligible_ids(self.history))

    def test_only_refusing_targets_are_retried_at_the_target_limit(self):
        self.history.record("i-0", REFUSED_BY_TARGET)
        self.history.record("i-1", REFUSED_BY_TARGET)
        self.assertEqual({"i-0", "i-1"}, eligible_ids(self.history))
        self.assertFalse(self.history.is_exhausted)

    def test_target_that_may_have_run_the_request_is_excluded(self):
        self.history.record("i-0", LOST)
        self.history.record("i-1", REFUSED_BY_TARGET)
        self.assertEqual({"i-1"}, eligible_ids(self.history))
        self.history.record("i-1", LOST)
        self.assertTrue(self.history.is_exhausted)

    def test_daemon_refusals_do_not_count_as_targets(self):
        for number in range(sendhistory.DAEMON_REFUSALS_MAX):
            self.assertFalse(self.history.is_exhausted)
            self.history.record(f"i-{number}", REFUSED_BY_DAEMON)
        self.assertTrue(self.history.is_exhausted)
        self.assertEqual(set(), self.history.arrived)

    def test_target_refusals_are_limited(self):
        for _ in range(sendhistory.TARGET_SENDS_MAX):
            self.assertFalse(self.history.is_exhausted)
            self.history.record("i-0", REFUSED_BY_TARGET)
        self.assertTrue(self.history.is_exhausted)


class ReroutedTest(testtools.TestCase):
    """Guards against queues that all runs refused for a stop may exceed."""

    def test_only_a_run_that_had_waited_is_rerouted(self):
        for queued in (False, True):
            history = sendhistory.SendHistory(2)
            history.record(
                "i-1", outcomes.Refused(codes.Code.LEAVING, queued=queued)
            )
            self.assertEqual(queued, history.rerouted)
