"""Refuses runs for a local target that has stopped serving.

Some daemons learn late that a target is draining or gone and still send
requests to it. The daemon on the target's VM usually knows earlier, and refuses
these requests.
"""

# Runs are still accepted for this long. The platform allows requests to reach a
# target for 2 s after a daemon has learned that it drains; a quarter of that is
# left for queueing and transit.
DRAIN_GRACE_MS = 1_500.0


class TargetDrain:
    """Tracks whether the local target is listed as serving."""

    def __init__(self):
        self._stopped_ms: float | None = None

    def observe(self, serving: bool, now_ms: float) -> None:
        """Updates whether the target is listed and accepts new work."""
        if serving:
            self._stopped_ms = None
        elif self._stopped_ms is None:
            self._stopped_ms = now_ms

    def refuses_runs(self, now_ms: float) -> bool:
        """Returns whether runs for the target must be refused."""
        return (
            self._stopped_ms is not None
            and now_ms - self._stopped_ms > DRAIN_GRACE_MS
        )
