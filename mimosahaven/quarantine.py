"""Quarantine of requests that crash targets.

A strike records that a request, identified by the fingerprint of its content,
was in flight when a target crashed.
"""

import collections
import dataclasses
import enum

from mimosahaven import messages
from mimosahaven import settings as settings_lib
from mimosahaven import status as status_lib


class QuarantineDecision(enum.Enum):
    """Whether a call with a given fingerprint may run now.

    Attributes:
      ALLOW: It may run.
      ALLOW_ALONE: It may run as the only suspect in flight.
      BUSY: It must wait until another suspect in flight has ended.
      REFUSE: The fingerprint is quarantined.
    """

    ALLOW = "allow"
    ALLOW_ALONE = "allow-alone"
    BUSY = "busy"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class _FingerprintHistory:
    """Crashes of targets that were running calls with one fingerprint.

    Attributes:
      crashes: Crashes since the last success, by crash id. The value is True
        if the fingerprint was the only suspect in flight.
      cleared: Ids of the crashes before the last success, which are ignored.
      quarantined_until_ms: End of the quarantine.
      suspect_until_ms: Time until which the crashes count.
      expires_ms: Time until which duplicate strikes must be recognized.
    """

    crashes: dict[str, bool] = dataclasses.field(default_factory=dict)
    cleared: set[str] = dataclasses.field(default_factory=set)
    quarantined_until_ms: float = float("-inf")
    suspect_until_ms: float = float("-inf")
    expires_ms: float = float("-inf")

    def is_suspect(self, now_ms: float) -> bool:
        return bool(self.crashes) and now_ms < self.suspect_until_ms


@dataclasses.dataclass(slots=True)
class _InFlightCalls:
    """In-flight calls with one fingerprint.

    Attributes:
      count: Number of calls.
      alone: Whether the last of them was started as the only suspect.
    """

    count: int = 0
    alone: bool = False


class Quarantine:
    """Quarantines requests that crash targets of one service.

    A fingerprint that was in flight at a crash is suspect, and the guard of a
    target runs one suspect at a time. A fingerprint with two crashes is
    quarantined if it was the only suspect in flight at one of them. A success
    at any daemon shows that the fingerprint does not crash its target, and
    clears it even while it is quarantined.

    A target can also crash for another reason while a harmless suspect is the
    only one in flight. Therefore, after a success of a fingerprint at this
    daemon, the strike of its next crash within success_ms is not marked as
    alone.
    """

    def __init__(
        self, settings: settings_lib.Settings, target: str, incarnation: str
    ):
        self._settings = settings.quarantine
        self._enabled = settings.mechanisms.quarantine
        self._crash_prefix = f"{target}.{incarnation}"
        self._crash_count = 0
        # Ordered by the last strike and the last success, oldest first.
        self._histories: collections.OrderedDict[str, _FingerprintHistory] = (
            collections.OrderedDict()
        )
        self._last_success_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._in_flight: dict[str, _InFlightCalls] = {}

    def __len__(self) -> int:
        return len(self._histories)

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether a fingerprint is quarantined."""
        history = self._histories.get(fingerprint)
        return history is not None and now_ms < history.quarantined_until_ms

    def admit(self, fingerprint: str, now_ms: float) -> QuarantineDecision:
        """Decides whether a call may run.

        If it runs, record_start() must be called without an await in between;
        after an await, the call must be admitted again.
        """
        if self.is_quarantined(fingerprint, now_ms):
            return QuarantineDecision.REFUSE
        if not self._is_suspect(fingerprint, now_ms):
            return QuarantineDecision.ALLOW
        # This includes calls that became suspect after they had started.
        if any(self._is_suspect(other, now_ms) for other in self._in_flight):
            return QuarantineDecision.BUSY
        return QuarantineDecision.ALLOW_ALONE

    def record_start(self, fingerprint: str, now_ms: float) -> None:
        """Records that a call is dispatched to the target."""
        calls = self._in_flight.setdefault(fingerprint, _InFlightCalls())
        calls.count += 1
        calls.alone = self._is_suspect(fingerprint, now_ms)

    def record_success(
        self, fingerprint: str, now_ms: float
    ) -> messages.Clear | None:
        """Records a complete response of the target, whatever its status.

        Returns:
          The message to publish if the fingerprint was suspect or quarantined,
          otherwise None.
        """
        self.record_end(fingerprint)
        if not self._enabled:
            return None
        self._last_success_ms[fingerprint] = now_ms
        self._last_success_ms.move_to_end(fingerprint)
        if len(self._last_success_ms) > self._settings.successes_max:
            self._last_success_ms.popitem(last=False)
        if not self._is_suspect(fingerprint, now_ms):
            return None
        clear = messages.Clear(fingerprint)
        self.record_clear(clear)
        return clear

    def record_end(self, fingerprint: str) -> None:
        """Records the end of a call without a complete response."""
        calls = self._in_flight.get(fingerprint)
        if calls is not None:
            calls.count -= 1
            if not calls.count:
                del self._in_flight[fingerprint]

    def record_crash(self, now_ms: float) -> list[messages.Strike]:
        """Records a crash of the target, which ended all in-flight calls.

        Returns:
          The strikes to publish, which are already recorded here.
        """
        in_flight, self._in_flight = self._in_flight, {}
        if not self._enabled:
            return []
        self._crash_count += 1
        crash_id = f"{self._crash_prefix}.{self._crash_count}"
        strikes = [
            messages.Strike(
                fingerprint,
                crash_id,
                calls.alone
                and not self._consume_recent_success(fingerprint, now_ms),
            )
            for fingerprint, calls in in_flight.items()
        ]
        for strike in strikes:
            self.record_strike(strike, now_ms)
        return strikes

    def record_strike(self, strike: messages.Strike, now_ms: float) -> bool:
        """Records a strike; returns whether it was new.

        Strikes can arrive in any order, and duplicates are ignored.
        """
        if not self._enabled:
            return False
        self.sweep(now_ms)
        history = self._histories.setdefault(
            strike.fingerprint, _FingerprintHistory()
        )
        self._histories.move_to_end(strike.fingerprint)
        history.expires_ms = now_ms + self._settings.hold_ms
        history.expires_ms += self._settings.suspect_ms
        if (
            strike.crash_id in history.crashes
            or strike.crash_id in history.cleared
        ):
            return False
        history.crashes[strike.crash_id] = strike.alone
        history.suspect_until_ms = now_ms + self._settings.suspect_ms
        if len(history.crashes) >= 2 and any(history.crashes.values()):
            history.quarantined_until_ms = now_ms + self._settings.hold_ms
            history.suspect_until_ms += self._settings.hold_ms
        return True

    def record_clear(self, clear: messages.Clear) -> bool:
        """Records a success; returns whether it cleared any crashes."""
        history = self._histories.get(clear.fingerprint)
        if history is None or not history.crashes:
            return False
        history.cleared.update(history.crashes)
        history.crashes.clear()
        history.quarantined_until_ms = float("-inf")
        return True

    def active_strikes(
        self, now_ms: float, count_max: int
    ) -> list[messages.Strike]:
        """Returns the strikes of current suspects, newest first, for gossip.

        Gossip also reaches daemons that were disconnected or not yet started
        when the strikes were published.
        """
        strikes: list[messages.Strike] = []
        for fingerprint, history in reversed(self._histories.items()):
            if len(strikes) >= count_max:
                break
            if history.is_suspect(now_ms):
                strikes += [
                    messages.Strike(fingerprint, crash_id, alone)
                    for crash_id, alone in history.crashes.items()
                ]
        return strikes[:count_max]

    def statuses(self, now_ms: float) -> list[status_lib.QuarantineStatus]:
        """Returns the suspect and quarantined fingerprints."""
        return [
            status_lib.QuarantineStatus(
                fingerprint=fingerprint,
                strikes=len(history.crashes),
                held=now_ms < history.quarantined_until_ms,
                remaining_ms=max(
                    history.quarantined_until_ms, history.suspect_until_ms
                )
                - now_ms,
            )
            for fingerprint, history in self._histories.items()
            if history.is_suspect(now_ms)
        ]

    def sweep(self, now_ms: float) -> None:
        """Drops expired histories, and the oldest to make room for another."""
        while self._histories:
            history = next(iter(self._histories.values()))
            is_full = len(self._histories) >= self._settings.cases_max
            if now_ms < history.expires_ms and not is_full:
                return
            self._histories.popitem(last=False)

    def _is_suspect(self, fingerprint: str, now_ms: float) -> bool:
        history = self._histories.get(fingerprint)
        return history is not None and history.is_suspect(now_ms)

    def _consume_recent_success(self, fingerprint: str, now_ms: float) -> bool:
        """Forgets the last success; returns whether it was recent."""
        last_success_ms = self._last_success_ms.pop(fingerprint, float("-inf"))
        return now_ms - last_success_ms <= self._settings.success_ms
