"""Requests that crash targets: strikes, suspects and quarantine."""

import collections
import dataclasses
import enum

from mimosahaven import messages
from mimosahaven import settings as settings_lib
from mimosahaven import status as status_lib


class QuarantineDecision(enum.Enum):
    """Whether a call with some fingerprint may run now."""

    ALLOW = "allow"
    ALLOW_ALONE = "allow-alone"
    BUSY = "busy"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class _Case:
    """What is known about one fingerprint.

    Attributes:
      crashes: Crashes since the last success, by identity; True for one in
        which it ran as the only suspect.
      cleared: Crashes before the last success; they do not count again.
      held_until_ms: End of the quarantine.
      suspect_until_ms: Time until which its crashes count.
      forget_ms: Time until which repeated strikes must be recognised.
    """

    crashes: dict[str, bool] = dataclasses.field(default_factory=dict)
    cleared: set[str] = dataclasses.field(default_factory=set)
    held_until_ms: float = float("-inf")
    suspect_until_ms: float = float("-inf")
    forget_ms: float = float("-inf")

    def is_suspect(self, now_ms: float) -> bool:
        return bool(self.crashes) and now_ms < self.suspect_until_ms


@dataclasses.dataclass(slots=True)
class _Flight:
    """Calls of one fingerprint that the target is running.

    Attributes:
      alone: Whether it started as the only suspect.
    """

    count: int = 0
    alone: bool = False


class Quarantine:
    """Holds back requests that crash targets of one service.

    A fingerprint that was in flight at a crash is suspect, and a guard runs
    one suspect at a time. A suspect that is in flight as the only one at a
    second crash is held. A success anywhere shows that the fingerprint does
    not crash its target, and clears it even while it is held.

    A target can also crash for another reason while an innocent suspect runs
    alone. A fingerprint that succeeded here within success_ms is therefore
    not reported as alone, once for each success.
    """

    def __init__(
        self, settings: settings_lib.Settings, target: str, incarnation: str
    ):
        self._settings = settings.quarantine
        self._enabled = settings.mechanisms.quarantine
        self._crash_prefix = f"{target}.{incarnation}"
        self._crash_count = 0
        # Both in the order of the last change, oldest first.
        self._cases: collections.OrderedDict[str, _Case] = (
            collections.OrderedDict()
        )
        self._succeeded_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._flights: dict[str, _Flight] = {}

    def __len__(self) -> int:
        return len(self._cases)

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether a fingerprint is quarantined."""
        case = self._cases.get(fingerprint)
        return case is not None and now_ms < case.held_until_ms

    def admit(self, fingerprint: str, now_ms: float) -> QuarantineDecision:
        """Decides about a call; start() must follow at once if it runs.

        A call that waits after its admittance asks again before it runs.
        """
        if self.is_quarantined(fingerprint, now_ms):
            return QuarantineDecision.REFUSE
        if not self._is_suspect(fingerprint, now_ms):
            return QuarantineDecision.ALLOW
        # Calls that became suspect after they had started count as well.
        if any(self._is_suspect(other, now_ms) for other in self._flights):
            return QuarantineDecision.BUSY
        return QuarantineDecision.ALLOW_ALONE

    def record_start(self, fingerprint: str, now_ms: float) -> None:
        """Takes in that a call is dispatched to the target."""
        flight = self._flights.setdefault(fingerprint, _Flight())
        flight.count += 1
        flight.alone = self._is_suspect(fingerprint, now_ms)

    def record_success(
        self, fingerprint: str, now_ms: float
    ) -> messages.Clear | None:
        """Takes in a complete answer of the target, whatever its status.

        Returns:
          The message to publish, if the fingerprint was suspect or held.
        """
        self.record_end(fingerprint)
        if not self._enabled:
            return None
        self._succeeded_ms[fingerprint] = now_ms
        self._succeeded_ms.move_to_end(fingerprint)
        if len(self._succeeded_ms) > self._settings.successes_max:
            self._succeeded_ms.popitem(last=False)
        if not self._is_suspect(fingerprint, now_ms):
            return None
        clear = messages.Clear(fingerprint)
        self.record_clear(clear)
        return clear

    def record_end(self, fingerprint: str) -> None:
        """Takes in the end of a call without a complete answer."""
        flight = self._flights.get(fingerprint)
        if flight is not None:
            flight.count -= 1
            if not flight.count:
                del self._flights[fingerprint]

    def record_crash(self, now_ms: float) -> list[messages.Strike]:
        """Takes in that the target went down with the calls in flight.

        Returns:
          The strikes to publish; they have been taken in here.
        """
        flights, self._flights = self._flights, {}
        if not self._enabled:
            return []
        self._crash_count += 1
        crash_id = f"{self._crash_prefix}.{self._crash_count}"
        strikes = [
            messages.Strike(
                fingerprint,
                crash_id,
                flight.alone and not self._use_success(fingerprint, now_ms),
            )
            for fingerprint, flight in flights.items()
        ]
        for strike in strikes:
            self.record_strike(strike, now_ms)
        return strikes

    def record_strike(self, strike: messages.Strike, now_ms: float) -> bool:
        """Takes in a strike; returns whether it was new.

        The order in which strikes arrive does not matter, and a crash counts
        once however often its strike is heard of.
        """
        if not self._enabled:
            return False
        self.sweep(now_ms)
        case = self._cases.setdefault(strike.fingerprint, _Case())
        self._cases.move_to_end(strike.fingerprint)
        case.forget_ms = now_ms + self._settings.hold_ms
        case.forget_ms += self._settings.suspect_ms
        if strike.crash_id in case.crashes or strike.crash_id in case.cleared:
            return False
        case.crashes[strike.crash_id] = strike.alone
        case.suspect_until_ms = now_ms + self._settings.suspect_ms
        if len(case.crashes) >= 2 and any(case.crashes.values()):
            case.held_until_ms = now_ms + self._settings.hold_ms
            case.suspect_until_ms += self._settings.hold_ms
        return True

    def record_clear(self, clear: messages.Clear) -> bool:
        """Takes in a success elsewhere; returns whether it changed a case."""
        case = self._cases.get(clear.fingerprint)
        if case is None or not case.crashes:
            return False
        case.cleared.update(case.crashes)
        case.crashes.clear()
        case.held_until_ms = float("-inf")
        return True

    def active_strikes(
        self, now_ms: float, count_max: int
    ) -> list[messages.Strike]:
        """Returns strikes that count, newest cases first, for gossip.

        They also reach daemons that were cut off or not yet started when the
        strikes were published.
        """
        strikes: list[messages.Strike] = []
        for fingerprint, case in reversed(self._cases.items()):
            if len(strikes) >= count_max:
                break
            if case.is_suspect(now_ms):
                strikes += [
                    messages.Strike(fingerprint, crash_id, alone)
                    for crash_id, alone in case.crashes.items()
                ]
        return strikes[:count_max]

    def statuses(self, now_ms: float) -> list[status_lib.QuarantineStatus]:
        """Returns the fingerprints that are suspect or held."""
        return [
            status_lib.QuarantineStatus(
                fingerprint=fingerprint,
                strikes=len(case.crashes),
                held=now_ms < case.held_until_ms,
                remaining_ms=max(case.held_until_ms, case.suspect_until_ms)
                - now_ms,
            )
            for fingerprint, case in self._cases.items()
            if case.is_suspect(now_ms)
        ]

    def sweep(self, now_ms: float) -> None:
        """Forgets expired cases, and the oldest ones beyond the bound."""
        while self._cases:
            case = next(iter(self._cases.values()))
            full = len(self._cases) >= self._settings.cases_max
            if now_ms < case.forget_ms and not full:
                return
            self._cases.popitem(last=False)

    def _is_suspect(self, fingerprint: str, now_ms: float) -> bool:
        case = self._cases.get(fingerprint)
        return case is not None and case.is_suspect(now_ms)

    def _use_success(self, fingerprint: str, now_ms: float) -> bool:
        succeeded_ms = self._succeeded_ms.pop(fingerprint, float("-inf"))
        return now_ms - succeeded_ms <= self._settings.success_ms
