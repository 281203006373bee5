"""Whether the local target answers at all.

Answers the pattern "a target falls silent": its connections stay open, and what
is sent on them hangs until its deadline. Health answers prove nothing, and a
slow target must not be taken for a silent one, so the test is whether it still
accepts connections.
"""

# Without any answer for this long while requests run, a connection is tried.
# The longest ordinary runs take over a second, but not all of them at once.
SILENCE_MS = 400.0
# So many runs must be waiting for an answer.
SILENT_RUNS_MIN = 3


class TargetHealth:
    """What the answers of the local target say of it.

    Attributes:
      down: Whether it accepts no connections.
      probing: Whether connections are being tried.
    """

    def __init__(self, now_ms: float):
        self.down = False
        self.probing = False
        self._heard_ms = now_ms

    def record_response(self, now_ms: float) -> None:
        """Takes in that the target has answered something."""
        self._heard_ms = now_ms

    def record_recovery(self, now_ms: float) -> None:
        """Takes in that it accepts connections."""
        self.down = self.probing = False
        self._heard_ms = now_ms

    def is_unresponsive(self, now_ms: float) -> bool:
        """Returns whether nothing was heard for longer than usual."""
        return now_ms - self._heard_ms > SILENCE_MS

    def needs_probe(self, run_count: int, now_ms: float) -> bool:
        """Returns whether a connection has to be tried.

        Args:
          run_count: Requests that it is running.
          now_ms: Present time.
        """
        if self.probing:
            return False
        if run_count < SILENT_RUNS_MIN:
            # Silence counts from when there is something to answer.
            self._heard_ms = now_ms
            return False
        return self.is_unresponsive(now_ms)
