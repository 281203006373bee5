"""Token bucket that can borrow and lend tokens."""

import math

# Weight of one round of borrow requests in the moving average of the demand.
DEMAND_SAMPLE_WEIGHT = 0.3
# Rounding errors can leave a sum of fractions just below a whole token.
ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Tokens of one row at one daemon.

    Attributes:
      limit_per_s: Limit of the row over all daemons.
      tokens: Tokens at the time of the last fill.
      rate_per_s: Tokens added per second.
      burst: Capacity; borrowed tokens can exceed it.
      demand_per_s: Mean rate of calls, including those without a token.
    """

    def __init__(self, limit_per_s: float, now_ms: float):
        self.limit_per_s = limit_per_s
        self.tokens = 0.0
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.demand_per_s = 0.0
        self._calls_in_round = 0
        self._last_fill_ms = now_ms
        self._borrowed_expiry_ms = -math.inf

    def fill(self, now_ms: float) -> None:
        """Adds tokens for the time since the last fill.

        Tokens above the burst are dropped when the borrowed ones expire.
        """
        elapsed_s = max(0.0, now_ms - self._last_fill_ms) / 1000
        self._last_fill_ms = max(now_ms, self._last_fill_ms)
        if self.tokens < self.burst:
            self.tokens = min(
                self.burst, self.tokens + elapsed_s * self.rate_per_s
            )
        elif now_ms >= self._borrowed_expiry_ms:
            self.tokens = self.burst

    def try_acquire(self, now_ms: float) -> bool:
        """Acquires a token for one call; returns False if there is none."""
        self._calls_in_round += 1
        self.fill(now_ms)
        if self.tokens < 1.0 - ROUNDING_TOLERANCE:
            return False
        self.tokens -= 1.0
        return True

    def set_share(self, share: float, burst_ms: float, now_ms: float) -> None:
        """Sets the share of the limit that this daemon may use."""
        self.fill(now_ms)
        self.rate_per_s = self.limit_per_s * share
        self.burst = self.rate_per_s * burst_ms / 1000

    def add_borrowed(self, amount: float, expiry_ms: float) -> None:
        """Adds borrowed tokens, also above the burst.

        Tokens above the burst then expire at expiry_ms, also those of earlier
        loans.
        """
        self.tokens += amount
        self._borrowed_expiry_ms = expiry_ms

    def end_round(self, round_ms: float) -> None:
        """Updates the mean demand at the end of a round of borrow requests."""
        demand_per_s = self._calls_in_round * 1000 / round_ms
        self._calls_in_round = 0
        self.demand_per_s += DEMAND_SAMPLE_WEIGHT * (
            demand_per_s - self.demand_per_s
        )
