"""Keeps the requests to the local target within the rate that it announces.

A target announces how many requests per second it accepts from all daemons
together. All requests to it pass through the daemon on its VM, so that this
daemon enforces the limit alone: no share of it has to be divided, and it holds
whatever the other daemons know or can reach.
"""

from mimosahaven import tokenbucket

# Requests that may be sent at once after a pause, as a time at the limit.
BURST_MS = 500.0
# A target whose limit is lower still gets this many requests per second:
# only the response to a request can tell that the limit has been lifted.
LIMIT_MIN_PER_S = 0.5


class TargetRateLimiter:
    """Paces the requests to a target.

    Attributes:
      limit_per_s: Enforced limit, or None for no limit.
    """

    def __init__(self):
        self.limit_per_s: float | None = None
        self._bucket: tokenbucket.TokenBucket | None = None

    def set_limit(self, limit_per_s: float | None, now_ms: float) -> None:
        """Sets or lifts the limit.

        Args:
          limit_per_s: Requests per second that the target accepts, or None.
          now_ms: Current time.
        """
        if limit_per_s is None:
            self.limit_per_s = self._bucket = None
            return
        limit_per_s = max(limit_per_s, LIMIT_MIN_PER_S)
        if limit_per_s == self.limit_per_s:
            return
        self.limit_per_s = limit_per_s
        if self._bucket is None:
            self._bucket = tokenbucket.TokenBucket(limit_per_s, now_ms)
        self._bucket.limit_per_s = limit_per_s
        # The burst is at least one token.
        self._bucket.set_share(1.0, max(BURST_MS, 1000 / limit_per_s), now_ms)

    def try_acquire(self, now_ms: float) -> bool:
        """Returns whether a request may be sent now, and counts it if so."""
        return self._bucket is None or self._bucket.try_acquire(now_ms)

    def next_send_ms(self, now_ms: float) -> float:
        """Returns the earliest time at which a request may be sent."""
        bucket = self._bucket
        if bucket is None:
            return now_ms
        bucket.fill(now_ms)
        missing = max(0.0, 1.0 - bucket.tokens)
        return now_ms + missing / bucket.rate_per_s * 1000
