"""Lifecycle state of the daemon and the refusals that follow from it."""

import enum

from mimosahaven import codes
from mimosahaven import pause as pause_lib
from mimosahaven import settings as settings_lib

Code = codes.Code


class State(enum.Enum):
    """States of a daemon.

    Attributes:
      STARTING: It waits for a table, a list of VMs or replies of peers.
      READY: It accepts work.
      RESUMING: It waits for current versions after a pause.
      LEAVING: It drains before a stop or on the platform's request.
    """

    STARTING = "starting"
    READY = "ready"
    RESUMING = "resuming"
    LEAVING = "leaving"


class Lifecycle:
    """Decides whether the daemon accepts new work.

    Attributes:
      pause_detector: Detects pauses of the process.
    """

    def __init__(self, settings: settings_lib.Settings):
        self.pause_detector = pause_lib.PauseDetector(settings)
        self._drain_enabled = settings.mechanisms.drain
        self._ready = False
        self._leaving = False
        self._listed_leaving = False

    @property
    def ready(self) -> bool:
        """Whether the daemon has finished starting."""
        return self._ready

    def mark_ready(self) -> None:
        """Marks the start as finished."""
        self._ready = True

    def begin_leaving(self) -> None:
        """Enters LEAVING, which is final."""
        self._leaving = True

    def set_listed_leaving(self, listed_leaving: bool) -> None:
        """Sets whether the platform lists the target as leaving."""
        self._listed_leaving = listed_leaving

    def state(self, now_ms: float) -> State:
        """Returns the current state."""
        if self._leaving or self._listed_leaving:
            return State.LEAVING
        if not self._ready:
            return State.STARTING
        if self.pause_detector.state(now_ms) is pause_lib.State.RESUMING:
            return State.RESUMING
        return State.READY

    def request_refusal(self, now_ms: float) -> Code | None:
        """Returns the code to refuse a caller's request with, or None."""
        refusal = self._state_refusal()
        if refusal is None and self.pause_detector.refuses_new_requests(now_ms):
            return Code.STALE_AFTER_PAUSE
        return refusal

    def call_refusal(self, now_ms: float) -> Code | None:
        """Returns the code to refuse another daemon's call with, or None."""
        refusal = self._state_refusal()
        if refusal is None and self.pause_detector.refuses_new_calls(now_ms):
            return Code.STALE_AFTER_PAUSE
        return refusal

    def _state_refusal(self) -> Code | None:
        if (self._leaving or self._listed_leaving) and self._drain_enabled:
            return Code.LEAVING
        if not self._ready:
            return Code.STARTING
        return None
