"""Detection of pauses of the own process."""

import enum

from mimosahaven import settings as settings_lib


class State(enum.Enum):
    """Whether the daemon may act on what it knows."""

    RUNNING = "running"
    RESUMING = "resuming"


class PauseDetector:
    """Tells when the process was stopped and its knowledge is stale.

    Attributes:
      pause_count: Number of pauses since the start.
      last_gap_ms: Length of the last pause.
      resumed_ms: End of the last pause, or None.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.pause
        self._enabled = settings.mechanisms.pause_detector
        self._seen_ms: float | None = None
        self._stale = False
        self.pause_count = 0
        self.last_gap_ms = 0.0
        self.resumed_ms: float | None = None

    def observe(self, now_ms: float) -> bool:
        """Takes in the present time at the top of an event handler.

        A timer must call this every `tick_ms`, so that an idle daemon is not
        taken for a paused one.

        Returns:
          Whether a pause has just ended. The caller then asks a peer or the
          platform for its versions.
        """
        seen_ms, self._seen_ms = self._seen_ms, now_ms
        if seen_ms is None or now_ms - seen_ms <= self._settings.gap_ms:
            return False
        if not self._enabled:
            return False
        self.pause_count += 1
        self.last_gap_ms = now_ms - seen_ms
        self.resumed_ms = now_ms
        self._stale = True
        return True

    def state(self, now_ms: float) -> State:
        """Returns the state; RESUMING ends after `refresh_wait_ms`."""
        if self._stale and self._since(now_ms) < self._settings.refresh_wait_ms:
            return State.RESUMING
        return State.RUNNING

    def refuses_http(self, now_ms: float) -> bool:
        """Returns whether requests of callers are refused.

        What is read at once after a pause was sent during it; the caller may
        have given up or sent it elsewhere since.
        """
        if self.resumed_ms is None:
            return False
        if self._since(now_ms) < self._settings.backlog_ms:
            return True
        return self.refuses_new_calls(now_ms)

    def refuses_new_calls(self, now_ms: float) -> bool:
        """Returns whether new calls of other daemons are refused."""
        return self.state(now_ms) is State.RESUMING

    def record_refresh(
        self, now_ms: float, asked_ms: float | None = None
    ) -> None:
        """Takes in that a peer or the platform has told its versions.

        Args:
          now_ms: Present time, monotonic.
          asked_ms: Time of the question on the own clock, if known. An
            answer to a question from before the pause proves nothing.
        """
        del now_ms
        if asked_ms is None or self._since(asked_ms) >= 0:
            self._stale = False

    def _since(self, now_ms: float) -> float:
        return now_ms - (self.resumed_ms or 0.0)
