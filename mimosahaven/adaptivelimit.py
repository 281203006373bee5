"""What the concurrency limit algorithms of the local target share."""

import abc
import dataclasses
import enum
import math

from mimosahaven import settings as settings_lib

WINDOW_MS = 100.0
# The mean of fewer calls varies too much to compare two latencies.
LATENCY_SAMPLES_MIN = 50
# Samples are left out for this many latencies after a cut, but not for longer
# than the bound, after which the limit must be able to grow again.
SETTLE_LATENCIES = 2.0
SETTLE_MAX_MS = 1_000.0
# Calls lost one after another, with no other outcome between them, that show
# that the target has stopped and will be cold when it returns.
LOST_IN_SEQUENCE = 3
REFUSED_SHARE_MAX = 0.02
REFUSED_FACTOR = 0.85
TIMEOUT_SAMPLES_MIN = 10
TIMEOUT_SHARE_MAX = 0.5
TIMEOUT_FACTOR = 0.7
# First and largest growth of the limit in one window, as shares of the slots.
# The growth doubles in each window without congestion, so the limit returns
# from 1 to all slots in about 1.4 s.
GROWTH_SHARE_MIN = 0.01
GROWTH_SHARE_MAX = 0.1


class Outcome(enum.Enum):
    """How an admitted call ended."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST = "lost"


class LimitAlgorithm(abc.ABC):
    """Decides how many calls may run at once on the local target."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.admission
        self._slots = settings.target.slots

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Calls that may run at once, from 1 to the slots of the target."""

    @abc.abstractmethod
    def finish(
        self, outcome: Outcome, service_ms: float, running: int, now_ms: float
    ) -> None:
        """Takes in the end of a call; running counts this one, too."""

    @abc.abstractmethod
    def tick(self, running: int, now_ms: float) -> None:
        """Adapts the limit when a window has ended."""


@dataclasses.dataclass
class Window:
    """Calls that ended in one window."""

    total: int = 0
    refused: int = 0
    running_max: int = 0


class AdaptiveLimit(LimitAlgorithm):
    """Slow start, refusals, time-outs and growth.

    A subclass judges the latency. Refusals lower the limit down to 1, because
    they cost little and say that the target itself is full. Latency and
    time-outs, which may come from a service below, lower it only to the limit
    of a cold target.
    """

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._floor = max(1.0, self._slots * self._settings.cold_limit_share)
        self._raw = self._floor
        self._growth = self._slots * GROWTH_SHARE_MIN
        self._window = Window()
        self._window_end_ms: float | None = None
        self._warm_since_ms: float | None = None
        self._lost_in_sequence = 0
        self._settled_ms = -math.inf
        self._latency_log_sum = 0.0
        self._latency_count = 0
        self._timeouts = 0
        self._timed_out = False
        self._latency_ms = 0.0

    @property
    def limit(self) -> int:
        """The present limit."""
        return max(1, int(self._raw))

    def finish(
        self, outcome: Outcome, service_ms: float, running: int, now_ms: float
    ) -> None:
        """Takes in the end of a call; running counts this one, too."""
        window = self._window
        window.total += 1
        if running > window.running_max:
            window.running_max = running
        if outcome is Outcome.LOST:
            self._note_lost()
            return
        self._lost_in_sequence = 0
        if outcome is Outcome.OK or outcome is Outcome.TIMEOUT:
            if self._warm_since_ms is None:
                self._warm_since_ms = now_ms
            if now_ms >= self._settled_ms:
                # The geometric mean depends less on a few slow kinds, whose
                # share may change, than the arithmetic one.
                self._latency_log_sum += math.log(max(service_ms, 0.01))
                self._latency_count += 1
                self._timeouts += outcome is Outcome.TIMEOUT
        elif outcome is Outcome.REFUSED:
            window.refused += 1

    def tick(self, running: int, now_ms: float) -> None:
        """Adapts the limit when a window has ended."""
        if self._window_end_ms is None:
            self._window_end_ms = now_ms + WINDOW_MS
        if now_ms < self._window_end_ms:
            return
        self._window_end_ms = now_ms + WINDOW_MS
        window, self._window = self._window, Window()
        window.running_max = max(window.running_max, running)
        if self._congested(window, now_ms):
            return
        if not self.may_grow(window) or (running and not window.total):
            return
        if self._timed_out and now_ms < self._settled_ms:
            return
        self._timed_out = False
        self._grow(now_ms)

    def _note_lost(self) -> None:
        self._lost_in_sequence += 1
        if self._lost_in_sequence >= LOST_IN_SEQUENCE:
            self._raw = min(self._raw, self._floor)
            self._warm_since_ms = None

    def _congested(self, window: Window, now_ms: float) -> bool:
        if window.refused > REFUSED_SHARE_MAX * window.total:
            used = max(1.0, min(self._raw, window.running_max))
            self.cut(used * REFUSED_FACTOR, 1.0, now_ms)
            return True
        count = self._latency_count
        if count < TIMEOUT_SAMPLES_MIN:
            return False
        mean_ms = math.exp(self._latency_log_sum / count)
        if self._timeouts > TIMEOUT_SHARE_MAX * count:
            self._latency_ms = mean_ms
            self.cut(self._raw * TIMEOUT_FACTOR, self._floor, now_ms)
            self._timed_out = True
            return True
        if count < LATENCY_SAMPLES_MIN:
            return False
        self._latency_ms = mean_ms
        self._drop_samples()
        return self.judge_latency(mean_ms, window.running_max, now_ms)

    @abc.abstractmethod
    def judge_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Takes in a mean latency; returns whether it shows congestion."""

    def may_grow(self, window: Window) -> bool:
        """Returns whether a window without congestion lets the limit grow."""
        del window
        return True

    def cut(self, limit: float, floor: float, now_ms: float) -> None:
        """Lowers the limit, by latency or time-outs never below the floor."""
        self._raw = max(min(floor, self._raw), limit)
        self._growth = self._slots * GROWTH_SHARE_MIN
        # Calls that started before the cut do not show its effect. Leaving
        # them out one by one would favour short calls, so that none counts
        # until most of the older ones have ended.
        self._settled_ms = now_ms + min(
            SETTLE_MAX_MS, SETTLE_LATENCIES * self._latency_ms
        )
        self._drop_samples()

    def _drop_samples(self) -> None:
        self._latency_log_sum = 0.0
        self._latency_count = self._timeouts = 0

    def _grow(self, now_ms: float) -> None:
        self._raw = min(self._raw + self._growth, self._cap(now_ms))
        self._growth = min(self._growth * 2, self._slots * GROWTH_SHARE_MAX)

    def _cap(self, now_ms: float) -> float:
        """Returns what slow start allows."""
        if self._warm_since_ms is None:
            return self._floor
        warm = (now_ms - self._warm_since_ms) / self._settings.slow_start_ms
        cold = self._settings.cold_limit_share
        cap = self._slots * (cold + (1 - cold) * warm)
        return min(float(self._slots), max(self._floor, cap))
