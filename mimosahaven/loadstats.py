"""Load and service time statistics for admission control."""

import dataclasses

# Share of the excess queued calls that the correction of one window removes.
# Removing all of them at once leaves the target idle in the next window.
QUEUE_CORRECTION_SHARE = 0.25

# Weights of one sample in the expected service time: of a sample below the
# estimate, and of one above it. The estimate tracks the faster calls, so that a
# call of a fast kind is not refused because of slow kinds.
EXPECTED_FALL_WEIGHT = 0.3
EXPECTED_RISE_WEIGHT = 0.02
# Weight of one sample in the mean service time.
MEAN_WEIGHT = 0.05
# Factor applied to the expected service time after each window without
# finished calls; otherwise an overestimate would refuse all calls permanently.
EXPECTED_DECAY_FACTOR = 0.8


@dataclasses.dataclass(slots=True)
class LoadWindow:
    """Load of the target and its admission queue in one window.

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
        self, interval_ms: float, running: int, waiting: int, important: int
    ) -> None:
        """Adds an interval during which the given counts were constant."""
        if waiting:
            self.waiting_ms += waiting * interval_ms
            self.nonempty_queue_ms += interval_ms
        self.running_ms += running * interval_ms
        self.important_ms += important * interval_ms

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

    def excess_share(self, excess_queued: float) -> float:
        """Returns the share of the accepted calls that cannot be served.

        Args:
          excess_queued: Number of queued calls above the allowed queue length;
            QUEUE_CORRECTION_SHARE of them count as calls to be shed.
        """
        excess = (
            self.accepted
            - self.served
            + QUEUE_CORRECTION_SHARE * max(0.0, excess_queued)
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
        weight = (
            EXPECTED_FALL_WEIGHT if difference_ms < 0 else EXPECTED_RISE_WEIGHT
        )
        self.expected_ms += difference_ms * weight
        self.mean_ms += (service_ms - self.mean_ms) * MEAN_WEIGHT

    def decay(self) -> None:
        """Lowers the expected time after a window without finished calls."""
        self.expected_ms *= EXPECTED_DECAY_FACTOR
