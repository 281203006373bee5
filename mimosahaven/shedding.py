"""Shed threshold of a guard, and its propagation to upstream daemons."""

import collections
import dataclasses
import math
import typing
from collections.abc import Iterable
from collections.abc import Mapping

if typing.TYPE_CHECKING:
    # Not imported at run time: the settings of the action mode take memory
    # that the mesh daemon does not need.
    from mimosahaven import settings as settings_lib


# Smallest decrement of the threshold: 1/64 of the priority range of one weight,
# so that a threshold within that range is lowered gradually.
STEP_MIN = 1024
# The first decrement is the threshold divided by this. As it doubles in each
# window, it lowers the threshold to 0 in 9 windows: 2**9 - 1 >= 500.
STEP_DIVISOR = 500
# Largest share of the accepted calls that one raise of the threshold sheds.
EXCESS_SHARE_MAX = 0.9
# Bound on the (first service, kind) pairs with a profile; kinds are set by
# callers, so that their number is not limited otherwise.
PROFILES_MAX = 4096
# Calls of a kind are taken to use a service if at least this share of the
# recent ones did.
USED_SHARE_MIN = 0.5
# Smallest weight of one call in the shares of a profile; the n-th call has the
# weight 1 / n while that is larger.
USED_SAMPLE_WEIGHT_MIN = 0.05
# Rounding errors can leave a sum of fractions just below a whole call.
ROUNDING_TOLERANCE = 1e-9


class ShedThreshold:
    """The priority below which a guard refuses new calls immediately.

    The threshold is raised in overload and lowered in windows with free
    capacity. In any other window the admitted load equals the capacity, and
    the threshold is kept: lowering it would only make it oscillate.
    """

    def __init__(self):
        self._value = 0
        self._step = 0
        self._accepted_priorities: list[int] = []

    @property
    def value(self) -> int:
        """The threshold; at 0, no call is refused."""
        return self._value

    def record(self, priority: int) -> None:
        """Records the priority of a call that was accepted into the queue."""
        self._accepted_priorities.append(priority)

    def raise_by(self, excess_share: float, ceiling: int | None) -> None:
        """Raises the threshold after a window with overload.

        Args:
          excess_share: Share of the recorded calls to shed, from 0 to 1.
            Larger values than EXCESS_SHARE_MAX are reduced to it.
          ceiling: Upper bound of the threshold, or None.
        """
        priorities = sorted(self._accepted_priorities)
        self.hold()
        shed_count = math.ceil(
            len(priorities) * min(EXCESS_SHARE_MAX, max(0.0, excess_share))
        )
        if not shed_count:
            return
        value = (
            priorities[shed_count]
            if shed_count < len(priorities)
            else priorities[-1] + 1
        )
        if ceiling is not None:
            value = min(value, ceiling)
        self._value = max(self._value, value)

    def hold(self) -> None:
        """Keeps the threshold after a window at full capacity.

        Discards the recorded priorities; the next decrement is small again.
        """
        self._accepted_priorities.clear()
        self._step = 0

    def lower(self, free_share: float, step_min: int = 0) -> None:
        """Lowers the threshold after a window without overload.

        The priorities of the calls just below the threshold are assumed to be
        as dense as those just above it. The decrement is bounded so that no
        more calls pass than the free capacity can serve, but it is at least
        STEP_MIN.

        Args:
          free_share: Share of the capacity that was unused, from 0 to 1.
          step_min: Smallest decrement, even if the free capacity cannot serve
            all calls that then pass.
        """
        priorities = sorted(self._accepted_priorities)
        self._accepted_priorities.clear()
        if not self._value:
            return
        if self._step:
            self._step *= 2
        else:
            self._step = max(STEP_MIN, math.ceil(self._value / STEP_DIVISOR))
        free_count = int(len(priorities) * free_share)
        if free_count < len(priorities):
            step_max = priorities[free_count] - self._value
            self._step = min(self._step, max(STEP_MIN, step_max))
        self._step = max(self._step, step_min)
        self._value = max(0, self._value - self._step)

    def limit_to(self, ceiling: int) -> None:
        """Lowers the threshold to at most the ceiling."""
        self._value = min(self._value, ceiling)


@dataclasses.dataclass
class _ThresholdReport:
    """Latest known threshold of a service and the time it was in force."""

    threshold: int
    valid_at_ms: float


@dataclasses.dataclass
class _CallProfile:
    """Services used by calls of one kind that have the same first service.

    Attributes:
      call_count: Number of complete calls recorded.
      shares: For each service, the share of the recent calls that used it.
      shed_credit: Accumulated share of calls to shed; a call is shed for each
        whole unit.
    """

    call_count: int = 0
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    shed_credit: float = 0.0


class ThresholdMap:
    """Shed thresholds of downstream services, as known upstream."""

    def __init__(self, settings: "settings_lib.Settings"):
        self._settings = settings.shedding
        self._enabled = settings.mechanisms.shed_at_entry
        self._reports: dict[str, _ThresholdReport] = {}
        self._profiles: collections.OrderedDict[
            tuple[str, str], _CallProfile
        ] = collections.OrderedDict()

    def update(
        self, service: str, threshold: int, age_ms: float, now_ms: float
    ) -> None:
        """Stores a threshold unless a newer one of the service is known.

        Args:
          service: Name of the service.
          threshold: Its shed threshold.
          age_ms: Age of the threshold on receipt.
          now_ms: Current time.
        """
        valid_at_ms = now_ms - max(0.0, age_ms)
        report = self._reports.get(service)
        if report is None:
            self._reports[service] = _ThresholdReport(threshold, valid_at_ms)
        elif valid_at_ms >= report.valid_at_ms:
            report.threshold, report.valid_at_ms = threshold, valid_at_ms

    def update_all(
        self, thresholds: Mapping[str, tuple[int, float]], now_ms: float
    ) -> None:
        """Stores the thresholds, with their ages, of a received result."""
        for service, (threshold, age_ms) in thresholds.items():
            self.update(service, threshold, age_ms, now_ms)

    def shed_share(self, service: str, priority: int, now_ms: float) -> float:
        """Returns the share of the calls of a priority to shed, from 0 to 1.

        Below the threshold, the share decreases linearly with the age of the
        threshold, from 1 to 0 at expiry_ms.
        """
        report = self._reports.get(service)
        if report is None or priority >= report.threshold:
            return 0.0
        age_ms = now_ms - report.valid_at_ms
        return min(1.0, max(0.0, 1.0 - age_ms / self._settings.expiry_ms))

    def export(
        self, services: Iterable[str], now_ms: float
    ) -> dict[str, tuple[int, float]]:
        """Returns thresholds and ages to send with a result.

        Expired thresholds are returned as 0.

        Args:
          services: The downstream services that the call used. All of them are
            included, because the upstream daemon also derives from the result
            which services the call used.
          now_ms: Current time.
        """
        result = {}
        for service in services:
            report = self._reports.get(service)
            age_ms = now_ms - report.valid_at_ms if report else 0.0
            if report is None or age_ms >= self._settings.expiry_ms:
                result[service] = (0, 0.0)
            else:
                result[service] = (report.threshold, age_ms)
        return result

    def export_all(self, now_ms: float) -> dict[str, tuple[int, float]]:
        """Returns the thresholds and ages of all known services."""
        return self.export(self._reports, now_ms)

    def record_services_used(
        self, first_service: str, kind: str, services: Iterable[str]
    ) -> None:
        """Records which services a complete call used.

        Args:
          first_service: Service that the caller requests.
          kind: Kind of the request.
          services: Services that the call used downstream of the first one.
        """
        profile = self._profile(first_service, kind)
        profile.call_count += 1
        used = set(services)
        weight = max(USED_SAMPLE_WEIGHT_MIN, 1 / profile.call_count)
        for service in used | profile.shares.keys():
            share = profile.shares.get(service, 0.0)
            share += weight * ((service in used) - share)
            profile.shares[service] = share
        if weight == USED_SAMPLE_WEIGHT_MIN:
            profile.shares = {
                s: v for s, v in profile.shares.items() if v > 0.01
            }

    def record_services_needed(
        self, first_service: str, kind: str, services: Iterable[str]
    ) -> None:
        """Records which services a failed call needed.

        The call may have failed before it reached other services, so their
        shares are not changed. Without such records, a daemon that starts under
        overload would keep admitting calls of a kind that always fails
        downstream, because no call of that kind succeeds.

        Args:
          first_service: Service that the caller requests.
          kind: Kind of the request.
          services: Services that were called, whatever the outcome.
        """
        profile = self._profile(first_service, kind)
        weight = max(USED_SAMPLE_WEIGHT_MIN, 1 / (profile.call_count + 1))
        for service in services:
            share = profile.shares.get(service, 0.0)
            profile.shares[service] = share + weight * (1.0 - share)

    def services_used(self, first_service: str, kind: str) -> list[str]:
        """Returns the services that calls of a kind use, the first included."""
        profile = self._profiles.get((first_service, kind))
        downstream = profile.shares.items() if profile else ()
        return [
            first_service,
            *(
                s
                for s, v in downstream
                if v >= USED_SHARE_MIN and s != first_service
            ),
        ]

    def highest_service(
        self, first_service: str, kind: str, now_ms: float
    ) -> str | None:
        """Returns the service of a call with the highest threshold in force.

        Args:
          first_service: Service that the caller requests.
          kind: Kind of the request.
          now_ms: Current time.

        Returns:
          The service, or None if no service that the call uses sheds.
        """
        highest, highest_threshold = None, 0
        for service in self.services_used(first_service, kind):
            report = self._reports.get(service)
            if report is None or report.threshold <= highest_threshold:
                continue
            if now_ms - report.valid_at_ms < self._settings.expiry_ms:
                highest, highest_threshold = service, report.threshold
        return highest

    def shedding_service(
        self, first_service: str, kind: str, priority: int, now_ms: float
    ) -> tuple[str, int, float]:
        """Returns the service that a call is shed for, its threshold and age.

        Args:
          first_service: Service that the caller requests.
          kind: Kind of the request.
          priority: Priority of the call.
          now_ms: Current time.
        """
        service = max(
            self.services_used(first_service, kind),
            key=lambda name: self.shed_share(name, priority, now_ms),
        )
        report = self._reports.get(service)
        if report is None:
            return service, 0, 0.0
        return service, report.threshold, now_ms - report.valid_at_ms

    def should_shed(
        self,
        first_service: str,
        kind: str,
        priority: int,
        important: bool,
        now_ms: float,
    ) -> bool:
        """Returns whether the entry refuses a call with SHED_AT_ENTRY.

        Args:
          first_service: Service that the caller requests.
          kind: Kind of the request.
          priority: Priority of the call.
          important: Whether the weight of the row is at least
            important_weight.
          now_ms: Current time.
        """
        if important or not self._enabled:
            return False
        share = max(
            self.shed_share(service, priority, now_ms)
            for service in self.services_used(first_service, kind)
        )
        if not share:
            return False
        profile = self._profile(first_service, kind)
        # Carrying over the remainder sheds exactly the wanted share of the
        # calls; at least one in probe_one_in is let through as a probe.
        profile.shed_credit += min(
            share, 1.0 - 1.0 / self._settings.probe_one_in
        )
        if profile.shed_credit < 1.0 - ROUNDING_TOLERANCE:
            return False
        profile.shed_credit -= 1.0
        return True

    def _profile(self, first_service: str, kind: str) -> _CallProfile:
        profile = self._profiles.setdefault(
            (first_service, kind), _CallProfile()
        )
        self._profiles.move_to_end((first_service, kind))
        if len(self._profiles) > PROFILES_MAX:
            self._profiles.popitem(last=False)
        return profile
