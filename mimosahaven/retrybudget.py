"""Retry budget of a call chain and retry ratio of a service."""

import collections
import dataclasses

from mimosahaven import settings as settings_lib

# The sliding window of the retry ratio consists of this many intervals.
_INTERVALS_PER_WINDOW = 20


class ChainBudget:
    """Extra attempts that this hop may still make or pass downstream.

    Args:
      total: Initial number of extra attempts.
      chained: False if the budget applies to this hop only, so that nothing
        of it is passed downstream.
    """

    __slots__ = ("_chained", "_remaining")

    def __init__(self, total: int, chained: bool = True):
        self._remaining = total
        self._chained = chained

    @property
    def remaining(self) -> int:
        """Number of extra attempts left."""
        return self._remaining

    def try_acquire(self) -> bool:
        """Spends one extra attempt; returns False when none is left."""
        if self._remaining <= 0:
            return False
        self._remaining -= 1
        return True

    def delegate(self) -> int:
        """Removes half of the remaining attempts for a downstream call.

        Returns:
          The half, rounded down, to send with the call; 0 if the budget is
          not chained.
        """
        if not self._chained:
            return 0
        part = self._remaining // 2
        self._remaining -= part
        return part

    def refund(self, count: int) -> None:
        """Adds the part that a downstream call has not used.

        Args:
          count: At most the part that was sent with the call. Nothing is
            refunded if the result is lost.
        """
        if self._chained:
            self._remaining += max(0, count)


def budget_for_call(
    mechanisms: settings_lib.MechanismSettings,
    received_budget: int,
    row_budget: int,
) -> ChainBudget:
    """Returns the budget of a call at one hop.

    Args:
      mechanisms: Enabled mechanisms. Without chain_budget, each hop has the
        full budget of the row.
      received_budget: Part of the budget that was received with the call, or
        the whole budget at the owner of the action.
      row_budget: retry_budget of the row.
    """
    if mechanisms.chain_budget:
        return ChainBudget(received_budget)
    return ChainBudget(row_budget, chained=False)


@dataclasses.dataclass
class _Interval:
    """Counts of one interval of the sliding window."""

    index: int
    first_attempts: int = 0
    retries: int = 0


class _ServiceWindow:
    """Recent first attempts and retries of calls to one service.

    Attributes:
      intervals: Counts of the recent intervals, oldest first.
      last_minimum_retry_ms: Time of the last retry in excess of the ratio,
        which per_s_min allowed.
    """

    def __init__(self):
        self.intervals: collections.deque[_Interval] = collections.deque()
        self.last_minimum_retry_ms = float("-inf")

    def interval(self, index: int) -> _Interval:
        """Returns the interval of an index, after dropping expired ones."""
        # One more interval than the window is kept for count_retries().
        while (
            self.intervals
            and self.intervals[0].index < index - _INTERVALS_PER_WINDOW
        ):
            self.intervals.popleft()
        if not self.intervals or self.intervals[-1].index < index:
            self.intervals.append(_Interval(index))
        return self.intervals[-1]

    def count_first_attempts(self, index: int) -> int:
        """Returns the first attempts in at most the window.

        The current interval counts as a whole one, although it has not ended.
        """
        expired_index = index - _INTERVALS_PER_WINDOW
        return sum(
            interval.first_attempts
            for interval in self.intervals
            if interval.index > expired_index
        )

    def count_retries(self) -> int:
        """Returns the retries in at least the window.

        One interval more is included than in count_first_attempts(). Too few
        first attempts and too many retries make the ratio hold in any window.
        """
        return sum(interval.retries for interval in self.intervals)


class RetryRatioLimiter:
    """Limits the retries of a daemon in proportion to its first attempts.

    Within any window_ms, a service gets at most `ratio` retries per first
    attempt, and in addition at most one retry every 1000 / per_s_min ms.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.retry
        self._enabled = settings.mechanisms.chain_budget
        self._interval_ms = settings.retry.window_ms / _INTERVALS_PER_WINDOW
        self._services: dict[str, _ServiceWindow] = {}

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Counts the first attempt of a call."""
        if self._enabled:
            self._window(service).interval(
                self._interval_index(now_ms)
            ).first_attempts += 1

    def try_acquire(self, service: str, now_ms: float) -> bool:
        """Acquires permission for one retry.

        Callers check first that the chain budget has an attempt left, so that
        no permission is wasted.

        Returns:
          Whether the retry may be sent.
        """
        if not self._enabled:
            return True
        window = self._window(service)
        index = self._interval_index(now_ms)
        interval = window.interval(index)
        allowed = self._settings.ratio * window.count_first_attempts(index)
        if window.count_retries() + 1 <= allowed:
            interval.retries += 1
            return True
        per_s_min = self._settings.per_s_min
        if (now_ms - window.last_minimum_retry_ms) * per_s_min < 1_000:
            return False
        window.last_minimum_retry_ms = now_ms
        return True

    def _interval_index(self, now_ms: float) -> int:
        return int(now_ms // self._interval_ms)

    def _window(self, service: str) -> _ServiceWindow:
        return self._services.setdefault(service, _ServiceWindow())
