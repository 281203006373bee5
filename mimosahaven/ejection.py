"""Outlier ejection of failing targets and backoff of unreachable ones."""

import dataclasses

from mimosahaven import codes
from mimosahaven import settings as settings_lib

Code = codes.Code

# Failures that are attributed to the target, whatever the state of the other
# targets of its service.
HARD_FAILURES = frozenset(
    {
        Code.TARGET_DOWN,
        Code.TARGET_LOST,
        Code.LINK_LOST,
        Code.ANSWER_TRUNCATED,
    }
)
# Failures that a slow downstream service can also cause.
SOFT_FAILURES = frozenset(
    {Code.TIMEOUT, Code.STILL_RUNNING, Code.TARGET_ERROR, Code.INTERNAL}
)
_FAILURE_RATE_WEIGHT = 0.1
# A target with a lower failure rate is healthy. If a service has a healthy
# target, soft failures are attributed to the targets that have them.
_HEALTHY_FAILURE_RATE = 0.2


@dataclasses.dataclass(slots=True)
class EjectionState:
    """Failures, ejection and backoff of a target, as seen by one router.

    Attributes:
      service: Service of the target.
      consecutive_failures: Number of consecutive failures.
      failure_rate: Moving average of failures, None before the first outcome.
      ejected_until_ms: End of the ejection.
      unreachable_until_ms: End of the backoff after a lost link or a
        refusal because the daemon is starting, leaving or resuming from a
        pause.
      backoff_count: How many times ejection_ms is doubled for the next
        ejection or backoff.
      available_since_ms: End of the last ejection or backoff, when the slow
        start begins.
      unavailable_ms: Length of the last ejection or backoff.
    """

    service: str
    consecutive_failures: int = 0
    failure_rate: float | None = None
    ejected_until_ms: float = 0.0
    unreachable_until_ms: float = 0.0
    backoff_count: int = 0
    available_since_ms: float = 0.0
    unavailable_ms: float = 0.0

    def is_unavailable(self, now_ms: float) -> bool:
        """Returns whether the target is ejected or in backoff."""
        return now_ms < self.ejected_until_ms or (
            now_ms < self.unreachable_until_ms
        )

    def unavailable_until_ms(self) -> float:
        """Returns the end of the ejection and the backoff."""
        return max(self.ejected_until_ms, self.unreachable_until_ms)


class Ejector:
    """Ejects failing targets, but at most half of the targets of a service.

    A target whose link is lost cannot be used at all. Its backoff is as long as
    an ejection but does not count towards the half: in a partition, most
    targets of a service can be unreachable, and calls must go to the rest.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._routing = settings.routing
        self._enabled = settings.mechanisms.ejection
        self._services: dict[str, dict[str, EjectionState]] = {}
        self._states: dict[str, EjectionState] = {}

    def set_targets(
        self, service: str, targets: list[str], now_ms: float
    ) -> dict[str, EjectionState]:
        """Sets the targets of a service; new ones begin with a slow start.

        Returns:
          The state of each target.
        """
        previous = self._services.get(service, {})
        current = {
            target: previous.get(target)
            or EjectionState(service, available_since_ms=now_ms)
            for target in targets
        }
        for target in previous.keys() - current.keys():
            self._states.pop(target, None)
        self._services[service] = current
        self._states.update(current)
        return current

    def record_result(self, target: str, code: Code, now_ms: float) -> None:
        """Updates the state of a target by the result of an attempt.

        Refusals by admission control or load shedding are ignored: they show
        that the target is overloaded, not that it fails. So are results that
        arrive while the target is ejected or in backoff.
        """
        state = self._states.get(target)
        if state is None or not self._enabled or state.is_unavailable(now_ms):
            return
        if code is Code.OK:
            self._record_success(state, now_ms)
        elif code in HARD_FAILURES or code in SOFT_FAILURES:
            self._record_failure(target, state, code, now_ms)
        elif code is Code.LEAVING:
            # A leaving daemon accepts no more calls in this incarnation, so the
            # backoff is the longest.
            _set_unreachable(state, now_ms + self._routing.ejection_max_ms)
        elif code in (Code.STARTING, Code.STALE_AFTER_PAUSE):
            _set_unreachable(state, now_ms + self._routing.ejection_ms)

    def record_link_lost(self, target: str, now_ms: float) -> None:
        """Starts a backoff of a target whose link is lost."""
        state = self._states.get(target)
        if state is None or not self._enabled:
            return
        if now_ms >= state.unreachable_until_ms:
            unavailable_ms = self._begin_unavailability(state, now_ms)
            state.unreachable_until_ms = now_ms + unavailable_ms

    def record_link_up(self, target: str, now_ms: float) -> None:
        """Ends the backoff of a target whose link is up."""
        state = self._states.get(target)
        if state is not None and now_ms < state.unreachable_until_ms:
            state.unreachable_until_ms = now_ms
            state.available_since_ms = max(now_ms, state.ejected_until_ms)

    def ejected(self, service: str, now_ms: float) -> list[str]:
        """Returns the ejected targets of a service."""
        return [
            target
            for target, state in self._services.get(service, {}).items()
            if now_ms < state.ejected_until_ms
        ]

    def _record_success(self, state: EjectionState, now_ms: float) -> None:
        state.consecutive_failures = 0
        state.failure_rate = _update_failure_rate(state.failure_rate, 0.0)
        # The doubling ends when the target has been available for as long as it
        # was unavailable before.
        if now_ms - state.available_since_ms >= state.unavailable_ms:
            state.backoff_count = 0

    def _record_failure(
        self, target: str, state: EjectionState, code: Code, now_ms: float
    ) -> None:
        state.consecutive_failures += 1
        state.failure_rate = _update_failure_rate(state.failure_rate, 1.0)
        if state.consecutive_failures < self._routing.ejection_failures:
            return
        if code in SOFT_FAILURES and not self._is_outlier(target, state):
            return
        targets = self._services[state.service]
        ejected = len(self.ejected(state.service, now_ms))
        if 2 * (ejected + 1) > len(targets):
            return
        unavailable_ms = self._begin_unavailability(state, now_ms)
        state.ejected_until_ms = now_ms + unavailable_ms
        # One more failure after the ejection ejects the target again.
        state.consecutive_failures = self._routing.ejection_failures - 1

    def _is_outlier(self, target: str, state: EjectionState) -> bool:
        """Returns whether another target of the service is healthy.

        When a downstream service is slow, all targets that call it time out,
        and ejecting half of them would only increase the overload.
        """
        return any(
            other.failure_rate is not None
            and other.failure_rate < _HEALTHY_FAILURE_RATE
            for name, other in self._services[state.service].items()
            if name != target
        )

    def _begin_unavailability(
        self, state: EjectionState, now_ms: float
    ) -> float:
        """Records the start of an ejection or backoff; returns its length."""
        unavailable_ms = min(
            self._routing.ejection_max_ms,
            self._routing.ejection_ms * 2**state.backoff_count,
        )
        if unavailable_ms < self._routing.ejection_max_ms:
            state.backoff_count += 1
        state.unavailable_ms = unavailable_ms
        state.available_since_ms = now_ms + unavailable_ms
        return unavailable_ms


def _update_failure_rate(rate: float | None, sample: float) -> float:
    if rate is None:
        return sample
    return rate + _FAILURE_RATE_WEIGHT * (sample - rate)


def _set_unreachable(state: EjectionState, until_ms: float) -> None:
    state.unreachable_until_ms = until_ms
    state.available_since_ms = until_ms
