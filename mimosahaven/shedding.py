"""Shed threshold of a guard, and what the upstream side knows of it."""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from mimosahaven import settings as settings_lib

# Smallest first step down: 1/64 of the priorities of one weight, so that a
# threshold within the priorities of one weight is lowered gradually.
STEP_MIN = 1024
# A first step of 1/500 that doubles reaches 0 in 9 windows.
STEP_DIVISOR = 500
# The largest share of the admitted calls that one window removes.
EXCESS_SHARE_MAX = 0.9
# Bound on remembered (first service, kind) pairs; kinds come from callers.
PAIRS_MAX = 4096
# A service belongs to a pair when at least this share of its calls used it.
USED_SHARE_MIN = 0.5
USED_SMOOTHING = 0.05
# Sums of fractions fall short of a whole call by rounding errors.
ROUNDING = 1e-9


class ShedThreshold:
    """The priority below which a guard refuses new calls at once.

    It is raised in overload and lowered in windows with free capacity. In a
    window that is neither, the admitted load equals the capacity, and the
    threshold stays: lowering it would only make it oscillate.
    """

    def __init__(self):
        self._value = 0
        self._step = 0
        self._admitted: list[int] = []

    @property
    def value(self) -> int:
        """The threshold; 0 refuses nothing."""
        return self._value

    def record(self, priority: int) -> None:
        """Takes in the priority of a call that was admitted."""
        self._admitted.append(priority)

    def raise_by(self, excess_share: float, ceiling: int | None) -> None:
        """Raises the threshold after a window with overload.

        Args:
          excess_share: Share of the admitted calls to be removed, 0 to 1.
          ceiling: Highest threshold allowed, or None.
        """
        admitted = sorted(self._admitted)
        self.hold()
        count = math.ceil(
            len(admitted) * min(EXCESS_SHARE_MAX, max(0.0, excess_share))
        )
        if not count:
            return
        value = admitted[count] if count < len(admitted) else admitted[-1] + 1
        if ceiling is not None:
            value = min(value, ceiling)
        self._value = max(self._value, value)

    def hold(self) -> None:
        """Keeps the threshold after a window that used all capacity."""
        self._admitted.clear()
        self._step = 0

    def lower(self, free_share: float, step_min: int = 0) -> None:
        """Lowers the threshold after a window without overload.

        The priorities just below the threshold are taken to be as dense as
        those just above it, so that the step lets in no more calls than the
        free capacity can serve.

        Args:
          free_share: Share of the capacity that was not used, 0 to 1.
          step_min: Smallest step, whatever the density says.
        """
        admitted = sorted(self._admitted)
        self._admitted.clear()
        if not self._value:
            return
        if self._step:
            self._step *= 2
        else:
            self._step = max(STEP_MIN, math.ceil(self._value / STEP_DIVISOR))
        count = int(len(admitted) * free_share)
        if count < len(admitted):
            fitting = admitted[count] - self._value
            self._step = min(self._step, max(STEP_MIN, fitting))
        self._step = max(self._step, step_min)
        self._value = max(0, self._value - self._step)

    def limit_to(self, ceiling: int) -> None:
        """Lowers the threshold to a ceiling at once."""
        self._value = min(self._value, ceiling)


@dataclasses.dataclass
class _Level:
    """Newest threshold of a service and the time it was in force."""

    threshold: int
    at_ms: float


@dataclasses.dataclass
class _Pair:
    """What the calls of one first service and kind have used.

    Attributes:
      calls: Complete calls seen.
      shares: Share of the recent calls that used each service.
      credit: Part of a call that is still to be shed.
    """

    calls: int = 0
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    credit: float = 0.0


class ThresholdMap:
    """Thresholds of services as the upstream side has learnt them."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.shedding
        self._enabled = settings.mechanisms.shed_at_entry
        self._levels: dict[str, _Level] = {}
        self._pairs: collections.OrderedDict[tuple[str, str], _Pair] = (
            collections.OrderedDict()
        )

    def update(
        self, service: str, threshold: int, age_ms: float, now_ms: float
    ) -> None:
        """Takes in a threshold unless a newer one of the service is known.

        Args:
          service: Name of the service.
          threshold: Its shed threshold.
          age_ms: Age of the threshold on arrival.
          now_ms: Present time.
        """
        at_ms = now_ms - max(0.0, age_ms)
        level = self._levels.get(service)
        if level is None:
            self._levels[service] = _Level(threshold, at_ms)
        elif at_ms >= level.at_ms:
            level.threshold, level.at_ms = threshold, at_ms

    def update_all(
        self, thresholds: Mapping[str, tuple[int, float]], now_ms: float
    ) -> None:
        """Takes in the thresholds and ages that came with a result."""
        for service, (threshold, age_ms) in thresholds.items():
            self.update(service, threshold, age_ms, now_ms)

    def shed_share(self, service: str, priority: int, now_ms: float) -> float:
        """Returns the share of calls of a priority to shed, from 0 to 1."""
        level = self._levels.get(service)
        if level is None or priority >= level.threshold:
            return 0.0
        age_ms = now_ms - level.at_ms
        return min(1.0, max(0.0, 1.0 - age_ms / self._settings.expiry_ms))

    def export(
        self, services: Iterable[str], now_ms: float
    ) -> dict[str, tuple[int, float]]:
        """Returns thresholds and ages for a result, expired ones as 0.

        Args:
          services: The services below that the call used; each is named in
            the result, so that the upstream side learns that it was used.
          now_ms: Present time.
        """
        result = {}
        for service in services:
            level = self._levels.get(service)
            age_ms = now_ms - level.at_ms if level else 0.0
            if level is None or age_ms >= self._settings.expiry_ms:
                result[service] = (0, 0.0)
            else:
                result[service] = (level.threshold, age_ms)
        return result

    def export_all(self, now_ms: float) -> dict[str, tuple[int, float]]:
        """Returns the thresholds of all known services, as `export` does."""
        return self.export(self._levels, now_ms)

    def record_services_used(
        self, first_service: str, kind: str, services: Iterable[str]
    ) -> None:
        """Takes in which services one complete call used.

        Args:
          first_service: Service that the entry called.
          kind: Kind of the request.
          services: Services below the first one.
        """
        pair = self._pair(first_service, kind)
        pair.calls += 1
        used = set(services)
        weight = max(USED_SMOOTHING, 1 / pair.calls)
        for service in used | pair.shares.keys():
            share = pair.shares.get(service, 0.0)
            share += weight * ((service in used) - share)
            pair.shares[service] = share
        if weight == USED_SMOOTHING:
            pair.shares = {s: v for s, v in pair.shares.items() if v > 0.01}

    def record_services_needed(
        self, first_service: str, kind: str, services: Iterable[str]
    ) -> None:
        """Takes in which services a call needed that has failed.

        It may have ended before it came to others, so that nothing is learnt
        of those. Without this, a daemon that starts under overload lets in
        what fails below for as long as nothing of that kind succeeds.

        Args:
          first_service: Service that the entry called.
          kind: Kind of the request.
          services: Services that were called, whatever came of it.
        """
        pair = self._pair(first_service, kind)
        weight = max(USED_SMOOTHING, 1 / (pair.calls + 1))
        for service in services:
            share = pair.shares.get(service, 0.0)
            pair.shares[service] = share + weight * (1.0 - share)

    def services_used(self, first_service: str, kind: str) -> list[str]:
        """Returns the services that calls of a pair use, the first included."""
        pair = self._pairs.get((first_service, kind))
        below = pair.shares.items() if pair else ()
        return [
            first_service,
            *(
                s
                for s, v in below
                if v >= USED_SHARE_MIN and s != first_service
            ),
        ]

    def shedding_service(
        self, first_service: str, kind: str, priority: int, now_ms: float
    ) -> tuple[str, int, float]:
        """Returns the service that refuses a call, its threshold and age.

        Args:
          first_service: Service that the caller asks for.
          kind: Kind of the request.
          priority: Priority of the call.
          now_ms: Present time.
        """
        service = max(
            self.services_used(first_service, kind),
            key=lambda name: self.shed_share(name, priority, now_ms),
        )
        level = self._levels.get(service)
        if level is None:
            return service, 0, 0.0
        return service, level.threshold, now_ms - level.at_ms

    def should_shed(
        self,
        first_service: str,
        kind: str,
        priority: int,
        important: bool,
        now_ms: float,
    ) -> bool:
        """Decides whether the entry refuses a call with SHED_AT_ENTRY.

        Args:
          first_service: Service that the caller asks for.
          kind: Kind of the request.
          priority: Priority of the call.
          important: Whether the row has important_weight or more.
          now_ms: Present time.
        """
        if important or not self._enabled:
            return False
        effect = max(
            self.shed_share(service, priority, now_ms)
            for service in self.services_used(first_service, kind)
        )
        if not effect:
            return False
        pair = self._pair(first_service, kind)
        # The remainder of the credit lets exactly the share of calls through
        # that the age allows, and at least one in probe_one_in.
        pair.credit += min(effect, 1.0 - 1.0 / self._settings.probe_one_in)
        if pair.credit < 1.0 - ROUNDING:
            return False
        pair.credit -= 1.0
        return True

    def _pair(self, first_service: str, kind: str) -> _Pair:
        pair = self._pairs.setdefault((first_service, kind), _Pair())
        self._pairs.move_to_end((first_service, kind))
        if len(self._pairs) > PAIRS_MAX:
            self._pairs.popitem(last=False)
        return pair
