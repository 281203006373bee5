"""Estimate of the time that a message spent in buffers."""


class SkewEstimator:
    """Tracks the minimum difference between the receive and the send clock.

    The clocks are not synchronized. A message with a larger difference waited
    for the excess in a buffer or at a stopped process. Clock drift is ignored,
    because links last only for minutes.
    """

    def __init__(self):
        self._minimum_ms: float | None = None

    def observe(self, sent_ms: float, received_ms: float) -> float:
        """Records the send and receive times of a message.

        Args:
          sent_ms: Reading of the sender's monotonic clock.
          received_ms: Reading of the receiver's monotonic clock.

        Returns:
          The delay in milliseconds relative to the fastest message.
        """
        difference_ms = received_ms - sent_ms
        if self._minimum_ms is None or difference_ms < self._minimum_ms:
            self._minimum_ms = difference_ms
        return difference_ms - self._minimum_ms
