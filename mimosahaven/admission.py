"""Admission control in front of the local target."""

import dataclasses

from mimosahaven import admissionqueue
from mimosahaven import codes
from mimosahaven import concurrency
from mimosahaven import identity
from mimosahaven import loadstats
from mimosahaven import settings as settings_lib
from mimosahaven import shedding

# A window this many times too long spans a pause of the process and says
# nothing about the load.
PAUSE_WINDOWS = 5
# An overload is measured over at least this many admitted calls, or this many
# windows: the excess among a few calls is mostly chance.
ADMITTED_MIN = 30
EXTENDED_WINDOWS = 5
# Once the threshold is in force, the excess of one window is mostly chance.
# Correcting all of it makes the threshold oscillate and wastes capacity.
CORRECTION_SHARE = 0.2
# Share of a window that calls must have waited for to keep the threshold.
BUSY_SHARE = 0.5
# Weight of one window in the mean concurrency of important calls, which is
# thus a mean over about 1 s.
CONCURRENCY_SMOOTHING = 0.1

Code = codes.Code
Outcome = concurrency.Outcome


@dataclasses.dataclass(eq=False, slots=True)
class AdmissionRequest:
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


@dataclasses.dataclass(slots=True)
class AdmissionDecisions:
    """Decisions that have become due.

    Attributes:
      run: Tickets that may run now.
      refused: Tickets that will not run, each with the reason.
    """

    run: list[AdmissionRequest] = dataclasses.field(default_factory=list)
    refused: list[tuple[AdmissionRequest, Code]] = dataclasses.field(
        default_factory=list
    )


class AdmissionController:
    """Decides which calls run on the local target, and when."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.admission
        self._window_ms = settings.shedding.window_ms
        self._slots = settings.target.slots
        self._enabled = settings.mechanisms.admission
        self._has_reserve = settings.mechanisms.reserve
        self._algorithm = concurrency.create(settings)
        self._threshold = shedding.ShedThreshold()
        self._queue = admissionqueue.AdmissionQueue()
        self._running = 0
        self._ordinary_running = 0
        self._window: loadstats.LoadWindow | None = None
        self._seen_ms = 0.0
        self._judge_ms = 0.0
        self._important_mean = 0.0
        self._important_floor: int | None = None
        self._service = loadstats.ServiceTimeEstimate()

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._algorithm.limit if self._enabled else self._slots

    @property
    def running(self) -> int:
        """Calls that run on the target."""
        return self._running

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    def offer(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecisions:
        """Takes in a new call and returns the decisions that are due."""
        verdicts = AdmissionDecisions()
        if not self._enabled:
            self._running += 1
            verdicts.run.append(ticket)
            return verdicts
        self._advance(now_ms)
        self._learn_floor(ticket)
        if ticket.deadline_ms - now_ms < self._service.expected_ms:
            verdicts.refused.append((ticket, Code.DEADLINE_BEFORE_RUN))
        elif self._below_threshold(ticket):
            verdicts.refused.append((ticket, Code.SHED_AT_GUARD))
        else:
            self._threshold.record(ticket.priority)
            self._window.admitted += 1
            self._window.ordinary += not ticket.important
            self._queue.add(ticket)
        self._settle(verdicts, now_ms, ticket)
        return verdicts

    def finish(
        self,
        ticket: AdmissionRequest,
        outcome: Outcome,
        service_ms: float,
        now_ms: float,
    ) -> AdmissionDecisions:
        """Takes in the end of a running call.

        Args:
          ticket: The call, which an earlier verdict let run.
          outcome: How it ended.
          service_ms: Time that it ran on the target.
          now_ms: Present time.
        """
        verdicts = AdmissionDecisions()
        if not self._enabled:
            self._running -= 1
            return verdicts
        self._advance(now_ms)
        self._algorithm.finish(outcome, service_ms, self._running, now_ms)
        self._running -= 1
        self._ordinary_running -= not ticket.important
        self._window.finished += 1
        if outcome is Outcome.REFUSED:
            self._window.target_refusals += 1
        elif outcome is Outcome.OK or outcome is Outcome.TIMEOUT:
            self._service.update(service_ms)
        self._settle(verdicts, now_ms)
        return verdicts

    def cancel(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecisions:
        """Drops a waiting call that nobody wants any more.

        A ticket that is not waiting is ignored.
        """
        verdicts = AdmissionDecisions()
        if self._enabled:
            self._advance(now_ms)
            self._queue.remove(ticket)
            self._settle(verdicts, now_ms)
        return verdicts

    def tick(self, now_ms: float) -> AdmissionDecisions:
        """Drops what cannot finish in time and adapts limit and threshold."""
        verdicts = AdmissionDecisions()
        if self._enabled:
            self._advance(now_ms)
            self._algorithm.tick(self._running, now_ms)
            self._settle(verdicts, now_ms)
        return verdicts

    def threshold(self, now_ms: float) -> int:
        """Returns the shed threshold: lower priorities are refused."""
        del now_ms
        return self._threshold.value

    def load(self) -> float:
        """Returns running and waiting calls divided by the limit."""
        return (self._running + len(self._queue)) / self.limit

    def _settle(
        self,
        verdicts: AdmissionDecisions,
        now_ms: float,
        new: AdmissionRequest | None = None,
    ) -> None:
        """Takes all decisions on waiting calls that are due."""
        queue = self._queue
        if not len(queue):
            return
        for ticket in queue.expired(now_ms + self._service.expected_ms):
            self._give_up(ticket, Code.DEADLINE_BEFORE_RUN, verdicts)
        limit = self._algorithm.limit
        reserve = self._reserve_of(limit)
        while (ticket := queue.peek_highest()) is not None:
            if not self._has_room(ticket, limit, reserve):
                break
            queue.remove(ticket)
            self._running += 1
            self._ordinary_running += not ticket.important
            self._window.started += 1
            verdicts.run.append(ticket)
        bound = int(limit * self._settings.queue_factor)
        while len(queue) > bound:
            ticket = queue.peek_lowest()
            code = Code.QUEUE_FULL if ticket is new else Code.DISPLACED
            self._give_up(ticket, code, verdicts)

    def _reserve_of(self, limit: int) -> int:
        if not self._has_reserve or limit <= 1:
            return 0
        bound = int(limit * self._settings.reserve_share_max)
        return max(1, min(int(self._important_mean), bound))

    def _has_room(
        self, ticket: AdmissionRequest, limit: int, reserve: int
    ) -> bool:
        if ticket.important:
            # After a cut of the limit, less important calls may hold more
            # than the limit; the reserve remains usable within the slots.
            important = self._running - self._ordinary_running
            return self._running < limit or (
                self._running < self._slots
                and important < self._reserve_of(self._slots)
            )
        return (
            self._running < limit and self._ordinary_running < limit - reserve
        )

    def _give_up(
        self, ticket: AdmissionRequest, code: Code, verdicts: AdmissionDecisions
    ) -> None:
        self._queue.remove(ticket)
        self._window.queue_refusals += 1
        verdicts.refused.append((ticket, code))

    def _below_threshold(self, ticket: AdmissionRequest) -> bool:
        if ticket.priority >= self._threshold.value:
            return False
        if ticket.important and self._ordinary_present():
            self._threshold.limit_to(self._important_floor)
            return False
        return True

    def _ordinary_present(self) -> bool:
        return bool(self._ordinary_running or self._queue.ordinary_count)

    def _learn_floor(self, ticket: AdmissionRequest) -> None:
        """Learns the lowest priority that the important weights can have."""
        floor = self._important_floor
        if ticket.important:
            if floor is None or ticket.priority < floor:
                self._important_floor = (
                    ticket.priority - ticket.priority % identity.WEIGHT_STEP
                )
        elif floor is not None and ticket.priority >= floor:
            # The table has changed since.
            self._important_floor = None

    def _advance(self, now_ms: float) -> None:
        """Brings the integrals up to the present and ends a window."""
        window = self._window
        if window is None:
            window = self._window = loadstats.LoadWindow(now_ms)
            self._seen_ms = now_ms
            self._judge_ms = now_ms + self._window_ms
        passed_ms = now_ms - self._seen_ms
        self._seen_ms = now_ms
        queue = self._queue
        important = self._running - self._ordinary_running
        window.advance(
            passed_ms,
            self._running,
            len(queue),
            important + queue.important_count,
        )
        elapsed_ms = now_ms - window.start_ms
        if now_ms < self._judge_ms:
            return
        self._judge_ms = now_ms + self._window_ms
        if passed_ms > self._window_ms * PAUSE_WINDOWS:
            self._threshold.hold()
            self._window = loadstats.LoadWindow(now_ms)
        elif self._judge(window, elapsed_ms):
            self._window = loadstats.LoadWindow(now_ms)

    def _judge(self, window: loadstats.LoadWindow, elapsed_ms: float) -> bool:
        """Adapts threshold and reserve to what a window has shown.

        Returns:
          False when the window must go on, because it shows overload but has
          too few calls to tell by how much.
        """
        if not window.finished:
            self._service.decay()
        change = window.important_ms / elapsed_ms - self._important_mean
        self._important_mean += CONCURRENCY_SMOOTHING * change
        target_ms = max(
            self._settings.queue_wait_target_ms,
            self._settings.queue_wait_service_share * self._service.mean_ms,
        )
        if window.is_overloaded(target_ms):
            extended = elapsed_ms >= self._window_ms * EXTENDED_WINDOWS
            if window.admitted < ADMITTED_MIN and not extended:
                return False
            allowed = window.served * target_ms / elapsed_ms
            share = window.excess_share(len(self._queue) - allowed)
            if self._threshold.value:
                share *= CORRECTION_SHARE
            ordinary = window.ordinary or self._ordinary_present()
            self._threshold.raise_by(
                share, self._important_floor if ordinary else None
            )
        elif window.busy_ms > BUSY_SHARE * elapsed_ms:
            self._threshold.hold()
        else:
            used = window.running_ms / elapsed_ms / self._algorithm.limit
            self._threshold.lower(max(0.0, 1.0 - used))
        return True
