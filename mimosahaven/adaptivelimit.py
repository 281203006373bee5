"""Base classes of the concurrency limit algorithms."""

import abc
import dataclasses
import enum
import math

from mimosahaven import settings as settings_lib

# Interval between two adaptations of the limit.
WINDOW_MS = 100.0
# Calls needed for a mean latency; the mean of fewer calls varies too much for
# two latencies to be compared.
LATENCY_SAMPLES_MIN = 50
# After a decrease, samples are ignored for this multiple of the mean latency,
# at most for SETTLE_MAX_MS, so that the limit can grow again after long calls.
SETTLE_LATENCY_FACTOR = 2.0
SETTLE_MAX_MS = 1_000.0
# This many lost calls in a row, with no other outcome between them, show that
# the target has stopped and will be cold when it returns.
CONSECUTIVE_LOST_MIN = 3
# If the target refuses more than this share of the calls of a window, the limit
# falls to REFUSED_FACTOR of the highest concurrency in the window.
REFUSED_SHARE_MAX = 0.02
REFUSED_FACTOR = 0.85
# If more than this share of at least TIMEOUT_SAMPLES_MIN calls time out, the
# limit is multiplied by TIMEOUT_FACTOR.
TIMEOUT_SAMPLES_MIN = 10
TIMEOUT_SHARE_MAX = 0.5
TIMEOUT_FACTOR = 0.7
# Initial and maximum increase of the limit per window, as shares of the slots.
# The increase doubles in each window without congestion, so that the limit
# rises from 1 to all slots in about 1.4 s. After a decrease of the limit, it
# starts again at the initial share.
GROWTH_SHARE_MIN = 0.01
GROWTH_SHARE_MAX = 0.1


class Outcome(enum.Enum):
    """How an admitted call ended.

    Attributes:
      OK: The target sent a complete response.
      ERROR: The target sent a server error, or the call was not sent.
      REFUSED: The target sent a status that means "not run".
      TIMEOUT: The deadline passed before the response was complete.
      LOST: The connection failed or broke.
    """

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST = "lost"


class LimitAlgorithm(abc.ABC):
    """Computes how many calls may run concurrently on the local target."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.admission
        self._slots = settings.target.slots

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """The concurrency limit, from 1 to the slots of the target."""

    @abc.abstractmethod
    def record_end(
        self, outcome: Outcome, service_ms: float, running: int, now_ms: float
    ) -> None:
        """Records the end of a call.

        Args:
          outcome: How the call ended.
          service_ms: Time that the call ran on the target.
          running: Number of calls that were running, including this one.
          now_ms: Current time.
        """

    @abc.abstractmethod
    def tick(self, running: int, now_ms: float) -> None:
        """Adapts the limit if a window has ended."""


@dataclasses.dataclass
class Window:
    """Counts of the calls in one window.

    Attributes:
      total: Calls that ended.
      refused: Calls that the target refused.
      running_max: Largest number of calls seen running at once.
    """

    total: int = 0
    refused: int = 0
    running_max: int = 0


class AdaptiveLimit(LimitAlgorithm):
    """Limit adapted to refusals, timeouts and latency, with slow start.

    A subclass evaluates the latency. Refusals can lower the limit to 1, because
    they cost little and show that the target itself is full. Latency and
    timeouts can be caused by a downstream service; they lower the limit no
    further than the cold limit, at which a cold target starts.
    """

    def __init__(self, settings: settings_lib.Settings):
        super().__init__(settings)
        self._cold_limit = max(
            1.0, self._slots * self._settings.cold_limit_share
        )
        self._exact_limit = self._cold_limit
        self._growth = self._slots * GROWTH_SHARE_MIN
        self._window = Window()
        self._window_end_ms: float | None = None
        self._slow_start_from_ms: float | None = None
        self._consecutive_lost = 0
        self._sampling_from_ms = -math.inf
        self._latency_log_sum = 0.0
        self._latency_count = 0
        self._timeouts = 0
        self._decreased_by_timeouts = False
        self._last_mean_ms = 0.0

    @property
    def limit(self) -> int:
        """The current limit, rounded down."""
        return max(1, int(self._exact_limit))

    def record_end(
        self, outcome: Outcome, service_ms: float, running: int, now_ms: float
    ) -> None:
        """Records the end of a call; running includes this one."""
        window = self._window
        window.total += 1
        if running > window.running_max:
            window.running_max = running
        if outcome is Outcome.LOST:
            self._record_lost()
            return
        self._consecutive_lost = 0
        if outcome is Outcome.OK or outcome is Outcome.TIMEOUT:
            if self._slow_start_from_ms is None:
                self._slow_start_from_ms = now_ms
            if now_ms >= self._sampling_from_ms:
                # The geometric mean is less sensitive than the arithmetic one
                # to a changing share of a few slow kinds of request.
                self._latency_log_sum += math.log(max(service_ms, 0.01))
                self._latency_count += 1
                self._timeouts += outcome is Outcome.TIMEOUT
        elif outcome is Outcome.REFUSED:
            window.refused += 1

    def tick(self, running: int, now_ms: float) -> None:
        """Adapts the limit if a window has ended."""
        if self._window_end_ms is None:
            self._window_end_ms = now_ms + WINDOW_MS
        if now_ms < self._window_end_ms:
            return
        self._window_end_ms = now_ms + WINDOW_MS
        window, self._window = self._window, Window()
        window.running_max = max(window.running_max, running)
        if self._evaluate_window(window, now_ms):
            return
        # A window in which calls run but none ends does not show whether the
        # target is congested.
        if not self.may_grow(window) or (running and not window.total):
            return
        # After a decrease due to timeouts, the limit does not grow until
        # samples count again.
        if self._decreased_by_timeouts and now_ms < self._sampling_from_ms:
            return
        self._decreased_by_timeouts = False
        self._grow(now_ms)

    def _record_lost(self) -> None:
        self._consecutive_lost += 1
        if self._consecutive_lost >= CONSECUTIVE_LOST_MIN:
            self._exact_limit = min(self._exact_limit, self._cold_limit)
            self._slow_start_from_ms = None

    def _evaluate_window(self, window: Window, now_ms: float) -> bool:
        """Adapts to a window; returns whether it shows congestion."""
        if window.refused > REFUSED_SHARE_MAX * window.total:
            concurrency = max(1.0, min(self._exact_limit, window.running_max))
            self.decrease(concurrency * REFUSED_FACTOR, 1.0, now_ms)
            return True
        count = self._latency_count
        if count < TIMEOUT_SAMPLES_MIN:
            return False
        mean_ms = math.exp(self._latency_log_sum / count)
        if self._timeouts > TIMEOUT_SHARE_MAX * count:
            self._last_mean_ms = mean_ms
            self.decrease(
                self._exact_limit * TIMEOUT_FACTOR, self._cold_limit, now_ms
            )
            self._decreased_by_timeouts = True
            return True
        if count < LATENCY_SAMPLES_MIN:
            return False
        self._last_mean_ms = mean_ms
        self._clear_samples()
        return self.evaluate_latency(mean_ms, window.running_max, now_ms)

    @abc.abstractmethod
    def evaluate_latency(
        self, mean_ms: float, running_max: int, now_ms: float
    ) -> bool:
        """Adapts to a mean latency; returns whether it shows congestion.

        The mean is that of the calls since the last evaluation or decrease.
        """

    def may_grow(self, window: Window) -> bool:
        """Returns whether the limit may grow after an uncongested window."""
        del window
        return True

    def decrease(self, limit: float, floor: float, now_ms: float) -> None:
        """Lowers the limit, but not below the floor, and restarts the sampling.

        The floor is 1 for refusals and the cold limit for latency and timeouts.
        """
        self._exact_limit = max(min(floor, self._exact_limit), limit)
        self._growth = self._slots * GROWTH_SHARE_MIN
        # Calls that started before the decrease do not show its effect.
        # Ignoring them individually would bias the mean towards short calls,
        # so all samples are ignored until most of the older calls have ended.
        self._sampling_from_ms = now_ms + min(
            SETTLE_MAX_MS, SETTLE_LATENCY_FACTOR * self._last_mean_ms
        )
        self._clear_samples()

    def _clear_samples(self) -> None:
        self._latency_log_sum = 0.0
        self._latency_count = self._timeouts = 0

    def _grow(self, now_ms: float) -> None:
        self._exact_limit = min(
            self._exact_limit + self._growth, self._slow_start_limit(now_ms)
        )
        self._growth = min(self._growth * 2, self._slots * GROWTH_SHARE_MAX)

    def _slow_start_limit(self, now_ms: float) -> float:
        """Returns the upper bound that slow start sets on the limit.

        It is the cold limit until the first OK or TIMEOUT outcome after a start
        of the target, and then rises linearly to all slots within
        slow_start_ms.
        """
        if self._slow_start_from_ms is None:
            return self._cold_limit
        elapsed_share = (
            now_ms - self._slow_start_from_ms
        ) / self._settings.slow_start_ms
        cold_share = self._settings.cold_limit_share
        slow_start_limit = self._slots * (
            cold_share + (1 - cold_share) * elapsed_share
        )
        return min(float(self._slots), max(self._cold_limit, slow_start_limit))
