"""Bounds the repeats of a service over the whole fleet, with nothing shared.

Answers the pattern "a failing service is buried under retries": each daemon
may repeat in proportion to the requests that it has seen itself, and beside
these has an equal part of the slack of the fleet.

Answers the pattern "all targets of a deep service refuse many runs" too. An
order of eight calls needs ten repeats then, and the allowance covers a few in a
hundred. It goes to the most important requests then, and to those that consist
of this run alone.
"""

import collections
import dataclasses

# Part of the allowance that this daemon uses; repeats in flight at the edge of
# a window, and daemons that come and go, need the rest.
USED_SHARE = 0.85
# Part of that which less important requests may use.
ORDINARY_SHARE = 0.6
# Fewer refusals than this in SCARCE_STEPS say little.
SCARCE_REFUSALS_MIN = 5
# Steps of the window, the present one included, that tell of scarcity.
SCARCE_STEPS = 2
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

    def latest(self, now_ms: float, step_count: int) -> float:
        first = now_ms // self._step_ms - step_count + 1
        return sum(amount for index, amount in self._steps if index >= first)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryCandidate:
    """A request that may have to be repeated.

    Attributes:
      expected_runs: Runs at each service that the repeat is expected to take.
      important: Whether it is of the highest rank; the others leave a part of
        the allowance to these.
      is_single_run: Whether this run is all that the root request consists of.
    """

    expected_runs: dict[str, float]
    important: bool
    is_single_run: bool = False


class RetryBudget:
    """Repeats that this daemon may send to each service.

    Args:
      ratio: Repeats allowed for each request, over all daemons.
      slack: Repeats allowed beside the ratio, over all daemons.
      window_ms: Window of both.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float):
        self.daemon_count = 1
        self._fresh: dict[str, _Steps] = {}
        self._refused: dict[str, _Steps] = {}
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
            self._refused.clear()
            self._repeats.clear()

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Counts a request for a service."""
        self._of(self._fresh, service).add(1.0, now_ms)

    def record_refusal(self, service: str, now_ms: float) -> None:
        """Counts a run that a target of a service has refused."""
        self._of(self._refused, service).add(1.0, now_ms)

    def is_scarce(self, service: str, now_ms: float) -> bool:
        """Returns whether refusals of a service exceed the allowance."""
        refused = self._of(self._refused, service).latest(now_ms, SCARCE_STEPS)
        fresh = self._of(self._fresh, service).latest(now_ms, SCARCE_STEPS)
        return refused >= SCARCE_REFUSALS_MIN and refused > self._ratio * fresh

    def try_acquire(self, claim: RetryCandidate, now_ms: float) -> bool:
        """Takes the allowance for repeating a request.

        Returns:
          Whether the repeat may be sent.
        """
        for service, amount in claim.expected_runs.items():
            share = USED_SHARE * self._share(claim, service, now_ms)
            fresh = self._of(self._fresh, service).total(now_ms, 0)
            # One more step makes up for the part of the oldest one.
            used = self._of(self._repeats, service).total(now_ms, 1)
            allowed = self._ratio * fresh + self._slack / self.daemon_count
            if used + amount > allowed * share:
                return False
        for service, amount in claim.expected_runs.items():
            self._of(self._repeats, service).add(amount, now_ms)
        return True

    def _share(
        self, claim: RetryCandidate, service: str, now_ms: float
    ) -> float:
        """Returns the part of the allowance that a request may use."""
        if self.is_scarce(service, now_ms):
            return 1.0 if claim.important or claim.is_single_run else 0.0
        return 1.0 if claim.important else ORDINARY_SHARE

    def _of(self, counts: dict[str, _Steps], service: str) -> _Steps:
        steps = counts.get(service)
        if steps is None:
            steps = counts[service] = _Steps(self._window_ms)
        return steps
