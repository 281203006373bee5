"""Admission control in front of the local target."""

import dataclasses
import enum

from mimosahaven import codes
from mimosahaven import settings as settings_lib


class Outcome(enum.Enum):
    """How an admitted call ended."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST = "lost"


@dataclasses.dataclass(eq=False)
class Ticket:
    """One call that asks for admission.

    Attributes:
      call_id: Identity of the call.
      priority: Shedding priority; higher is more important.
      important: Whether the call may use the reserve.
      deadline_ms: Deadline on the monotonic clock.
    """

    call_id: str
    priority: int
    important: bool
    deadline_ms: float


@dataclasses.dataclass
class Verdicts:
    """Decisions that have become due.

    Attributes:
      run: Tickets that may run now.
      refused: Tickets that will not run, each with the reason.
    """

    run: list[Ticket] = dataclasses.field(default_factory=list)
    refused: list[tuple[Ticket, codes.Code]] = dataclasses.field(
        default_factory=list
    )


class Admission:
    """Decides which calls run on the local target, and when."""

    def __init__(self, settings: settings_lib.Settings):
        self._slots = settings.target.slots
        self._running = 0

    def offer(self, ticket: Ticket, now_ms: float) -> Verdicts:
        """Takes in a new call and returns the decisions that are due."""
        del now_ms
        self._running += 1
        return Verdicts(run=[ticket])

    def finish(
        self,
        ticket: Ticket,
        outcome: Outcome,
        service_ms: float,
        now_ms: float,
    ) -> Verdicts:
        """Takes in the end of a running call."""
        del ticket, outcome, service_ms, now_ms
        self._running -= 1
        return Verdicts()

    def withdraw(self, ticket: Ticket, now_ms: float) -> Verdicts:
        """Drops a waiting call that nobody wants any more."""
        del ticket, now_ms
        return Verdicts()

    def tick(self, now_ms: float) -> Verdicts:
        """Drops what cannot finish in time and adapts the threshold."""
        del now_ms
        return Verdicts()

    def threshold(self, now_ms: float) -> int:
        """Returns the shed threshold: lower priorities are refused."""
        del now_ms
        return 0

    def load(self) -> float:
        """Returns running and waiting calls divided by the limit."""
        return self._running / self._slots
