"""Algorithms that choose among the usable targets of a service."""

import dataclasses
import random
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from mimosahaven import ejection
from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib

_LATENCY_WEIGHT = 0.2
# A target that is not chosen is not measured. Its old latency loses half its
# value in this time, so that it is tried again.
_LATENCY_HALF_LIFE_MS = 5_000.0
_MIN_LATENCY_MS = 0.1
_MIN_SLOW_START_FACTOR = 0.1


class ScoredTarget(NamedTuple):
    """A target that was compared, and its score: the lowest wins."""

    target: str
    score: float


@dataclasses.dataclass(slots=True)
class TargetState:
    """What this router knows of a target.

    Attributes:
      outstanding: Attempts of this router that have not ended.
      latency_ms: Moving average, None before the first answer.
      latency_at_ms: Time of the last answer.
      load: Outstanding calls of the guard divided by its limit.
      threshold: Shed threshold of the guard.
      reported_ms: Time of the last report of load and threshold.
    """

    member: fleet_lib.Member
    health: ejection.TargetHealth
    local: bool
    outstanding: int = 0
    latency_ms: float | None = None
    latency_at_ms: float = 0.0
    load: float = 0.0
    threshold: int = 0
    reported_ms: float = 0.0

    def record_latency(self, latency_ms: float, now_ms: float) -> None:
        """Takes in the time from send to result of one attempt."""
        latency_ms = max(_MIN_LATENCY_MS, latency_ms)
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        else:
            self.latency_ms += _LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.latency_at_ms = now_ms


class Algorithm(Protocol):
    """Chooses among usable targets."""

    def pick(
        self, service: str, pool: list[TargetState], now_ms: float
    ) -> tuple[TargetState, tuple[ScoredTarget, ...]]:
        """Returns the chosen target and those compared; pool is not empty."""


AlgorithmFactory = Callable[[settings_lib.Settings, random.Random], Algorithm]
ALGORITHMS: dict[str, AlgorithmFactory] = {}


def algorithm(name: str) -> Callable[[AlgorithmFactory], AlgorithmFactory]:
    """Registers an algorithm under the name that settings use."""

    def register(maker: AlgorithmFactory) -> AlgorithmFactory:
        ALGORITHMS[name] = maker
        return maker

    return register


@algorithm("two_choices")
class PowerOfTwoChoices:
    """Compares two random targets by expected wait."""

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        self._random = rng.random
        self._slow_start_ms = settings.routing.slow_start_ms
        self._expiry_ms = settings.shedding.expiry_ms

    def pick(
        self, service: str, pool: list[TargetState], now_ms: float
    ) -> tuple[TargetState, tuple[ScoredTarget, ...]]:
        """Returns the better one of two random targets."""
        del service
        count = len(pool)
        if count == 1:
            only = pool[0]
            return only, (ScoredTarget(only.member.target, 0.0),)
        i = int(self._random() * count)
        j = int(self._random() * (count - 1))
        first, second = pool[i], pool[j + (j >= i)]
        latency_1, latency_2 = _latencies(first, second, now_ms)
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
        fresh = 1.0 - (now_ms - state.reported_ms) / self._expiry_ms
        load = state.load * fresh if fresh > 0 else 0.0
        factor = (
            now_ms - state.health.available_since_ms
        ) / self._slow_start_ms
        factor = min(1.0, max(_MIN_SLOW_START_FACTOR, factor))
        return (1 + state.outstanding + load) * latency_ms / factor


@algorithm("round_robin")
class RoundRobin:
    """Takes the targets of a service in turn."""

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


def _latencies(
    first: TargetState, second: TargetState, now_ms: float
) -> tuple[float, float]:
    """Returns both latencies; equal ones unless both are known."""
    if first.latency_ms is None or second.latency_ms is None:
        return 1.0, 1.0
    return _aged(first, now_ms), _aged(second, now_ms)


def _aged(state: TargetState, now_ms: float) -> float:
    age_ms = now_ms - state.latency_at_ms
    return state.latency_ms * 0.5 ** (age_ms / _LATENCY_HALF_LIFE_MS)
