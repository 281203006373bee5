"""Share of its runs that a target refuses.

Answers the pattern "some targets of a full service turn work away": they have
room, so that by their load alone more work is let in for them, a part of which
is refused in the depth of trees that were nearly done. Their daemons tell the
share, and the service is then judged by the targets that run what they get.
"""

# Weight of one run in the share.
SMOOTHING = 0.1
# Without runs the share is halved in this time: only new work can show that a
# target refuses no more.
HALF_LIFE_MS = 4_000.0
# From this share on a target counts as one that turns work away. A full one
# refuses less, since its daemon keeps slots free.
MANY_SHARE = 0.2


class RefusedShare:
    """Share of the recent runs that the local target has refused."""

    def __init__(self):
        self._share = 0.0
        self._at_ms = 0.0

    def learn(self, refused: bool, now_ms: float) -> None:
        """Takes in whether the target has refused a run."""
        share = self.value(now_ms)
        self._share = share + SMOOTHING * (refused - share)
        self._at_ms = now_ms

    def value(self, now_ms: float) -> float:
        """Returns the share, fading without new runs."""
        age_ms = max(0.0, now_ms - self._at_ms)
        return self._share * 0.5 ** (age_ms / HALF_LIFE_MS)
