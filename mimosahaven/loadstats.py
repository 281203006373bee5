"""Measures of the load and the service time at a guard."""

import dataclasses

# Share of the calls that wait too long which one window removes. Removing
# all at once leaves the target idle in the next window.
DRAIN_SHARE = 0.25

# The expected service time follows the faster calls, so that a call of a fast
# kind is not dropped because of slow kinds.
SERVICE_FALL_SHARE = 0.3
SERVICE_RISE_SHARE = 0.02
SERVICE_MEAN_SHARE = 0.05
# Without finished calls the expected service time is lowered by this factor
# in each window, so that an overestimate cannot refuse calls for good.
SERVICE_DECAY = 0.8


@dataclasses.dataclass(slots=True)
class LoadWindow:
    """What has happened at a guard since start_ms.

    Attributes:
      start_ms: Start of the window.
      admitted: Calls that passed the threshold.
      ordinary: Less important ones among them.
      started: Calls that were let run.
      finished: Calls that ended.
      queue_refusals: Calls refused after admission for lack of room or time.
      target_refusals: Calls that the target itself refused.
      waiting_ms: Waiting calls, integrated over time.
      busy_ms: Time during which calls waited.
      running_ms: Running calls, integrated over time.
      important_ms: Important calls, running and waiting, integrated over time.
    """

    start_ms: float
    admitted: int = 0
    ordinary: int = 0
    started: int = 0
    finished: int = 0
    queue_refusals: int = 0
    target_refusals: int = 0
    waiting_ms: float = 0.0
    busy_ms: float = 0.0
    running_ms: float = 0.0
    important_ms: float = 0.0

    def advance(
        self, passed_ms: float, running: int, waiting: int, important: int
    ) -> None:
        """Adds a time during which the counts did not change."""
        if waiting:
            self.waiting_ms += waiting * passed_ms
            self.busy_ms += passed_ms
        self.running_ms += running * passed_ms
        self.important_ms += important * passed_ms

    @property
    def served(self) -> int:
        """Calls that were let run and not refused by the target."""
        return max(0, self.started - self.target_refusals)

    def is_overloaded(self, wait_target_ms: float) -> bool:
        """Returns whether calls were refused or waited for too long."""
        if self.queue_refusals or self.target_refusals:
            return True
        # By Little's law, the mean wait is waiting_ms divided by the calls
        # that were served.
        return self.waiting_ms > wait_target_ms * self.served

    def excess_share(self, standing: float) -> float:
        """Returns the share of the admitted calls that cannot be served.

        Args:
          standing: Waiting calls beyond those that are allowed to wait.
        """
        excess = self.admitted - self.served + DRAIN_SHARE * max(0.0, standing)
        return excess / max(1, self.admitted)


@dataclasses.dataclass(slots=True)
class ServiceTimeEstimate:
    """Service time of the calls on the target.

    Attributes:
      expected_ms: Time that a call needs at least, as far as is known.
      mean_ms: Mean time.
    """

    expected_ms: float = 0.0
    mean_ms: float = 0.0

    def update(self, service_ms: float) -> None:
        """Takes in one call."""
        difference_ms = service_ms - self.expected_ms
        share = SERVICE_FALL_SHARE if difference_ms < 0 else SERVICE_RISE_SHARE
        self.expected_ms += difference_ms * share
        self.mean_ms += (service_ms - self.mean_ms) * SERVICE_MEAN_SHARE

    def decay(self) -> None:
        """Lowers the expected time after a window without finished calls."""
        self.expected_ms *= SERVICE_DECAY
