"""Algorithms for the concurrency limit of the local target."""

import abc
import dataclasses
import enum
import math
from collections.abc import Callable

from mimosahaven import codes
from mimosahaven import errors
from mimosahaven import settings as settings_lib

WINDOW_MS = 100.0
# The mean of fewer calls varies too much to compare two latencies.
LATENCY_SAMPLES_MIN = 30
SETTLE_LATENCIES = 2.0
# Calls lost one after another, with no other outcome between them, that show
# that the target has stopped and will be cold when it returns.
LOST_IN_SEQUENCE = 3
REFUSED_SHARE_MAX = 0.02
REFUSED_FACTOR = 0.85
TIMEOUT_SHARE_MAX = 0.5
TIMEOUT_FACTOR = 0.7
# First and largest growth of the limit in one window, as shares of the slots.
# The growth doubles in each window without congestion, so the limit returns
# from 1 to all slots in about 1.4 s.
GROWTH_SHARE_MIN = 0.01
GROWTH_SHARE_MAX = 0.1


class UnknownAlgorithmError(errors.MimosahavenError):
    """The settings name an algorithm that is not registered."""

    def __init__(self, name: str):
        known = ", ".join(sorted(_ALGORITHMS))
        super().__init__(
            codes.Code.SETTINGS_INVALID,
            f"admission.algorithm: {name!r} is none of {known}",
        )


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


_ALGORITHMS: dict[str, type[LimitAlgorithm]] = {}


def register(name: str) -> Callable[[type], type]:
    """Returns a decorator that registers an algorithm under a name."""

    def add(cls: type) -> type:
        _ALGORITHMS[name] = cls
        return cls

    return add


def create(settings: settings_lib.Settings) -> LimitAlgorithm:
    """Returns the algorithm that the settings name.

    Raises:
      UnknownAlgorithmError: No algorithm has this name.
    """
    name = settings.admission.algorithm
    if name not in _ALGORITHMS:
        raise UnknownAlgorithmError(name)
    return _ALGORITHMS[name](settings)


@register("fixed")
class FixedLimit(LimitAlgorithm):
    """Allows as many calls as the target has slots."""

    @property
    def limit(self) -> int:
        """The slots of the target."""
        return self._slots

    def finish(
        self, outcome: Outcome, service_ms: float, running: int, now_ms: float
    ) -> None:
        """Does nothing."""

    def tick(self, running: int, now_ms: float) -> None:
        """Does nothing."""


@dataclasses.dataclass
class _Window:
    """Calls that ended in one window."""

    total: int = 0
    refused: int = 0
    timeouts: int = 0
    running_max: int = 0


class _AdaptiveLimit(LimitAlgorithm):
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
        self._window = _Window()
        self._window_end_ms: float | None = None
        self._warm_since_ms: float | None = None
        self._lost_in_sequence = 0
        self._settled_ms = -math.inf
        self._latency_sum_ms = 0.0
        self._latency_count = 0
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
                self._latency_sum_ms += service_ms
                self._latency_count += 1
        if outcome is Outcome.TIMEOUT:
            window.timeouts += 1
        elif outcome is Outcome.REFUSED:
            window.refused += 1

    def tick(self, running: int, now_ms: float) -> None:
        """Adapts the limit when a window has ended."""
        if self._window_end_ms is None:
            self._window_end_ms = now_ms + WINDOW_MS
        if now_ms < self._window_end_ms:
            return
        self._window_end_ms = now_ms + WINDOW_MS
        window, self._window = self._window, _Window()
        window.running_max = max(window.running_max, running)
        if self._congested(window, now_ms):
            return
        if self._may_grow(window) and (window.total or not running):
            self._grow(now_ms)

    def _note_lost(self) -> None:
        self._lost_in_sequence += 1
        if self._lost_in_sequence >= LOST_IN_SEQUENCE:
            self._raw = min(self._raw, self._floor)
            self._warm_since_ms = None

    def _congested(self, window: _Window, now_ms: float) -> bool:
        if window.refused > REFUSED_SHARE_MAX * window.total:
            used = max(1.0, min(self._raw, window.running_max))
            self._cut(used * REFUSED_FACTOR, 1.0, now_ms)
            return True
        if window.timeouts > TIMEOUT_SHARE_MAX * window.total:
            self._cut(self._raw * TIMEOUT_FACTOR, self._floor, now_ms)
            return True
        if self._latency_count < LATENCY_SAMPLES_MIN:
            return False
        mean_ms = self._latency_sum_ms / self._latency_count
        self._latency_sum_ms, self._latency_count = 0.0, 0
        self._latency_ms = mean_ms
        return self._judge_latency(mean_ms, window.running_max, now_ms)

    @abc.abstractmethod
    def _judge_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Takes in a mean latency; returns whether it shows congestion."""

    def _may_grow(self, window: _Window) -> bool:
        """Returns whether a window without congestion lets the limit grow."""
        del window
        return True

    def _cut(self, limit: float, floor: float, now_ms: float) -> None:
        self._raw = max(min(floor, self._raw), limit)
        self._growth = self._slots * GROWTH_SHARE_MIN
        # Calls that started before the cut do not show its effect. Leaving
        # them out one by one would favour short calls, so that none counts
        # until most of the older ones have ended.
        self._settled_ms = now_ms + SETTLE_LATENCIES * self._latency_ms
        self._latency_sum_ms, self._latency_count = 0.0, 0

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


@dataclasses.dataclass
class _Trial:
    """State before a series of cuts that may or may not lower the latency."""

    limit: float
    latency_ms: float
    cuts: int = 0


@register("aimd")
class AimdLimit(_AdaptiveLimit):
    """Cuts the limit by a factor on congestion and grows it otherwise.

    The latency of a target that calls other services also rises when these
    are slow. After some cuts the latency is therefore compared with the one
    before: if it has not fallen with the limit, the limit is not its cause,
    the limit is restored and the latency becomes the new normal.
    """

    TOLERANCE = 2.0
    FACTOR = 0.9
    CUTS_PER_TRIAL = 3
    # Three cuts lower the limit to 0.73; a latency caused by the limit falls
    # as much.
    NO_EFFECT_FACTOR = 0.87
    FALL_SHARE = 0.3
    DRIFT_SHARE = 0.05
    NOISE_FACTOR = 1.25

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._normal_ms: float | None = None
        self._trial: _Trial | None = None

    def _judge_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        if self._normal_ms is None:
            self._normal_ms = mean_ms
        half_used = running_max * 2 >= self._raw
        if mean_ms <= self._normal_ms * self.TOLERANCE or not half_used:
            self._trial = None
            self._learn(mean_ms, half_used)
            return False
        trial = self._trial = self._trial or _Trial(self._raw, mean_ms)
        if trial.cuts == self.CUTS_PER_TRIAL:
            if mean_ms > trial.latency_ms * self.NO_EFFECT_FACTOR:
                self._normal_ms = mean_ms
                self._raw = max(self._raw, trial.limit)
                self._trial = None
                return False
            trial = self._trial = _Trial(self._raw, mean_ms)
        trial.cuts += 1
        self._cut(self._raw * self.FACTOR, self._floor, now_ms)
        return True

    def _may_grow(self, window: _Window) -> bool:
        # Growth between the cuts of a trial would hide their effect.
        if window.running_max * 2 < self._raw:
            self._trial = None
        return self._trial is None

    def _learn(self, mean_ms: float, half_used: bool) -> None:
        # A clearly higher latency is normal only if the target has free slots;
        # otherwise the normal latency would creep up with congestion.
        if half_used and mean_ms > self._normal_ms * self.NOISE_FACTOR:
            return
        fast = mean_ms * self.TOLERANCE < self._normal_ms
        share = self.FALL_SHARE if fast else self.DRIFT_SHARE
        self._normal_ms += (mean_ms - self._normal_ms) * share


@register("gradient")
class GradientLimit(_AdaptiveLimit):
    """Scales the limit by the long-term over the present latency."""

    TOLERANCE = 1.5
    GRADIENT_MIN = 0.5
    LONG_TERM_SHARE = 0.02
    SMOOTHING = 0.2

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._long_term_ms: float | None = None

    def _judge_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        long_ms = mean_ms if self._long_term_ms is None else self._long_term_ms
        # After a slow phase the long-term latency must not hide congestion.
        share = self.LONG_TERM_SHARE if mean_ms * 2 > long_ms else 0.2
        self._long_term_ms = long_ms + (mean_ms - long_ms) * share
        gradient = self.TOLERANCE * self._long_term_ms / max(mean_ms, 1e-9)
        if gradient >= 1 or running_max * 2 < self._raw:
            return False
        factor = max(self.GRADIENT_MIN, gradient)
        wanted = self._raw * factor + math.sqrt(self._raw)
        smoothed = self._raw + (wanted - self._raw) * self.SMOOTHING
        self._cut(min(self._raw, smoothed), self._floor, now_ms)
        return True
