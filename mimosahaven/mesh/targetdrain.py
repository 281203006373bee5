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

    @property
    def start_until_ms(self) -> float:
        """Time until which runs may start; infinite while the target serves."""
        if self._stopped_ms is None:
            return math.inf
        return self._stopped_ms + max(0.0, self.drain_ms - LATENESS_MARGIN_MS)

    @property
    def end_by_ms(self) -> float:
        """Time by which runs have to end, since the target may exit then.

        Infinite if there is no other target: a run that may be cut off is then
        better than none.
        """
        if self._stopped_ms is None or not self._has_alternative:
            return math.inf
        return self._stopped_ms + self.drain_ms
