"""Choice of a target for an attempt."""

import random

from mimosahaven import fleet as fleet_lib


class Chooser:
    """Chooses targets of a service."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self,
        candidates: list[fleet_lib.Member],
        tried: set[str],
        now_ms: float,
    ) -> fleet_lib.Member | None:
        """Returns a target that was not tried yet, or None."""
        del now_ms
        fresh = [m for m in candidates if m.target not in tried]
        return self._rng.choice(fresh) if fresh else None
