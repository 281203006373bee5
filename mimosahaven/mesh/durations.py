"""How long requests take at most, estimated from those that have ended."""

# Weights of one sample in the mean and in the mean deviation, and number of
# deviations above the mean: the estimator of TCP's retransmission timeout
# (V. Jacobson, Congestion avoidance and control, 1988).
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0


class DurationEstimate:
    """Moving mean and mean deviation of durations."""

    def __init__(self):
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    @property
    def mean_ms(self) -> float | None:
        """Moving mean, or None without any sample."""
        return self._mean_ms

    @property
    def upper_ms(self) -> float | None:
        """Duration that few requests exceed, or None without any sample."""
        if self._mean_ms is None:
            return None
        return self._mean_ms + DEVIATIONS * self._deviation_ms

    def record(self, duration_ms: float) -> None:
        """Records the duration of a request that has ended."""
        if self._mean_ms is None:
            self._mean_ms = duration_ms
            self._deviation_ms = duration_ms / 2
            return
        error_ms = duration_ms - self._mean_ms
        self._mean_ms += MEAN_WEIGHT * error_ms
        self._deviation_ms += DEVIATION_WEIGHT * (
            abs(error_ms) - self._deviation_ms
        )

    def latest_end_ms(self, start_ms: float, deadline_ms: float) -> float:
        """Returns when a request will probably have ended.

        Without any sample, this is its deadline.

        Args:
          start_ms: When it starts.
          deadline_ms: Its deadline, by which it ends in any case.
        """
        upper_ms = self.upper_ms
        if upper_ms is None:
            return deadline_ms
        return min(deadline_ms, start_ms + upper_ms)


class RouteDurations:
    """Estimates for the requests of each route."""

    def __init__(self):
        self._estimates: dict[str, DurationEstimate] = {}

    def record(self, route: str, duration_ms: float) -> None:
        """Records the duration of a request that has ended."""
        self._estimate(route).record(duration_ms)

    def latest_end_ms(
        self, route: str, start_ms: float, deadline_ms: float
    ) -> float:
        """Returns when a request of a route will probably have ended."""
        return self._estimate(route).latest_end_ms(start_ms, deadline_ms)

    def _estimate(self, route: str) -> DurationEstimate:
        estimate = self._estimates.get(route)
        if estimate is None:
            estimate = self._estimates[route] = DurationEstimate()
        return estimate
