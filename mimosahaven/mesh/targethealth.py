"""Detects a local target that no longer responds.

Such a target keeps its connections open, and requests sent on them hang until
their deadlines. Health checks do not detect this, and a slow target must not be
mistaken for an unresponsive one, so the test is whether it still accepts
connections.
"""

# After this long without a response while requests are running, the target is
# probed with a connection. The longest ordinary runs take over a second, but
# not all runs at once.
SILENCE_MS = 400.0
# Minimum number of runs awaiting a response for a probe.
SILENT_RUNS_MIN = 3


class TargetHealth:
    """Health of the local target, derived from its responses.

    Attributes:
      down: Whether the target refuses or does not accept connections.
      probing: Whether a connection probe is in progress.
    """

    def __init__(self, now_ms: float):
        self.down = False
        self.probing = False
        self._responded_ms = now_ms

    def record_response(self, now_ms: float) -> None:
        """Records a response of the target."""
        self._responded_ms = now_ms

    def record_recovery(self, now_ms: float) -> None:
        """Records that the target accepts connections."""
        self.down = self.probing = False
        self._responded_ms = now_ms

    def is_unresponsive(self, now_ms: float) -> bool:
        """Returns whether the last response is older than SILENCE_MS."""
        return now_ms - self._responded_ms > SILENCE_MS

    def needs_probe(self, run_count: int, now_ms: float) -> bool:
        """Returns whether a connection probe has to be started.

        Args:
          run_count: Number of requests that the target is running.
          now_ms: Current time.
        """
        if self.probing:
            return False
        if run_count < SILENT_RUNS_MIN:
            # The silence is measured from when enough requests are running.
            self._responded_ms = now_ms
            return False
        return self.is_unresponsive(now_ms)
