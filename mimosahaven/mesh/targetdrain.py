"""Decides until when runs may start on a local target that is leaving.

Some daemons learn late that a target is draining or gone and still send runs to
it, and runs that arrived before may still wait in its queue. The daemon on the
target's VM usually knows earlier, and refuses them in time to run elsewhere.
"""

import math

# Part of the platform's bound that is left for the daemon to learn of the drain
# and for a run to reach the target.
LATENESS_MARGIN_MS = 500.0


class TargetDrain:
    """Tracks whether the local target is listed as serving.

    Args:
      drain_ms: Time for which a target goes on serving after it has reported
        that it leaves; no run may reach it later.

    Attributes:
      drain_ms: The same.
    """

    def __init__(self, drain_ms: float):
        self.drain_ms = drain_ms
        self._stopped_ms: float | None = None
        self._has_alternative = False

    def observe(
        self, serving: bool, has_alternative: bool, now_ms: float
    ) -> bool:
        """Updates the state of the target.

        Args:
          serving: Whether it is listed and accepts new work.
          has_alternative: Whether another target of its service does.
          now_ms: Current time.

        Returns:
          Whether the target has just stopped serving.
        """
        self._has_alternative = has_alternative
        was_serving = self._stopped_ms is None
        if serving:
            self._stopped_ms = None
        elif was_serving:
            self._stopped_ms = now_ms
        return was_serving and not serving

    def start_until_ms(self, run_ms: float) -> float:
        """Returns until when a run may start.

        The target may exit at the end of the drain. A run that may last longer
        is not started if it can run elsewhere.

        Args:
          run_ms: How long the run may last.
        """
        if self._stopped_ms is None:
            return math.inf
        reserved_ms = LATENESS_MARGIN_MS
        if self._has_alternative:
            reserved_ms = max(reserved_ms, run_ms)
        return self._stopped_ms + max(0.0, self.drain_ms - reserved_ms)
