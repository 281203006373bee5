"""Algorithms for the concurrency limit of the local target."""

import dataclasses
import math
from collections.abc import Callable

from mimosahaven import adaptivelimit
from mimosahaven import codes
from mimosahaven import errors
from mimosahaven import settings as settings_lib

Outcome = adaptivelimit.Outcome


class UnknownAlgorithmError(errors.MimosahavenError):
    """The settings name an algorithm that is not registered."""

    def __init__(self, name: str):
        known = ", ".join(sorted(_ALGORITHMS))
        super().__init__(
            codes.Code.SETTINGS_INVALID,
            f"admission.algorithm: {name!r} is none of {known}",
        )


_ALGORITHMS: dict[str, type[adaptivelimit.LimitAlgorithm]] = {}


def register(name: str) -> Callable[[type], type]:
    """Returns a decorator that registers an algorithm under a name."""

    def add(cls: type) -> type:
        _ALGORITHMS[name] = cls
        return cls

    return add


def create(settings: settings_lib.Settings) -> adaptivelimit.LimitAlgorithm:
    """Returns the algorithm that the settings name.

    Raises:
      UnknownAlgorithmError: No algorithm has this name.
    """
    name = settings.admission.algorithm
    if name not in _ALGORITHMS:
        raise UnknownAlgorithmError(name)
    return _ALGORITHMS[name](settings)


@register("fixed")
class FixedLimit(adaptivelimit.LimitAlgorithm):
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
class _Trial:
    """State before a cut that may or may not lower the latency.

    Attributes:
      limit: Limit before the cut.
      latency_ms: Mean latency before the cut, 0 when still to be measured.
    """

    limit: float
    latency_ms: float = 0.0


@register("aimd")
class AimdLimit(adaptivelimit.AdaptiveLimit):
    """Cuts the limit by a factor on congestion and grows it otherwise.

    The latency of a target that calls other services also rises when these
    are slow. The latency after a cut is therefore compared with the one
    before: if it has not fallen with the limit, the limit is not its cause,
    the limit is restored and the latency becomes the new normal.
    """

    TOLERANCE = 2.0
    FACTOR = 0.7
    # A latency caused by the limit falls to FACTOR; this is half way there.
    NO_EFFECT_FACTOR = 0.85
    # Weight of one mean in the normal latency: after a clear fall, otherwise.
    FALL_SHARE = 0.3
    DRIFT_SHARE = 0.05
    # The mean of LATENCY_SAMPLES_MIN calls varies by this much by chance.
    NOISE_FACTOR = 1.25

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._normal_ms: float | None = None
        self._trial: _Trial | None = None

    def judge_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Takes in a mean latency; returns whether it shows congestion."""
        if self._normal_ms is None:
            self._normal_ms = mean_ms
        half_used = running_max * 2 >= self._raw
        if mean_ms <= self._normal_ms * self.TOLERANCE or not half_used:
            self._trial = None
            self._learn(mean_ms, half_used)
            return False
        trial = self._trial
        if trial is None:
            # The latency may still be rising; it is measured again first.
            self._trial = _Trial(self._raw)
            self.cut(self._raw, self._floor, now_ms)
            return True
        if trial.latency_ms and (
            mean_ms > trial.latency_ms * self.NO_EFFECT_FACTOR
        ):
            self._normal_ms = mean_ms
            self._raw = max(self._raw, trial.limit)
            self._trial = None
            return False
        self._trial = _Trial(self._raw, mean_ms)
        self.cut(self._raw * self.FACTOR, self._floor, now_ms)
        return True

    def may_grow(self, window: adaptivelimit.Window) -> bool:
        """Returns whether a window without congestion lets the limit grow."""
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
class GradientLimit(adaptivelimit.AdaptiveLimit):
    """Scales the limit by the long-term over the present latency."""

    TOLERANCE = 1.5
    GRADIENT_MIN = 0.5
    LONG_TERM_SHARE = 0.02
    SMOOTHING = 0.2
    FALL_SHARE = 0.2

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._long_term_ms: float | None = None

    def judge_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Takes in a mean latency; returns whether it shows congestion."""
        long_ms = mean_ms if self._long_term_ms is None else self._long_term_ms
        # After a slow phase the long-term latency must not hide congestion.
        share = (
            self.LONG_TERM_SHARE if mean_ms * 2 > long_ms else self.FALL_SHARE
        )
        self._long_term_ms = long_ms + (mean_ms - long_ms) * share
        gradient = self.TOLERANCE * self._long_term_ms / max(mean_ms, 1e-9)
        if gradient >= 1 or running_max * 2 < self._raw:
            return False
        factor = max(self.GRADIENT_MIN, gradient)
        wanted = self._raw * factor + math.sqrt(self._raw)
        smoothed = self._raw + (wanted - self._raw) * self.SMOOTHING
        self.cut(min(self._raw, smoothed), self._floor, now_ms)
        return True
