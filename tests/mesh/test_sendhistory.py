import testtools

from mimosahaven import codes
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import sendhistory
from tests.mesh import samples

Code = codes.Code
SERVING = tuple(samples.target(f"i-{n}", f"10.0.0.{n}") for n in range(3))
REFUSED = outcomes.Refused(Code.TARGET_REFUSED, arrived=True)
ELSEWHERE = outcomes.Refused(Code.LEAVING)
LOST = outcomes.Failed(Code.TARGET_LOST)


def ids(trail):
    return {
        target.target_id
        for target in trail.candidates(SERVING)
        if target.target_id not in trail.excluded
    }


class SendHistoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.trail = sendhistory.SendHistory(2)

    def test_another_target_goes_first(self):
        self.trail.record("i-0", REFUSED)
        self.assertEqual({"i-1", "i-2"}, ids(self.trail))

    def test_targets_that_refused_are_asked_again_and_no_others(self):
        self.trail.record("i-0", REFUSED)
        self.trail.record("i-1", REFUSED)
        self.assertEqual({"i-0", "i-1"}, ids(self.trail))
        self.assertFalse(self.trail.is_exhausted)

    def test_a_target_that_may_have_run_it_is_not_asked_again(self):
        self.trail.record("i-0", LOST)
        self.trail.record("i-1", REFUSED)
        self.assertEqual({"i-1"}, ids(self.trail))
        self.trail.record("i-1", LOST)
        self.assertTrue(self.trail.is_exhausted)

    def test_daemons_that_refuse_are_no_targets(self):
        for number in range(sendhistory.DAEMON_REFUSALS_MAX):
            self.assertFalse(self.trail.is_exhausted)
            self.trail.record(f"i-{number}", ELSEWHERE)
        self.assertTrue(self.trail.is_exhausted)
        self.assertEqual(set(), self.trail.arrived)

    def test_refusals_end(self):
        for _ in range(sendhistory.TARGET_SENDS_MAX):
            self.assertFalse(self.trail.is_exhausted)
            self.trail.record("i-0", REFUSED)
        self.assertTrue(self.trail.is_exhausted)
