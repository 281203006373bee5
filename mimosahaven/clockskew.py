"""Time that a message waited in buffers, from two unsynchronised clocks."""


class SkewEstimator:
    """Smallest difference seen between the receive and the send clock.

    A message whose difference is larger waited in a buffer or at a stopped
    process for the excess. Clock drift is ignored: links live for minutes.
    """

    def __init__(self):
        self._smallest_ms: float | None = None

    def observe(self, sent_ms: float, received_ms: float) -> float:
        """Takes in one message.

        Args:
          sent_ms: Reading of the sender's monotonic clock.
          received_ms: Reading of the receiver's monotonic clock.

        Returns:
          Milliseconds that the message waited beyond the fastest one.
        """
        difference_ms = received_ms - sent_ms
        if self._smallest_ms is None or difference_ms < self._smallest_ms:
            self._smallest_ms = difference_ms
        return difference_ms - self._smallest_ms
