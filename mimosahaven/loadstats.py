"""Load and service time statistics of a guard."""

import dataclasses

# Share of the excess queued calls that one window removes. Removing all of
# them at once leaves the target idle in the next window.
DRAIN_SHARE = 0.25

# Weight of one sample in the expected service time when it is below and above
# the estimate. The estimate tracks the faster calls, so that a call of a fast
# kind is not refused because of slow kinds.
SERVICE_FALL_SHARE = 0.3
SERVICE_RISE_SHARE = 0.02
# Weight of one sample in the mean service time.
SERVICE_MEAN_SHARE = 0.05
# Factor applied to the expected service time after each window without
# finished calls; otherwise an overestimate would refuse all calls permanently.
SERVICE_DECAY = 0.8


@dataclasses.dataclass(slots=True)
class LoadWindow:
    """Load of a guard in one window.

    Attributes:
      start_ms: Start of the window.
      accepted: Calls that were added to the admission queue.
      ordinary_accepted: Accepted calls that are not important.
      started: Calls that were dispatched to the target.
      finished: Calls that ended.
      queue_refusals: Calls refused from the queue because it was full or
        their deadline too close.
      target_refusals: Calls that the target itself refused.
      waiting_ms: Number of queued calls, integrated over time.
      nonempty_queue_ms: Time during which at least one call was queued.
      running_ms: Number of running calls, integrated over time.
      important_ms: Number of important calls, running and queued, integrated
        over time.
    """

    start_ms: float
    accepted: int = 0
    ordinary_accepted: int = 0
    started: int = 0
    finished: int = 0
    queue_refusals: int = 0
    target_refusals: int = 0
    waiting_ms: float = 0.0
    nonempty_queue_ms: float = 0.0
    running_ms: float = 0.0
    important_ms: float = 0.0

    def advance(
        self, passed_ms: float, running: int, waiting: int, important: int
    ) -> None:
        """Integrates the given counts over an interval of passed_ms."""
        if waiting:
            self.waiting_ms += waiting * passed_ms
            self.nonempty_queue_ms += passed_ms
        self.running_ms += running * passed_ms
        self.important_ms += important * passed_ms

    @property
    def served(self) -> int:
        """Calls that were dispatched and not refused by the target."""
        return max(0, self.started - self.target_refusals)

    def is_overloaded(self, wait_target_ms: float) -> bool:
        """Returns whether calls were refused or their mean wait is too long."""
        if self.queue_refusals or self.target_refusals:
            return True
        # By Little's law, the mean wait is waiting_ms / served.
        return self.waiting_ms > wait_target_ms * self.served

    def excess_share(self, standing_queue: float) -> float:
        """Returns the share of the accepted calls that cannot be served.

        Args:
          standing_queue: Queued calls in excess of the target queue length.
        """
        excess = (
            self.accepted - self.served + DRAIN_SHARE * max(0.0, standing_queue)
        )
        return excess / max(1, self.accepted)


@dataclasses.dataclass(slots=True)
class ServiceTimeEstimate:
    """Moving estimates of the service time of the target.

    Attributes:
      expected_ms: Estimate biased towards fast calls; a call with less time
        left is refused.
      mean_ms: Moving average.
    """

    expected_ms: float = 0.0
    mean_ms: float = 0.0

    def update(self, service_ms: float) -> None:
        """Adds the service time of one call."""
        difference_ms = service_ms - self.expected_ms
        share = SERVICE_FALL_SHARE if difference_ms < 0 else SERVICE_RISE_SHARE
        self.expected_ms += difference_ms * share
        self.mean_ms += (service_ms - self.mean_ms) * SERVICE_MEAN_SHARE

    def decay(self) -> None:
        """Lowers the expected time after a window without finished calls."""
        self.expected_ms *= SERVICE_DECAY
