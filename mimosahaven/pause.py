"""Detection of pauses of this process."""

import enum
import typing

if typing.TYPE_CHECKING:
    # Not imported at run time: the settings of the action mode take memory
    # that the mesh daemon does not need.
    from mimosahaven import settings as settings_lib


class State(enum.Enum):
    """Whether the table and the member list of the daemon are current.

    Attributes:
      RUNNING: They are current.
      RESUMING: They may be stale after a pause.
    """

    RUNNING = "running"
    RESUMING = "resuming"


class PauseDetector:
    """Detects that the process was suspended and its data may be stale.

    Attributes:
      pause_count: Number of pauses since the process started.
      last_gap_ms: Length of the last pause.
      resumed_ms: End of the last pause, or None.
    """

    def __init__(self, settings: "settings_lib.Settings"):
        self._settings = settings.pause
        self._enabled = settings.mechanisms.pause_detector
        self._last_check_ms: float | None = None
        self._stale = False
        self.pause_count = 0
        self.last_gap_ms = 0.0
        self.resumed_ms: float | None = None

    def check_for_pause(self, now_ms: float) -> bool:
        """Checks for a pause; to be called first in each event handler.

        A gap of more than `gap_ms` between two calls counts as a pause. A timer
        must call this every `tick_ms`, so that an idle daemon is not mistaken
        for a paused one.

        Returns:
          Whether a pause has just ended. The daemon then requests the current
          table and list versions from a peer or the platform.
        """
        previous_ms, self._last_check_ms = self._last_check_ms, now_ms
        if previous_ms is None or now_ms - previous_ms <= self._settings.gap_ms:
            return False
        if not self._enabled:
            return False
        self.pause_count += 1
        self.last_gap_ms = now_ms - previous_ms
        self.resumed_ms = now_ms
        self._stale = True
        return True

    def state(self, now_ms: float) -> State:
        """Returns the state.

        RESUMING ends with a refresh, or `refresh_wait_ms` after the pause.
        """
        if (
            self._stale
            and self._time_since_resume_ms(now_ms)
            < self._settings.refresh_wait_ms
        ):
            return State.RESUMING
        return State.RUNNING

    def refuses_new_requests(self, now_ms: float) -> bool:
        """Returns whether requests of callers are to be refused.

        Requests read within `backlog_ms` after a pause were sent during it. The
        caller may have abandoned them or sent them elsewhere since.
        """
        if self.resumed_ms is None:
            return False
        if self._time_since_resume_ms(now_ms) < self._settings.backlog_ms:
            return True
        return self.refuses_new_calls(now_ms)

    def refuses_new_calls(self, now_ms: float) -> bool:
        """Returns whether new calls of other daemons are to be refused."""
        return self.state(now_ms) is State.RESUMING

    def record_refresh(
        self, now_ms: float, requested_ms: float | None = None
    ) -> None:
        """Records that a peer or the platform has sent its current versions.

        Args:
          now_ms: Current time on the monotonic clock.
          requested_ms: Time of the request on the local clock, if known. A
            response to a request from before the pause is ignored.
        """
        del now_ms
        if (
            requested_ms is None
            or self._time_since_resume_ms(requested_ms) >= 0
        ):
            self._stale = False

    def _time_since_resume_ms(self, time_ms: float) -> float:
        return time_ms - (self.resumed_ms or 0.0)
