"""How old and how fast the responses of the store are."""

from mimosahaven.mesh import settings as settings_lib

# A response may take this many times as long as the slowest recent one.
SLOWEST_FACTOR = 2.0
# Part of the slowest response time that is kept with each further response.
SLOWEST_DECAY = 0.9


class StoreContact:
    """Decides when the store is checked, and when a response is overdue.

    Args:
      settings: Intervals and timeouts.

    Attributes:
      response_ms: Time of the last response, or None.
    """

    def __init__(self, settings: settings_lib.StoreSettings):
        self._settings = settings
        self._slowest_ms = 0.0
        self.response_ms: float | None = None

    def record_response(self, took_ms: float, now_ms: float) -> None:
        """Records a response.

        Args:
          took_ms: Time from the request, less the time that it let the store
            wait for changes.
          now_ms: Current time.
        """
        self.response_ms = now_ms
        self._slowest_ms = max(took_ms, self._slowest_ms * SLOWEST_DECAY)

    def timeout_ms(self) -> float:
        """Returns the time after which a response is overdue."""
        settings = self._settings
        return min(
            settings.read_timeout_ms,
            max(
                settings.response_timeout_ms, self._slowest_ms * SLOWEST_FACTOR
            ),
        )

    def ms_until_check(self, now_ms: float) -> float:
        """Returns the time until the store has to be checked."""
        if self.response_ms is None:
            return 0.0
        due_ms = self.response_ms + self._settings.check_interval_ms
        return max(0.0, due_ms - now_ms)
