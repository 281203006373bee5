"""Bounds the repeats of a service over the whole fleet, with nothing shared.

Answers the pattern "a failing service is buried under retries": each daemon
may repeat in proportion to the requests that it has seen itself, and beside
these has an equal part of the slack of the fleet.
"""

import collections

# Part of the allowance that this daemon uses; repeats in flight at the edge of
# a window, and daemons that come and go, need the rest.
USED_SHARE = 0.85
# Part of that which less important requests may use.
ORDINARY_SHARE = 0.6
_STEPS = 10


class _Steps:
    """Counts over a sliding window."""

    def __init__(self, window_ms: float):
        self._step_ms = window_ms / _STEPS
        self._steps: collections.deque[list[float]] = collections.deque()

    def add(self, amount: float, now_ms: float) -> None:
        index = now_ms // self._step_ms
        if not self._steps or self._steps[-1][0] != index:
            self._steps.append([index, 0.0])
        self._steps[-1][1] += amount

    def total(self, now_ms: float, extra_steps: int) -> float:
        first = now_ms // self._step_ms - _STEPS + 1 - extra_steps
        while self._steps and self._steps[0][0] < first:
            self._steps.popleft()
        return sum(amount for _, amount in self._steps)


class ResendBudget:
    """Repeats that this daemon may send to each service.

    Args:
      ratio: Repeats allowed for each request, over all daemons.
      slack: Repeats allowed beside the ratio, over all daemons.
      window_ms: Window of both.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float):
        self.daemon_count = 1
        self._fresh: dict[str, _Steps] = {}
        self._repeats: dict[str, _Steps] = {}
        self._window_ms = window_ms
        self.set_bounds(ratio, slack, window_ms)

    def set_bounds(self, ratio: float, slack: float, window_ms: float) -> None:
        """Takes in bounds; another window starts all counts anew."""
        self._ratio = ratio
        self._slack = slack
        if window_ms != self._window_ms:
            self._window_ms = window_ms
            self._fresh.clear()
            self._repeats.clear()

    def record_fresh(self, service: str, now_ms: float) -> None:
        """Counts a request for a service."""
        self._of(self._fresh, service).add(1.0, now_ms)

    def take(
        self, runs: dict[str, float], important: bool, now_ms: float
    ) -> bool:
        """Takes the allowance for repeating a request.

        Args:
          important: Whether the request is of the highest rank; the others
            leave a part of the allowance to these.
          runs: Runs at each service that the repeat is expected to take.
          now_ms: Present time.

        Returns:
          Whether the repeat may be sent.
        """
        share = USED_SHARE if important else USED_SHARE * ORDINARY_SHARE
        for service, amount in runs.items():
            fresh = self._of(self._fresh, service).total(now_ms, 0)
            # One more step makes up for the part of the oldest one.
            used = self._of(self._repeats, service).total(now_ms, 1)
            allowed = self._ratio * fresh + self._slack / self.daemon_count
            if used + amount > allowed * share:
                return False
        for service, amount in runs.items():
            self._of(self._repeats, service).add(amount, now_ms)
        return True

    def _of(self, counts: dict[str, _Steps], service: str) -> _Steps:
        steps = counts.get(service)
        if steps is None:
            steps = counts[service] = _Steps(self._window_ms)
        return steps
