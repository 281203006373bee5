"""Admission control for the local target."""

import dataclasses

from mimosahaven import admissionqueue
from mimosahaven import codes
from mimosahaven import concurrency
from mimosahaven import identity
from mimosahaven import loadstats
from mimosahaven import settings as settings_lib
from mimosahaven import shedding

# A gap between two updates of more than this many nominal windows counts as a
# pause of the process; the window is then not used as a load sample.
PAUSE_WINDOW_FACTOR = 5
# In overload, a window is extended until it has OVERLOAD_SAMPLE_MIN accepted
# calls or spans OVERLOAD_WINDOWS_MAX nominal windows: the excess share of a few
# calls is mostly noise.
OVERLOAD_SAMPLE_MIN = 30
OVERLOAD_WINDOWS_MAX = 5
# Share of the measured excess that is corrected per window while a threshold
# is already in force. The excess of one window is then mostly noise;
# correcting all of it makes the threshold oscillate and wastes capacity.
CORRECTION_SHARE = 0.2
# The threshold is not lowered if calls were queued for more than this share of
# a window.
NONEMPTY_QUEUE_SHARE_MIN = 0.5
# Weight of one window in the moving average of the concurrency of important
# calls; gives a time constant of about 1 s with windows of 100 ms.
CONCURRENCY_SAMPLE_WEIGHT = 0.1

Code = codes.Code
Outcome = concurrency.Outcome


@dataclasses.dataclass(eq=False, slots=True)
class AdmissionRequest:
    """A call for which admission is requested.

    Attributes:
      call_id: Id of the call.
      priority: Shedding priority; higher is more important.
      important: Whether the call may use the reserved slots.
      deadline_ms: Deadline, in monotonic time.
    """

    call_id: str
    priority: int
    important: bool
    deadline_ms: float


@dataclasses.dataclass(slots=True)
class AdmissionDecisions:
    """Admission decisions made by one operation.

    Attributes:
      run: Requests admitted to run now.
      refused: Refused requests, each with the result code.
    """

    run: list[AdmissionRequest] = dataclasses.field(default_factory=list)
    refused: list[tuple[AdmissionRequest, Code]] = dataclasses.field(
        default_factory=list
    )


class AdmissionController:
    """Decides which calls run on the local target, and when.

    Calls beyond the concurrency limit wait in a priority queue of bounded
    length. Under overload, calls below a priority threshold are shed before
    they are queued, and some slots are reserved for important calls.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.admission
        self._window_ms = settings.shedding.window_ms
        self._slots = settings.target.slots
        self._enabled = settings.mechanisms.admission
        self._reserve_enabled = settings.mechanisms.reserve
        self._algorithm = concurrency.create(settings)
        self._threshold = shedding.ShedThreshold()
        self._queue = admissionqueue.AdmissionQueue()
        self._running = 0
        self._ordinary_running = 0
        self._window: loadstats.LoadWindow | None = None
        self._last_advance_ms = 0.0
        self._next_evaluation_ms = 0.0
        self._important_concurrency = 0.0
        self._important_priority_min: int | None = None
        self._service_time = loadstats.ServiceTimeEstimate()

    @property
    def limit(self) -> int:
        """The current concurrency limit."""
        return self._algorithm.limit if self._enabled else self._slots

    @property
    def running(self) -> int:
        """Number of calls running on the target."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    def offer(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecisions:
        """Refuses or queues a new call, then decides the queued calls.

        Returns:
          All decisions made, which can also concern calls queued earlier.
        """
        decisions = AdmissionDecisions()
        if not self._enabled:
            self._running += 1
            decisions.run.append(request)
            return decisions
        self._advance(now_ms)
        self._update_important_priority_min(request)
        if request.deadline_ms - now_ms < self._service_time.expected_ms:
            decisions.refused.append((request, Code.DEADLINE_BEFORE_RUN))
        elif self._is_shed(request):
            decisions.refused.append((request, Code.SHED_AT_GUARD))
        else:
            self._threshold.record(request.priority)
            self._window.accepted += 1
            self._window.ordinary_accepted += not request.important
            self._queue.add(request)
        self._decide_queued(decisions, now_ms, request)
        return decisions

    def finish(
        self,
        request: AdmissionRequest,
        outcome: Outcome,
        service_ms: float,
        now_ms: float,
    ) -> AdmissionDecisions:
        """Releases the slot of a call that has ended; decides queued calls.

        Args:
          request: A call that an earlier decision admitted.
          outcome: How the call ended.
          service_ms: Time that the call ran on the target.
          now_ms: Current time.
        """
        decisions = AdmissionDecisions()
        if not self._enabled:
            self._running -= 1
            return decisions
        self._advance(now_ms)
        self._algorithm.record_end(outcome, service_ms, self._running, now_ms)
        self._running -= 1
        self._ordinary_running -= not request.important
        self._window.finished += 1
        if outcome is Outcome.REFUSED:
            self._window.target_refusals += 1
        elif outcome is Outcome.OK or outcome is Outcome.TIMEOUT:
            self._service_time.update(service_ms)
        self._decide_queued(decisions, now_ms)
        return decisions

    def cancel(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecisions:
        """Removes a queued call that its sender has cancelled.

        A request that is not queued is ignored.
        """
        decisions = AdmissionDecisions()
        if self._enabled:
            self._advance(now_ms)
            self._queue.remove(request)
            self._decide_queued(decisions, now_ms)
        return decisions

    def tick(self, now_ms: float) -> AdmissionDecisions:
        """Adapts the limits at the end of a window and decides queued calls.

        The limits are the concurrency limit and the shed threshold. Queued
        calls that can no longer finish in time are refused.
        """
        decisions = AdmissionDecisions()
        if self._enabled:
            self._advance(now_ms)
            self._algorithm.tick(self._running, now_ms)
            self._decide_queued(decisions, now_ms)
        return decisions

    def threshold(self, now_ms: float) -> int:
        """Returns the shed threshold; calls of lower priority are refused."""
        del now_ms
        return self._threshold.value

    def load(self) -> float:
        """Returns the running and queued calls divided by the limit."""
        return (self._running + len(self._queue)) / self.limit

    def _decide_queued(
        self,
        decisions: AdmissionDecisions,
        now_ms: float,
        new_request: AdmissionRequest | None = None,
    ) -> None:
        """Decides the queued calls.

        Calls that cannot finish before their deadline are refused, free slots
        are filled, and the queue is cut to its maximum length.
        """
        queue = self._queue
        if not len(queue):
            return
        for request in queue.expired(now_ms + self._service_time.expected_ms):
            self._reject(request, Code.DEADLINE_BEFORE_RUN, decisions)
        limit = self._algorithm.limit
        reserved = self._reserved_slots(limit)
        while (request := queue.peek_highest()) is not None:
            if not self._has_room(request, limit, reserved):
                break
            queue.remove(request)
            self._running += 1
            self._ordinary_running += not request.important
            self._window.started += 1
            decisions.run.append(request)
        queue_length_max = int(limit * self._settings.queue_factor)
        while len(queue) > queue_length_max:
            request = queue.peek_lowest()
            code = Code.QUEUE_FULL if request is new_request else Code.DISPLACED
            self._reject(request, code, decisions)

    def _reserved_slots(self, limit: int) -> int:
        """Returns the number of slots that only important calls may use.

        The number follows the recent concurrency of important calls.
        """
        if not self._reserve_enabled or limit <= 1:
            return 0
        reserved_max = int(limit * self._settings.reserve_share_max)
        return max(1, min(int(self._important_concurrency), reserved_max))

    def _has_room(
        self, request: AdmissionRequest, limit: int, reserved: int
    ) -> bool:
        if request.important:
            # After the limit was lowered, ordinary calls may still hold more
            # slots than it allows. The reserved slots stay usable then, as
            # long as the target has free slots.
            important = self._running - self._ordinary_running
            return self._running < limit or (
                self._running < self._slots
                and important < self._reserved_slots(self._slots)
            )
        return (
            self._running < limit and self._ordinary_running < limit - reserved
        )

    def _reject(
        self,
        request: AdmissionRequest,
        code: Code,
        decisions: AdmissionDecisions,
    ) -> None:
        self._queue.remove(request)
        self._window.queue_refusals += 1
        decisions.refused.append((request, code))

    def _is_shed(self, request: AdmissionRequest) -> bool:
        """Returns whether a call is shed; may lower the threshold.

        While ordinary calls run or wait, an important call below the threshold
        is not shed; the threshold is lowered so that it sheds ordinary calls
        only.
        """
        if request.priority >= self._threshold.value:
            return False
        if request.important and self._has_ordinary_calls():
            self._threshold.limit_to(self._important_priority_min)
            return False
        return True

    def _has_ordinary_calls(self) -> bool:
        return bool(self._ordinary_running or self._queue.ordinary_count)

    def _update_important_priority_min(self, request: AdmissionRequest) -> None:
        """Tracks where the priorities of the lowest important weight begin."""
        priority_min = self._important_priority_min
        if request.important:
            if priority_min is None or request.priority < priority_min:
                self._important_priority_min = (
                    request.priority - request.priority % identity.WEIGHT_STEP
                )
        elif priority_min is not None and request.priority >= priority_min:
            # The table has changed: this priority was important before.
            self._important_priority_min = None

    def _advance(self, now_ms: float) -> None:
        """Accounts for the time passed; evaluates a due window."""
        window = self._window
        if window is None:
            window = self._window = loadstats.LoadWindow(now_ms)
            self._last_advance_ms = now_ms
            self._next_evaluation_ms = now_ms + self._window_ms
        interval_ms = now_ms - self._last_advance_ms
        self._last_advance_ms = now_ms
        queue = self._queue
        important = self._running - self._ordinary_running
        window.advance(
            interval_ms,
            self._running,
            len(queue),
            important + queue.important_count,
        )
        elapsed_ms = now_ms - window.start_ms
        if now_ms < self._next_evaluation_ms:
            return
        self._next_evaluation_ms = now_ms + self._window_ms
        if interval_ms > self._window_ms * PAUSE_WINDOW_FACTOR:
            self._threshold.hold()
            self._window = loadstats.LoadWindow(now_ms)
        elif self._evaluate_window(window, elapsed_ms):
            self._window = loadstats.LoadWindow(now_ms)

    def _evaluate_window(
        self, window: loadstats.LoadWindow, elapsed_ms: float
    ) -> bool:
        """Adapts the threshold and the reserve to the load of a window.

        Returns:
          False if the window must be extended, because it shows overload but
          has too few calls to estimate the excess.
        """
        if not window.finished:
            self._service_time.decay()
        change = window.important_ms / elapsed_ms - self._important_concurrency
        self._important_concurrency += CONCURRENCY_SAMPLE_WEIGHT * change
        wait_target_ms = max(
            self._settings.queue_wait_target_ms,
            self._settings.queue_wait_service_share
            * self._service_time.mean_ms,
        )
        if window.is_overloaded(wait_target_ms):
            at_max_length = elapsed_ms >= self._window_ms * OVERLOAD_WINDOWS_MAX
            if window.accepted < OVERLOAD_SAMPLE_MIN and not at_max_length:
                return False
            # By Little's law, the queue length at which the wait equals its
            # target.
            queue_length_target = window.served * wait_target_ms / elapsed_ms
            excess_share = window.excess_share(
                len(self._queue) - queue_length_target
            )
            if self._threshold.value:
                excess_share *= CORRECTION_SHARE
            has_ordinary = (
                window.ordinary_accepted or self._has_ordinary_calls()
            )
            self._threshold.raise_by(
                excess_share,
                self._important_priority_min if has_ordinary else None,
            )
        elif window.nonempty_queue_ms > NONEMPTY_QUEUE_SHARE_MIN * elapsed_ms:
            self._threshold.hold()
        else:
            used_share = window.running_ms / elapsed_ms / self._algorithm.limit
            self._threshold.lower(max(0.0, 1.0 - used_share))
        return True
