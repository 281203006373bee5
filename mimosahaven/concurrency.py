"""Concurrency limit algorithms for the local target."""

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

    def decorate(cls: type) -> type:
        _ALGORITHMS[name] = cls
        return cls

    return decorate


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
    """Constant limit equal to the slots of the target."""

    @property
    def limit(self) -> int:
        """The number of slots of the target."""
        return self._slots

    def record_end(
        self, outcome: Outcome, service_ms: float, running: int, now_ms: float
    ) -> None:
        """Does nothing."""

    def tick(self, running: int, now_ms: float) -> None:
        """Does nothing."""


@dataclasses.dataclass
class _DecreaseTrial:
    """State before a decrease whose effect on the latency is to be measured.

    Attributes:
      limit: Limit before the decrease.
      latency_ms: Mean latency before the decrease; 0 if not yet measured.
    """

    limit: float
    latency_ms: float = 0.0


@register("aimd")
class AimdLimit(adaptivelimit.AdaptiveLimit):
    """Multiplicative decrease on congestion, gradual increase otherwise.

    The latency of a target also rises when the services that it calls are
    slow. The latency after a decrease is therefore compared with the one
    before: if it has not fallen, the limit is not its cause, so the limit is
    restored and the latency becomes the new baseline.
    """

    TOLERANCE_FACTOR = 2.0
    DECREASE_FACTOR = 0.7
    # A latency that the limit causes falls to DECREASE_FACTOR of its value with
    # the limit. Above the midpoint between that and 1, it counts as unchanged.
    INEFFECTIVE_FACTOR = 0.85
    # Weight of one mean in the baseline: after a clear fall, and otherwise.
    FALL_WEIGHT = 0.3
    DRIFT_WEIGHT = 0.05
    # Random variation of the mean of LATENCY_SAMPLES_MIN calls.
    NOISE_FACTOR = 1.25

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._baseline_ms: float | None = None
        self._trial: _DecreaseTrial | None = None

    def evaluate_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Adapts to a mean latency; returns whether it shows congestion."""
        if self._baseline_ms is None:
            self._baseline_ms = mean_ms
        half_used = running_max * 2 >= self._exact_limit
        if (
            mean_ms <= self._baseline_ms * self.TOLERANCE_FACTOR
            or not half_used
        ):
            self._trial = None
            self._update_baseline(mean_ms, half_used)
            return False
        trial = self._trial
        if trial is None:
            # The latency may still be rising. This decrease keeps the limit and
            # only restarts the sampling, so that it is measured again first.
            self._trial = _DecreaseTrial(self._exact_limit)
            self.decrease(self._exact_limit, self._cold_limit, now_ms)
            return True
        if trial.latency_ms and (
            mean_ms > trial.latency_ms * self.INEFFECTIVE_FACTOR
        ):
            self._baseline_ms = mean_ms
            self._exact_limit = max(self._exact_limit, trial.limit)
            self._trial = None
            return False
        self._trial = _DecreaseTrial(self._exact_limit, mean_ms)
        self.decrease(
            self._exact_limit * self.DECREASE_FACTOR, self._cold_limit, now_ms
        )
        return True

    def may_grow(self, window: adaptivelimit.Window) -> bool:
        """Returns whether the limit may grow after an uncongested window."""
        # Growth between the decreases of a trial would hide their effect.
        if window.running_max * 2 < self._exact_limit:
            self._trial = None
        return self._trial is None

    def _update_baseline(self, mean_ms: float, half_used: bool) -> None:
        # A clearly higher latency enters the baseline only if the target has
        # free slots; otherwise the baseline would creep up with congestion.
        if half_used and mean_ms > self._baseline_ms * self.NOISE_FACTOR:
            return
        has_fallen = mean_ms * self.TOLERANCE_FACTOR < self._baseline_ms
        weight = self.FALL_WEIGHT if has_fallen else self.DRIFT_WEIGHT
        self._baseline_ms += (mean_ms - self._baseline_ms) * weight


@register("gradient")
class GradientLimit(adaptivelimit.AdaptiveLimit):
    """Scales the limit by the ratio of long-term to current latency."""

    TOLERANCE_FACTOR = 1.5
    GRADIENT_MIN = 0.5
    LONG_TERM_WEIGHT = 0.02
    LIMIT_WEIGHT = 0.2
    FALL_WEIGHT = 0.2

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._long_term_ms: float | None = None

    def evaluate_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Adapts to a mean latency; returns whether it shows congestion."""
        long_term_ms = (
            mean_ms if self._long_term_ms is None else self._long_term_ms
        )
        # The long-term latency falls quickly after a slow phase; otherwise it
        # would hide congestion.
        weight = (
            self.LONG_TERM_WEIGHT
            if mean_ms * 2 > long_term_ms
            else self.FALL_WEIGHT
        )
        self._long_term_ms = long_term_ms + (mean_ms - long_term_ms) * weight
        gradient = (
            self.TOLERANCE_FACTOR * self._long_term_ms / max(mean_ms, 1e-9)
        )
        if gradient >= 1 or running_max * 2 < self._exact_limit:
            return False
        factor = max(self.GRADIENT_MIN, gradient)
        wanted = self._exact_limit * factor + math.sqrt(self._exact_limit)
        smoothed = (
            self._exact_limit + (wanted - self._exact_limit) * self.LIMIT_WEIGHT
        )
        self.decrease(
            min(self._exact_limit, smoothed), self._cold_limit, now_ms
        )
        return True
