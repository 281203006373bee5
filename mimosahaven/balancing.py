"""Load-balancing algorithms."""

import dataclasses
import random
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from mimosahaven import ejection
from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib

_LATENCY_SAMPLE_WEIGHT = 0.2
# The latency of a target that gets no calls is not updated. It decays with this
# half-life, so that the target is tried again.
_LATENCY_HALF_LIFE_MS = 5_000.0
_MIN_LATENCY_MS = 0.1
_MIN_SLOW_START_FACTOR = 0.1


class ScoredTarget(NamedTuple):
    """A target that was compared, and its score; the lowest score wins."""

    target: str
    score: float


@dataclasses.dataclass(slots=True)
class TargetState:
    """State of a target as seen by this router.

    Attributes:
      member: The target's entry in the member list.
      ejection_state: Failures, ejection and backoff of the target.
      is_local: Whether the target is in this daemon's failure domain.
      outstanding: Attempts of this router that have not ended.
      latency_ms: Moving average of the latency, None before the first sample.
      latency_at_ms: Time of the last latency sample.
      load: Running and queued calls at the guard divided by its limit.
      threshold: Shed threshold of the guard.
      reported_ms: Time of the last report of load and threshold.
    """

    member: fleet_lib.Member
    ejection_state: ejection.EjectionState
    is_local: bool
    outstanding: int = 0
    latency_ms: float | None = None
    latency_at_ms: float = 0.0
    load: float = 0.0
    threshold: int = 0
    reported_ms: float = 0.0

    def record_latency(self, latency_ms: float, now_ms: float) -> None:
        """Adds the time from send to result of one attempt."""
        latency_ms = max(_MIN_LATENCY_MS, latency_ms)
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        else:
            self.latency_ms += _LATENCY_SAMPLE_WEIGHT * (
                latency_ms - self.latency_ms
            )
        self.latency_at_ms = now_ms


class Algorithm(Protocol):
    """Selects one of several usable targets."""

    def pick(
        self, service: str, pool: list[TargetState], now_ms: float
    ) -> tuple[TargetState, tuple[ScoredTarget, ...]]:
        """Returns the selected target and those compared.

        The pool must not be empty.
        """


AlgorithmFactory = Callable[[settings_lib.Settings, random.Random], Algorithm]
ALGORITHMS: dict[str, AlgorithmFactory] = {}


def algorithm(name: str) -> Callable[[AlgorithmFactory], AlgorithmFactory]:
    """Returns a decorator that registers an algorithm under a name."""

    def register(factory: AlgorithmFactory) -> AlgorithmFactory:
        ALGORITHMS[name] = factory
        return factory

    return register


@algorithm("two_choices")
class PowerOfTwoChoices:
    """Compares two random targets by their expected latency."""

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        self._random = rng.random
        self._slow_start_ms = settings.routing.slow_start_ms
        self._expiry_ms = settings.shedding.expiry_ms

    def pick(
        self, service: str, pool: list[TargetState], now_ms: float
    ) -> tuple[TargetState, tuple[ScoredTarget, ...]]:
        """Returns the one of two random targets with the lower score."""
        del service
        count = len(pool)
        if count == 1:
            only = pool[0]
            return only, (ScoredTarget(only.member.target, 0.0),)
        first_index = int(self._random() * count)
        second_index = int(self._random() * (count - 1))
        first, second = (
            pool[first_index],
            pool[second_index + (second_index >= first_index)],
        )
        latency_1, latency_2 = _comparable_latencies(first, second, now_ms)
        score_1 = self._score(first, latency_1, now_ms)
        score_2 = self._score(second, latency_2, now_ms)
        return (
            first if score_1 <= score_2 else second,
            (
                ScoredTarget(first.member.target, score_1),
                ScoredTarget(second.member.target, score_2),
            ),
        )

    def _score(
        self, state: TargetState, latency_ms: float, now_ms: float
    ) -> float:
        """Returns the expected latency, raised during a slow start.

        The reported load counts less with its age, and not at all at expiry_ms.
        """
        freshness = 1.0 - (now_ms - state.reported_ms) / self._expiry_ms
        load = state.load * freshness if freshness > 0 else 0.0
        slow_start_factor = (
            now_ms - state.ejection_state.available_since_ms
        ) / self._slow_start_ms
        slow_start_factor = min(
            1.0, max(_MIN_SLOW_START_FACTOR, slow_start_factor)
        )
        return (1 + state.outstanding + load) * latency_ms / slow_start_factor


@algorithm("round_robin")
class RoundRobin:
    """Selects the targets of a service in turn."""

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        del settings, rng
        self._turns: dict[str, int] = {}

    def pick(
        self, service: str, pool: list[TargetState], now_ms: float
    ) -> tuple[TargetState, tuple[ScoredTarget, ...]]:
        """Returns the next target."""
        del now_ms
        turn = self._turns.get(service, 0)
        self._turns[service] = turn + 1
        chosen = pool[turn % len(pool)]
        return chosen, (ScoredTarget(chosen.member.target, 0.0),)


def _comparable_latencies(
    first: TargetState, second: TargetState, now_ms: float
) -> tuple[float, float]:
    """Returns both latencies, or equal values unless both are known."""
    if first.latency_ms is None or second.latency_ms is None:
        return 1.0, 1.0
    return _decayed_latency(first, now_ms), _decayed_latency(second, now_ms)


def _decayed_latency(state: TargetState, now_ms: float) -> float:
    age_ms = now_ms - state.latency_at_ms
    return state.latency_ms * 0.5 ** (age_ms / _LATENCY_HALF_LIFE_MS)
