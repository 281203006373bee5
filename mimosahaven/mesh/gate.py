"""Queue in front of the local target: who runs next, and who is refused.

Answers the pattern "a deep service is full": calls wait here, most important
first, and not inside the target, where their order is lost and where some
targets never answer what they cannot queue. Among equals, the call of the
oldest root request goes first: most work has been done for it, and the place
of a request among those of its rank only decides whether it is let in.
"""

import dataclasses
import math

from mimosahaven import admissionqueue
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import loadstats
from mimosahaven import shedding

Code = codes.Code

# Targets may slow down when nearly all slots are taken; one free slot in
# twenty avoids this and costs as much capacity.
FILL_SHARE = 0.95
# A mean time of runs is told for this long after the last of them.
MEAN_KEEP_MS = 600.0
# Load is judged over this time; the times of a run vary too much for less.
WINDOW_MS = 150.0
# A target at which calls wait longer than this is overloaded. A request makes
# several calls one after another, and its objective is some hundred ms.
WAIT_TARGET_MS = 25.0
# Below this use of the limit, the target has room for more.
FREE_SHARE = 0.9
# With more than this free, the cause of the overload has ended: the threshold
# falls by up to one unit of weight in each window. What it lets in step by step
# would leave a target that is fast again half idle for seconds.
IDLE_SHARE = 0.3
# Part of the excess that one window removes. What was let in before reaches
# the target for some windows more, so that a full correction overshoots.
CORRECTION_SHARE = 0.6
# Older than any request; one unit of weight outranks all ages.
ROOT_AGE_MAX_MS = 1e9
# The queue holds this many times the limit; beyond it the lowest priority
# leaves. Its wait stays below the deadlines of deep calls (0.7 s).
QUEUE_FACTOR = 3.0


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A run that wants to start.

    Attributes:
      shed_priority: Shedding priority of the root request.
      deadline_ms: Time at which the run must have ended.
      root_ms: When the root request began.
      priority: Place in the queue; higher goes first.
      important: Unused by this gate: the priority alone decides.
    """

    shed_priority: int
    deadline_ms: float
    root_ms: float
    priority: float = 0.0
    important: bool = False

    def __post_init__(self):
        weight = self.shed_priority // identity.WEIGHT_STEP
        self.priority = weight * ROOT_AGE_MAX_MS - self.root_ms


@dataclasses.dataclass
class Verdicts:
    """Runs that start now, and runs that are refused with a code."""

    run: list[Ticket] = dataclasses.field(default_factory=list)
    refused: list[tuple[Ticket, Code]] = dataclasses.field(default_factory=list)


class Gate:
    """Admits runs to the local target.

    Attributes:
      running: Runs at the target.
    """

    def __init__(self, slots: int, now_ms: float):
        self.running = 0
        self._queue = admissionqueue.AdmissionQueue()
        self._service = loadstats.ServiceTimeEstimate()
        self._threshold = shedding.ShedThreshold()
        self._window = loadstats.LoadWindow(now_ms)
        self._seen_ms = now_ms
        self._finished_ms = now_ms
        self.set_slots(slots)

    def set_slots(self, slots: int) -> None:
        """Takes in how many requests the target processes at a time."""
        self.slots = slots
        self.limit = max(1, math.floor(slots * FILL_SHARE))

    @property
    def waiting(self) -> int:
        """Runs that wait."""
        return len(self._queue)

    @property
    def mean_ms(self) -> float:
        """Mean time of a run; 0 when none has ended lately.

        An old mean would keep work away from an idle target for ever: only new
        work could show that it is no longer slow.
        """
        if self._seen_ms - self._finished_ms > MEAN_KEEP_MS:
            return 0.0
        return self._service.mean_ms

    @property
    def threshold(self) -> int:
        """Priority below which callers should not send new requests."""
        return self._threshold.value

    def offer(self, ticket: Ticket, now_ms: float) -> Verdicts:
        """Takes in a new run and returns the decisions that are due."""
        verdicts = Verdicts()
        self._advance(now_ms)
        # A call that comes too late says nothing of the load here, and must not
        # raise the threshold.
        if ticket.deadline_ms - now_ms <= self._service.expected_ms:
            verdicts.refused.append((ticket, Code.DEADLINE_BEFORE_RUN))
            return verdicts
        self._threshold.record(ticket.shed_priority)
        self._window.admitted += 1
        self._queue.add(ticket)
        self._settle(verdicts, now_ms, ticket)
        return verdicts

    def finish(self, service_ms: float | None, now_ms: float) -> Verdicts:
        """Takes in the end of a run.

        Args:
          service_ms: Time that it ran; None when the time says nothing of
            the target (refused by it, or given up).
          now_ms: Present time.
        """
        self._advance(now_ms)
        self.running -= 1
        self._window.finished += 1
        if service_ms is not None:
            self._service.update(service_ms)
            self._finished_ms = now_ms
        verdicts = Verdicts()
        self._settle(verdicts, now_ms)
        return verdicts

    def withdraw(self, ticket: Ticket, now_ms: float) -> None:
        """Drops a waiting run that nobody wants any more."""
        self._advance(now_ms)
        self._queue.remove(ticket)

    def tick(self, now_ms: float) -> Verdicts:
        """Refuses what cannot end in time and judges the load."""
        self._advance(now_ms)
        verdicts = Verdicts()
        self._settle(verdicts, now_ms)
        return verdicts

    def _settle(
        self, verdicts: Verdicts, now_ms: float, new: Ticket | None = None
    ) -> None:
        queue = self._queue
        if not len(queue):
            return
        for ticket in queue.expired(now_ms + self._service.expected_ms):
            self._give_up(ticket, Code.DEADLINE_BEFORE_RUN, verdicts)
        while self.running < self.limit and len(queue):
            ticket = queue.peek_highest()
            queue.remove(ticket)
            self.running += 1
            self._window.started += 1
            verdicts.run.append(ticket)
        bound = math.ceil(self.limit * QUEUE_FACTOR)
        while len(queue) > bound:
            ticket = queue.peek_lowest()
            code = Code.QUEUE_FULL if ticket is new else Code.DISPLACED
            self._give_up(ticket, code, verdicts)

    def _give_up(self, ticket: Ticket, code: Code, verdicts: Verdicts) -> None:
        self._queue.remove(ticket)
        self._window.queue_refusals += 1
        verdicts.refused.append((ticket, code))

    def _advance(self, now_ms: float) -> None:
        window = self._window
        window.advance(
            max(0.0, now_ms - self._seen_ms),
            self.running,
            len(self._queue),
            0,
        )
        self._seen_ms = now_ms
        elapsed_ms = now_ms - window.start_ms
        if elapsed_ms >= WINDOW_MS:
            self._judge(window, elapsed_ms)
            self._window = loadstats.LoadWindow(now_ms)

    def _judge(self, window: loadstats.LoadWindow, elapsed_ms: float) -> None:
        if not window.finished:
            self._service.decay()
        waiting_mean = window.waiting_ms / elapsed_ms
        used = window.running_ms / elapsed_ms / self.limit
        # By Little's law, what waits on average is the rate times the wait.
        allowed = WAIT_TARGET_MS * max(1, window.served) / elapsed_ms
        if waiting_mean > allowed or window.queue_refusals:
            share = window.excess_share(waiting_mean - allowed)
            self._threshold.raise_by(share * CORRECTION_SHARE, None)
        elif used > FREE_SHARE:
            self._threshold.hold()
        else:
            free = max(0.0, 1.0 - used)
            step_min = 0
            if free > IDLE_SHARE:
                step_min = int(identity.WEIGHT_STEP * free)
            self._threshold.lower(free, step_min)
