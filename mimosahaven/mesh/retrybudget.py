"""Retry budget per service, which bounds the retries of the whole fleet.

Keeps retries from overwhelming a failing service. The daemons share no state:
each may retry in proportion to the requests that it has seen itself, and also
has an equal part of a fixed number of retries, the slack of the fleet.

Traffic may move from one daemon to another, in the extreme all of it. The first
one has then used its budget, and requests must not count for retries at both:
traffic that is new to a daemon counts only once it has lasted for a while.

When all targets of a service deep in the call graph refuse many runs, the
budget covers only a few percent of the retries wanted: an order that makes
eight calls may need ten retries. The budget then goes to the most important
requests and to those that consist of a single run.
"""

import collections
import dataclasses

# Share of its budget that a daemon uses. The rest is a margin for retries in
# flight at a window boundary, for daemons that join or leave, and for traffic
# that moves to and fro.
USED_SHARE = 0.8
# Share of the used part that requests below the highest rank may use.
ORDINARY_SHARE = 0.6
# Fewer refusals than this within REFUSAL_STEPS are not significant.
REFUSALS_MIN = 5
# Number of latest steps, including the current one, in which refusals are
# compared with the budget.
REFUSAL_STEPS = 2
# Number of steps that a sliding window is divided into.
_WINDOW_STEPS = 10


class _SlidingCounter:
    """Counter over a sliding window, divided into steps."""

    def __init__(self, window_ms: float):
        self._step_ms = window_ms / _WINDOW_STEPS
        # Index of each step, and the amount added in it.
        self._steps: collections.deque[list[float]] = collections.deque()

    def add(self, amount: float, now_ms: float) -> None:
        index = now_ms // self._step_ms
        if not self._steps or self._steps[-1][0] != index:
            self._steps.append([index, 0.0])
            while self._steps[0][0] <= index - 2 * _WINDOW_STEPS:
                self._steps.popleft()
        self._steps[-1][1] += amount

    def total(self, now_ms: float, extra_steps: int) -> float:
        first = now_ms // self._step_ms - _WINDOW_STEPS + 1 - extra_steps
        return sum(amount for index, amount in self._steps if index >= first)

    def sustained_total(self, now_ms: float) -> float:
        """Returns the lower of two totals.

        One is that of the current window, the other that of the window half a
        length before.
        """
        last = now_ms // self._step_ms - _WINDOW_STEPS // 2
        first = last - _WINDOW_STEPS + 1
        earlier = sum(
            amount for index, amount in self._steps if first <= index <= last
        )
        return min(earlier, self.total(now_ms, 0))

    def recent_total(self, now_ms: float, step_count: int) -> float:
        first = now_ms // self._step_ms - step_count + 1
        return sum(amount for index, amount in self._steps if index >= first)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryCandidate:
    """A request that may have to be retried.

    Attributes:
      expected_runs: Runs at each service that a retry is expected to cause.
      important: Whether it has the highest rank; a part of the budget is
        reserved for this rank.
      is_single_run: Whether the root request consists of this run only.
    """

    expected_runs: dict[str, float]
    important: bool
    is_single_run: bool = False


class RetryBudget:
    """Limits the retries that this daemon sends to each service.

    Args:
      ratio: Retries allowed per request, over all daemons.
      slack: Retries allowed in addition to the ratio, over all daemons.
      window_ms: Length of the sliding window for both.

    Attributes:
      daemon_count: Number of daemons that share the slack.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float):
        self.daemon_count = 1
        self._first_attempts: dict[str, _SlidingCounter] = {}
        self._refusals: dict[str, _SlidingCounter] = {}
        self._retries: dict[str, _SlidingCounter] = {}
        self._window_ms = window_ms
        self.set_bounds(ratio, slack, window_ms)

    def set_bounds(self, ratio: float, slack: float, window_ms: float) -> None:
        """Updates the bounds; a changed window length resets all counts."""
        self._ratio = ratio
        self._slack = slack
        if window_ms != self._window_ms:
            self._window_ms = window_ms
            self._first_attempts.clear()
            self._refusals.clear()
            self._retries.clear()

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Counts the first attempt of a request to a service."""
        self._counter(self._first_attempts, service).add(1.0, now_ms)

    def record_refusal(self, service: str, now_ms: float) -> None:
        """Counts a run that a target of a service refused."""
        self._counter(self._refusals, service).add(1.0, now_ms)

    def refusals_exceed_budget(self, service: str, now_ms: float) -> bool:
        """Returns whether recent refusals exceed the budget of a service."""
        refusals = self._counter(self._refusals, service).recent_total(
            now_ms, REFUSAL_STEPS
        )
        first_attempts = self._counter(
            self._first_attempts, service
        ).recent_total(now_ms, REFUSAL_STEPS)
        return (
            refusals >= REFUSALS_MIN and refusals > self._ratio * first_attempts
        )

    def try_acquire(self, candidate: RetryCandidate, now_ms: float) -> bool:
        """Charges a retry to the budget if it fits.

        Returns:
          Whether the retry may be sent.
        """
        for service, amount in candidate.expected_runs.items():
            share = USED_SHARE * self._budget_share(candidate, service, now_ms)
            first_attempts = self._counter(
                self._first_attempts, service
            ).sustained_total(now_ms)
            # One more step, since the window covers the oldest step in part.
            used = self._counter(self._retries, service).total(now_ms, 1)
            allowed = (
                self._ratio * first_attempts + self._slack / self.daemon_count
            )
            if used + amount > allowed * share:
                return False
        for service, amount in candidate.expected_runs.items():
            self._counter(self._retries, service).add(amount, now_ms)
        return True

    def _budget_share(
        self, candidate: RetryCandidate, service: str, now_ms: float
    ) -> float:
        """Returns the share of the budget that a request may use."""
        if self.refusals_exceed_budget(service, now_ms):
            return (
                1.0 if candidate.important or candidate.is_single_run else 0.0
            )
        return 1.0 if candidate.important else ORDINARY_SHARE

    def _counter(
        self, counts: dict[str, _SlidingCounter], service: str
    ) -> _SlidingCounter:
        counter = counts.get(service)
        if counter is None:
            counter = counts[service] = _SlidingCounter(self._window_ms)
        return counter
