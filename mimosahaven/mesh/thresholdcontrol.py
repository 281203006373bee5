"""Control of the shed threshold of a target under overload.

Requests are shed at their origin, so that a new threshold takes effect at the
target only when the requests that have passed the former one have arrived. The
controller takes this delay into account, and which ranks are in use.
"""

from mimosahaven import identity
from mimosahaven import shedding

# Share of the excess load that one window removes. Calls admitted earlier keep
# reaching the target for some windows, so that a full correction overshoots.
CORRECTION_SHARE = 0.6
# With a larger share of the limit unused, the cause of the overload has ended,
# and the threshold falls by at least that share of one unit of weight per
# change. Smaller steps would leave a recovered target half idle for seconds.
RECOVERED_FREE_SHARE = 0.3
# Weight of one run in the mean age of root requests.
ROOT_AGE_WEIGHT = 0.02


class ThresholdController:
    """Raises and lowers a shed threshold from windows of measured load.

    Args:
      now_ms: Current time.

    Attributes:
      effect_delay_ms: Time after which a change takes effect: the mean age of
        root requests when their runs arrive.
    """

    def __init__(self, now_ms: float):
        self._threshold = shedding.ShedThreshold()
        self._changed_ms = now_ms
        # Weights of the requests that have arrived; a table has few ranks.
        self._weights: set[int] = set()
        self.effect_delay_ms = 0.0

    @property
    def value(self) -> int:
        """Priority below which callers should not send new requests."""
        return self._threshold.value

    def record(self, shed_priority: int, root_age_ms: float) -> None:
        """Records a run that has arrived.

        Args:
          shed_priority: Shedding priority of its root request.
          root_age_ms: Age of the root request.
        """
        self._threshold.record(shed_priority)
        self._weights.add(shed_priority // identity.WEIGHT_STEP)
        self.effect_delay_ms += ROOT_AGE_WEIGHT * (
            root_age_ms - self.effect_delay_ms
        )

    def raise_by(
        self, excess_share: float, unshed_wait: bool, now_ms: float
    ) -> None:
        """Raises the threshold after a window with overload.

        A weight is shed only once shedding all lower ones has taken effect and
        its own runs still have to wait.

        Args:
          excess_share: Share of the arrived runs that cannot be served.
          unshed_wait: Whether runs of requests that the threshold does not shed
            wait too long.
          now_ms: Current time.
        """
        ceiling = self._weight_end(self.value)
        if self.value == ceiling:
            if not (unshed_wait and self._has_effect(now_ms)):
                self._threshold.hold()
                return
            ceiling = self._weight_end(self.value + 1)
        self._threshold.raise_by(excess_share * CORRECTION_SHARE, ceiling)
        self._changed_ms = now_ms

    def hold(self) -> None:
        """Keeps the threshold after a window at full capacity."""
        self._threshold.hold()

    def lower(self, free_share: float, now_ms: float) -> None:
        """Lowers the threshold after a window with free capacity.

        Not before the requests that the last change has let in have arrived:
        until then the target looks idle, and a lower threshold would let in
        more than it can serve.

        Args:
          free_share: Share of the limit that was unused.
          now_ms: Current time.
        """
        if not self._has_effect(now_ms):
            return
        self._changed_ms = now_ms
        step_min = 0
        if free_share > RECOVERED_FREE_SHARE:
            step_min = int(identity.WEIGHT_STEP * free_share)
        self._skip_unused_weights()
        self._threshold.lower(free_share, step_min)
        self._skip_unused_weights()

    def _has_effect(self, now_ms: float) -> bool:
        return now_ms - self._changed_ms >= self.effect_delay_ms

    def _weight_end(self, threshold: int) -> int | None:
        """Returns the end of the highest weight that a threshold sheds.

        If the threshold is between the weights in use, this is the end of the
        next higher one; None if there is none.
        """
        weight = (threshold - 1) // identity.WEIGHT_STEP
        higher = [known for known in self._weights if known >= weight]
        if not higher:
            return None
        return (min(higher) + 1) * identity.WEIGHT_STEP

    def _skip_unused_weights(self) -> None:
        """Moves the threshold down past weights that no request has.

        Lowering it there step by step would let in nothing meanwhile.
        """
        weight = (self.value - 1) // identity.WEIGHT_STEP
        lower = [known for known in self._weights if known < weight]
        if lower and weight not in self._weights:
            self._threshold.limit_to((max(lower) + 1) * identity.WEIGHT_STEP)
