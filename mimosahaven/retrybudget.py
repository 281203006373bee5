"""Retry budget of an action over its chain, and retry ratio of a service."""

import collections
import dataclasses

from mimosahaven import settings as settings_lib

# The window of the retry ratio moves in steps of this part of it.
_STEPS_PER_WINDOW = 20


class ChainBudget:
    """Extra attempts that the holder may still spend or pass down.

    Args:
      total: Extra attempts at the start.
      chained: False for a budget of this hop alone, of which nothing is
        passed down.
    """

    __slots__ = ("_chained", "_remaining")

    def __init__(self, total: int, chained: bool = True):
        self._remaining = total
        self._chained = chained

    @property
    def remaining(self) -> int:
        """Extra attempts left."""
        return self._remaining

    def take(self) -> bool:
        """Spends one extra attempt; returns False when none is left."""
        if self._remaining <= 0:
            return False
        self._remaining -= 1
        return True

    def delegate(self) -> int:
        """Gives away half of the rest, rounded down, for one attempt.

        Returns:
          The part to pass down; 0 when the budget is not chained.
        """
        if not self._chained:
            return 0
        part = self._remaining // 2
        self._remaining -= part
        return part

    def refund(self, count: int) -> None:
        """Takes back what a call below has not used.

        Args:
          count: At most the part that was passed down with the attempt. A
            lost result gives nothing back.
        """
        if self._chained:
            self._remaining += max(0, count)


def budget_for_call(
    mechanisms: settings_lib.MechanismSettings, passed: int, row_budget: int
) -> ChainBudget:
    """Returns the budget of a call at one hop.

    Args:
      mechanisms: Switches; without chain_budget each hop has the budget of
        the row for itself.
      passed: Part of the chain's budget that was passed down with the call,
        or the whole budget at the owner of the action.
      row_budget: retry_budget of the row.
    """
    if mechanisms.chain_budget:
        return ChainBudget(passed)
    return ChainBudget(row_budget, chained=False)


@dataclasses.dataclass
class _Step:
    """Counts of one step of the window."""

    index: int
    fresh: int = 0
    retries: int = 0


class _ServiceWindow:
    """Recent fresh calls and retries of one service."""

    def __init__(self):
        self.steps: collections.deque[_Step] = collections.deque()
        self.last_minimum_ms = float("-inf")

    def step(self, index: int) -> _Step:
        # One step more than the window is kept: see count_retries().
        while self.steps and self.steps[0].index < index - _STEPS_PER_WINDOW:
            self.steps.popleft()
        if not self.steps or self.steps[-1].index < index:
            self.steps.append(_Step(index))
        return self.steps[-1]

    def count_fresh(self, index: int) -> int:
        """Counts over slightly less than the window."""
        oldest = index - _STEPS_PER_WINDOW
        return sum(s.fresh for s in self.steps if s.index > oldest)

    def count_retries(self) -> int:
        """Counts over at least the window, so that the ratio always holds."""
        return sum(s.retries for s in self.steps)


class RetryRatioLimiter:
    """Limits the retries of a daemon in proportion to its fresh calls.

    Within any window_ms a service gets at most `ratio` retries for each fresh
    call, and beside these at most one every 1000 / per_s_min ms.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.retry
        self._enabled = settings.mechanisms.chain_budget
        self._step_ms = settings.retry.window_ms / _STEPS_PER_WINDOW
        self._services: dict[str, _ServiceWindow] = {}

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Counts the first attempt of a call."""
        if self._enabled:
            self._window(service).step(self._index(now_ms)).fresh += 1

    def try_acquire(self, service: str, now_ms: float) -> bool:
        """Takes the allowance for one retry.

        It is asked only while the chain's budget has an attempt left, so that
        no allowance is wasted.

        Returns:
          Whether the retry may be sent.
        """
        if not self._enabled:
            return True
        window = self._window(service)
        index = self._index(now_ms)
        step = window.step(index)
        allowed = self._settings.ratio * window.count_fresh(index)
        if window.count_retries() + 1 <= allowed:
            step.retries += 1
            return True
        per_s_min = self._settings.per_s_min
        if (now_ms - window.last_minimum_ms) * per_s_min < 1_000:
            return False
        window.last_minimum_ms = now_ms
        return True

    def _index(self, now_ms: float) -> int:
        return int(now_ms // self._step_ms)

    def _window(self, service: str) -> _ServiceWindow:
        return self._services.setdefault(service, _ServiceWindow())
