import hypothesis
import testtools
from hypothesis import strategies
from testtools import matchers

from mimosahaven.mesh import ratelimit

# Specified bound on the requests in any window.
WINDOW_MS = 4_000.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5


def most_in_window(sent_ms):
    """Returns the most sends in any window; `sent_ms` is in ascending order."""
    most = first = 0
    for last, at_ms in enumerate(sent_ms):
        while at_ms - sent_ms[first] >= WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


class TargetRateLimiterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.limiter = ratelimit.TargetRateLimiter()

    def send_all(self, start_ms, end_ms):
        """Sends as much as allowed; returns the times of the sends."""
        sent_ms, now_ms = [], start_ms
        while now_ms < end_ms:
            if self.limiter.try_acquire(now_ms):
                sent_ms.append(now_ms)
            else:
                now_ms = max(now_ms + 1, self.limiter.next_send_ms(now_ms))
        return sent_ms

    @hypothesis.given(
        limit_per_s=strategies.floats(0, 500),
        pauses_ms=strategies.lists(strategies.floats(0, 6_000), max_size=5),
    )
    @hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
    def test_no_window_has_more_than_the_limit_allows(
        self, limit_per_s, pauses_ms
    ):
        limiter = self.limiter = ratelimit.TargetRateLimiter()
        limiter.set_limit(limit_per_s, 0.0)
        sent_ms, now_ms = [], 0.0
        for pause_ms in [0.0, *pauses_ms]:
            now_ms += pause_ms
            sent_ms += self.send_all(now_ms, now_ms + 2_000)
            now_ms += 2_000
        allowed = LIMIT_FACTOR * limit_per_s * WINDOW_MS / 1000
        self.assertThat(
            most_in_window(sent_ms),
            matchers.LessThan(allowed + EXTRA_REQUESTS + 1),
        )

    def test_the_whole_limit_is_used(self):
        self.limiter.set_limit(20.0, 0.0)
        sent_ms = self.send_all(0.0, 10_000.0)
        self.assertThat(len(sent_ms), matchers.GreaterThan(198))

    def test_a_target_that_accepts_nothing_gets_a_request_at_times(self):
        # Only the response to a request can tell that the limit is lifted.
        self.limiter.set_limit(0.0, 0.0)
        sent_ms = self.send_all(0.0, 10_000.0)
        self.assertThat(len(sent_ms), matchers.GreaterThan(3))
        self.assertThat(len(sent_ms), matchers.LessThan(7))

    def test_without_a_limit_all_requests_are_sent(self):
        self.limiter.set_limit(1.0, 0.0)
        self.limiter.set_limit(None, 0.0)
        self.assertTrue(all(self.limiter.try_acquire(0.0) for _ in range(99)))
        self.assertEqual(5.0, self.limiter.next_send_ms(5.0))

    def test_a_lower_limit_discards_the_tokens_of_the_higher_one(self):
        self.limiter.set_limit(100.0, 0.0)
        self.limiter.set_limit(2.0, 1_000.0)
        self.assertThat(
            len(self.send_all(1_000.0, 1_001.0)), matchers.LessThan(3)
        )
