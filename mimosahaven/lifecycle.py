"""State of the daemon and what it refuses because of it."""

import enum

from mimosahaven import codes
from mimosahaven import pause as pause_lib
from mimosahaven import settings as settings_lib

Code = codes.Code


class State(enum.Enum):
    """States of a daemon."""

    STARTING = "starting"
    READY = "ready"
    RESUMING = "resuming"
    LEAVING = "leaving"


class Lifecycle:
    """Tells whether the daemon takes new work.

    Attributes:
      pause: Detects pauses of the process.
    """

    def __init__(self, settings: settings_lib.Settings):
        self.pause = pause_lib.PauseDetector(settings)
        self._drain = settings.mechanisms.drain
        self._ready = False
        self._leaving = False
        self._listed_leaving = False

    @property
    def ready(self) -> bool:
        """Whether the start has ended."""
        return self._ready

    def mark_ready(self) -> None:
        """Ends the start."""
        self._ready = True

    def begin_leaving(self) -> None:
        """Begins to leave; there is no way back."""
        self._leaving = True

    def set_listed_leaving(self, listed_leaving: bool) -> None:
        """Takes in whether the platform lists the target as leaving."""
        self._listed_leaving = listed_leaving

    def state(self, now_ms: float) -> State:
        """Returns the present state."""
        if self._leaving or self._listed_leaving:
            return State.LEAVING
        if not self._ready:
            return State.STARTING
        if self.pause.state(now_ms) is pause_lib.State.RESUMING:
            return State.RESUMING
        return State.READY

    def request_refusal(self, now_ms: float) -> Code | None:
        """Returns why a request of a caller is refused, or None."""
        refused = self._refuse()
        if refused is None and self.pause.refuses_http(now_ms):
            return Code.STALE_AFTER_PAUSE
        return refused

    def call_refusal(self, now_ms: float) -> Code | None:
        """Returns why a call of another daemon is refused, or None."""
        refused = self._refuse()
        if refused is None and self.pause.refuses_new_calls(now_ms):
            return Code.STALE_AFTER_PAUSE
        return refused

    def _refuse(self) -> Code | None:
        if (self._leaving or self._listed_leaving) and self._drain:
            return Code.LEAVING
        if not self._ready:
            return Code.STARTING
        return None
