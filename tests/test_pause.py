"""Tests of mimosahaven.pause."""

import testtools
from testtools import matchers

from mimosahaven import pause
from tests import samples


def make_resumed_detector(**overrides) -> pause.PauseDetector:
    """Returns a detector right after a pause from 100 to 5,000 ms."""
    detector = pause.PauseDetector(samples.make_settings(**overrides))
    detector.check_for_pause(0.0)
    detector.check_for_pause(100.0)
    detector.check_for_pause(5_000.0)
    return detector


class PauseDetectorTest(testtools.TestCase):
    def test_late_tick_is_no_pause(self):
        detector = pause.PauseDetector(samples.make_settings())
        # The first tick has no predecessor, and the last one is late.
        seen = [
            detector.check_for_pause(t) for t in (9e6, 9e6 + 100, 9e6 + 1_100)
        ]
        self.assertThat(seen, matchers.Equals([False, False, False]))
        self.assertFalse(detector.refuses_new_requests(9e6 + 1_100))

    def test_backlog_is_refused(self):
        # A resumed daemon must not run calls that were sent during the pause.
        detector = make_resumed_detector()
        self.assertThat(detector.last_gap_ms, matchers.Equals(4_900))
        self.assertThat(
            detector.state(5_000.0), matchers.Is(pause.State.RESUMING)
        )
        detector.record_refresh(5_010.0, requested_ms=5_001.0)
        self.assertFalse(detector.refuses_new_calls(5_010.0))
        self.assertTrue(detector.refuses_new_requests(5_199.0))
        self.assertFalse(detector.refuses_new_requests(5_200.0))

    def test_disabled_detector_refuses_nothing(self):
        detector = make_resumed_detector(mechanisms={"pause_detector": False})
        self.assertFalse(detector.refuses_new_requests(5_000.0))
        self.assertFalse(detector.refuses_new_calls(5_000.0))

    def test_response_from_before_the_pause_is_no_refresh(self):
        # A response that waited in a buffer shows the state before the pause.
        detector = make_resumed_detector()
        detector.record_refresh(5_001.0, requested_ms=90.0)
        self.assertTrue(detector.refuses_new_calls(5_001.0))

    def test_wait_for_a_refresh_is_bounded(self):
        # A daemon without contact to any peer or the platform must still serve
        # its failure domain.
        detector = make_resumed_detector()
        self.assertTrue(detector.refuses_new_calls(5_499.0))
        self.assertTrue(detector.refuses_new_requests(5_499.0))
        self.assertFalse(detector.refuses_new_calls(5_500.0))

    def test_second_pause_while_resuming(self):
        detector = make_resumed_detector()
        detector.record_refresh(5_010.0)
        self.assertTrue(detector.check_for_pause(6_500.0))
        self.assertTrue(detector.refuses_new_calls(6_500.0))
        self.assertThat(detector.pause_count, matchers.Equals(2))
