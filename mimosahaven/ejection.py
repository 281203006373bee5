"""Ejection of targets that fail, and back-off of targets out of reach."""

import dataclasses

from mimosahaven import codes
from mimosahaven import settings as settings_lib

Code = codes.Code

# Failures that lie with this target whatever the other targets do.
HARD_FAILURES = frozenset(
    {
        Code.TARGET_DOWN,
        Code.TARGET_LOST,
        Code.LINK_LOST,
        Code.ANSWER_TRUNCATED,
    }
)
# Failures that a slow service further down causes as well.
SOFT_FAILURES = frozenset(
    {Code.TIMEOUT, Code.STILL_RUNNING, Code.TARGET_ERROR, Code.INTERNAL}
)
_FAILURE_RATE_WEIGHT = 0.1
# Failure rate below which another target proves that the service works.
_HEALTHY_RATE = 0.2


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """What one router knows of the failures of a target.

    Attributes:
      service: Service of the target.
      consecutive_failures: Consecutive failures.
      failure_rate: Moving share of failures, None before the first outcome.
      ejected_until_ms: End of the ejection.
      unreachable_until_ms: End of the back-off after a lost link or a
        refusal because the daemon is starting or leaving.
      backoff_count: Ejections and lost links that the next period doubles for.
      available_since_ms: End of the last ejection or backoff, when the slow
        start begins.
      period_ms: Length of the last period out of service.
    """

    service: str
    consecutive_failures: int = 0
    failure_rate: float | None = None
    ejected_until_ms: float = 0.0
    unreachable_until_ms: float = 0.0
    backoff_count: int = 0
    available_since_ms: float = 0.0
    period_ms: float = 0.0

    def is_unavailable(self, now_ms: float) -> bool:
        """Returns whether the target is out of service."""
        return now_ms < self.ejected_until_ms or (
            now_ms < self.unreachable_until_ms
        )

    def unavailable_until_ms(self) -> float:
        """Returns the time at which the target is tried again."""
        return max(self.ejected_until_ms, self.unreachable_until_ms)


class Ejector:
    """Ejects the failing targets of each service, at most half of them.

    A target whose link is lost cannot be used at all. Its back-off has the
    length of an ejection but does not count towards the half: in a partition
    most of a service may be out of reach, and calls must go to the rest.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._routing = settings.routing
        self._enabled = settings.mechanisms.ejection
        self._services: dict[str, dict[str, TargetHealth]] = {}
        self._records: dict[str, TargetHealth] = {}

    def set_targets(
        self, service: str, targets: list[str], now_ms: float
    ) -> dict[str, TargetHealth]:
        """Sets the targets of a service; new ones begin a slow start.

        Returns:
          The record of each target.
        """
        old = self._services.get(service, {})
        new = {
            target: old.get(target)
            or TargetHealth(service, available_since_ms=now_ms)
            for target in targets
        }
        for target in old.keys() - new.keys():
            self._records.pop(target, None)
        self._services[service] = new
        self._records.update(new)
        return new

    def record_result(self, target: str, code: Code, now_ms: float) -> None:
        """Takes in the result of an attempt.

        Refusals by admission control or load shedding change nothing: they
        show a loaded target, not a broken one.
        """
        record = self._records.get(target)
        if record is None or not self._enabled or record.is_unavailable(now_ms):
            return
        if code is Code.OK:
            self._record_success(record, now_ms)
        elif code in HARD_FAILURES or code in SOFT_FAILURES:
            self._record_failure(target, record, code, now_ms)
        elif code is Code.LEAVING:
            # A daemon does not return from LEAVING in the same incarnation.
            _hold(record, now_ms + self._routing.ejection_max_ms)
        elif code in (Code.STARTING, Code.STALE_AFTER_PAUSE):
            _hold(record, now_ms + self._routing.ejection_ms)

    def record_link_lost(self, target: str, now_ms: float) -> None:
        """Takes in the loss of the link to a target."""
        record = self._records.get(target)
        if record is None or not self._enabled:
            return
        if now_ms >= record.unreachable_until_ms:
            period_ms = self._next_period_ms(record, now_ms)
            record.unreachable_until_ms = now_ms + period_ms

    def record_link_up(self, target: str, now_ms: float) -> None:
        """Takes in that the link to a target is up."""
        record = self._records.get(target)
        if record is not None and now_ms < record.unreachable_until_ms:
            record.unreachable_until_ms = now_ms
            record.available_since_ms = max(now_ms, record.ejected_until_ms)

    def ejected(self, service: str, now_ms: float) -> list[str]:
        """Returns the ejected targets of a service."""
        return [
            target
            for target, record in self._services.get(service, {}).items()
            if now_ms < record.ejected_until_ms
        ]

    def _record_success(self, record: TargetHealth, now_ms: float) -> None:
        record.consecutive_failures = 0
        record.failure_rate = _moved(record.failure_rate, 0.0)
        if now_ms - record.available_since_ms >= record.period_ms:
            record.backoff_count = 0

    def _record_failure(
        self, target: str, record: TargetHealth, code: Code, now_ms: float
    ) -> None:
        record.consecutive_failures += 1
        record.failure_rate = _moved(record.failure_rate, 1.0)
        if record.consecutive_failures < self._routing.ejection_failures:
            return
        if code in SOFT_FAILURES and not self._is_outlier(target, record):
            return
        targets = self._services[record.service]
        ejected = len(self.ejected(record.service, now_ms))
        if 2 * (ejected + 1) > len(targets):
            return
        period_ms = self._next_period_ms(record, now_ms)
        record.ejected_until_ms = now_ms + period_ms
        # One more failure after the return ejects the target again.
        record.consecutive_failures = self._routing.ejection_failures - 1

    def _is_outlier(self, target: str, record: TargetHealth) -> bool:
        """Returns whether another target of the service is healthy.

        When a service further down is slow, every target in front of it times
        out; to eject half of them would only add to the overload.
        """
        return any(
            other.failure_rate is not None
            and other.failure_rate < _HEALTHY_RATE
            for name, other in self._services[record.service].items()
            if name != target
        )

    def _next_period_ms(self, record: TargetHealth, now_ms: float) -> float:
        period_ms = min(
            self._routing.ejection_max_ms,
            self._routing.ejection_ms * 2**record.backoff_count,
        )
        if period_ms < self._routing.ejection_max_ms:
            record.backoff_count += 1
        record.period_ms = period_ms
        record.available_since_ms = now_ms + period_ms
        return period_ms


def _moved(rate: float | None, sample: float) -> float:
    if rate is None:
        return sample
    return rate + _FAILURE_RATE_WEIGHT * (sample - rate)


def _hold(record: TargetHealth, until_ms: float) -> None:
    record.unreachable_until_ms = until_ms
    record.available_since_ms = until_ms
