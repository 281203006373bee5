"""Tests of mimosahaven.pause."""

import testtools
from testtools import matchers

from mimosahaven import pause
from tests import samples


def resumed(**parts) -> pause.PauseDetector:
    """Returns a detector right after a pause from 100 to 5,000 ms."""
    detector = pause.PauseDetector(samples.settings(**parts))
    detector.observe(0.0)
    detector.observe(100.0)
    detector.observe(5_000.0)
    return detector


class PauseDetectorTest(testtools.TestCase):
    def test_ticks_are_no_pause(self):
        detector = pause.PauseDetector(samples.settings())
        # The first event has no predecessor; a late tick is no pause.
        seen = [detector.observe(t) for t in (9e6, 9e6 + 100, 9e6 + 1_100)]
        self.assertThat(seen, matchers.Equals([False, False, False]))
        self.assertFalse(detector.refuses_http(9e6 + 1_100))

    def test_backlog_is_refused(self):
        # A stopped daemon must not run what was sent to it long ago.
        detector = resumed()
        self.assertThat(detector.last_gap_ms, matchers.Equals(4_900))
        self.assertThat(
            detector.state(5_000.0), matchers.Is(pause.State.RESUMING)
        )
        detector.record_refresh(5_010.0, asked_ms=5_001.0)
        self.assertFalse(detector.refuses_new_calls(5_010.0))
        self.assertTrue(detector.refuses_http(5_199.0))
        self.assertFalse(detector.refuses_http(5_200.0))

    def test_switched_off(self):
        detector = resumed(mechanisms={"pause_detector": False})
        self.assertFalse(detector.refuses_http(5_000.0))
        self.assertFalse(detector.refuses_new_calls(5_000.0))

    def test_old_answer_is_no_refresh(self):
        # An answer that waited in the buffer tells the state before the pause.
        detector = resumed()
        detector.record_refresh(5_001.0, asked_ms=90.0)
        self.assertTrue(detector.refuses_new_calls(5_001.0))

    def test_wait_for_a_refresh_is_bounded(self):
        # A daemon cut off from everybody serves its own failure domain.
        detector = resumed()
        self.assertTrue(detector.refuses_new_calls(5_499.0))
        self.assertTrue(detector.refuses_http(5_499.0))
        self.assertFalse(detector.refuses_new_calls(5_500.0))

    def test_second_pause_while_resuming(self):
        detector = resumed()
        detector.record_refresh(5_010.0)
        self.assertTrue(detector.observe(6_500.0))
        self.assertTrue(detector.refuses_new_calls(6_500.0))
        self.assertThat(detector.pause_count, matchers.Equals(2))
