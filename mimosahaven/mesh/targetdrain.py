"""Whether the local target has left by the list of this daemon.

Answers the pattern "some daemons hear late": an origin that does not know yet
that a target is leaving still sends to it. The target's own daemon mostly
knows, and then refuses it.
"""

# The platform allows requests to reach a target for 2 s after a daemon has
# learnt that it leaves; a quarter of that is for the queue and the way.
ALLOWED_MS = 1_500.0


class TargetDrain:
    """Follows the list's entry of the local target."""

    def __init__(self):
        self._since_ms: float | None = None

    def observe(self, serving: bool, now_ms: float) -> None:
        """Takes in whether the target is listed and takes new work."""
        if serving:
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = now_ms

    def refuses_runs(self, now_ms: float) -> bool:
        """Returns whether runs for the target are to be refused."""
        return (
            self._since_ms is not None and now_ms - self._since_ms > ALLOWED_MS
        )
