"""Token bucket that can borrow and lend."""

import math

# Weight of one round in the mean demand of a row.
DEMAND_SMOOTHING = 0.3
# Sums of fractions fall short of a whole token by rounding errors.
ROUNDING = 1e-9


class TokenBucket:
    """Tokens of one row at one daemon.

    Attributes:
      limit_per_s: Limit of the row over all daemons.
      tokens: Tokens at the time of the last fill.
      rate_per_s: Tokens that are added each second.
      burst: Tokens up to which the bucket fills by itself.
      demand_per_s: Mean rate of calls, whether or not they got a token.
    """

    def __init__(self, limit_per_s: float, now_ms: float):
        self.limit_per_s = limit_per_s
        self.tokens = 0.0
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.demand_per_s = 0.0
        self._asked = 0
        self._filled_ms = now_ms
        self._lapse_ms = -math.inf

    def fill(self, now_ms: float) -> None:
        """Adds the tokens of the time that has passed."""
        passed_s = max(0.0, now_ms - self._filled_ms) / 1000
        self._filled_ms = max(now_ms, self._filled_ms)
        if self.tokens < self.burst:
            self.tokens = min(
                self.burst, self.tokens + passed_s * self.rate_per_s
            )
        elif now_ms >= self._lapse_ms:
            self.tokens = self.burst

    def take(self, now_ms: float) -> bool:
        """Takes the token of one call; returns False when there is none."""
        self._asked += 1
        self.fill(now_ms)
        if self.tokens < 1.0 - ROUNDING:
            return False
        self.tokens -= 1.0
        return True

    def set_share(self, share: float, burst_ms: float, now_ms: float) -> None:
        """Sets the part of the limit that this daemon may use."""
        self.fill(now_ms)
        self.rate_per_s = self.limit_per_s * share
        self.burst = self.rate_per_s * burst_ms / 1000

    def add_borrowed(self, amount: float, lapse_ms: float) -> None:
        """Adds tokens above the burst; they lapse at a time."""
        self.tokens += amount
        self._lapse_ms = lapse_ms

    def close_round(self, round_ms: float) -> None:
        """Updates the mean demand at the end of a round."""
        demand_per_s = self._asked * 1000 / round_ms
        self._asked = 0
        self.demand_per_s += DEMAND_SMOOTHING * (
            demand_per_s - self.demand_per_s
        )
