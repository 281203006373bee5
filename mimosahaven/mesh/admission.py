"""Admission control for the local target: a priority queue and shedding.

Handles overload of a service deep in the call graph. Calls wait here in order
of priority, not inside the target, where the order is lost and where some
targets never respond to requests that they cannot queue. Among calls of equal
weight, the one with the oldest root request runs first, because most work has
already been done for it. The part of the shedding priority that is a hash of
the root request's ID does not affect this order; it only decides whether
the request is shed at the entry.
"""

import collections
import dataclasses
import math

from mimosahaven import admissionqueue
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import loadstats
from mimosahaven.mesh import durations
from mimosahaven.mesh import ratelimit
from mimosahaven.mesh import targetdrain
from mimosahaven.mesh import thresholdcontrol

Code = codes.Code

# Targets may slow down when nearly all slots are in use. Keeping 5 % of the
# slots free avoids this, at the cost of 5 % of the capacity.
SLOT_FILL_SHARE = 0.95
# The mean run time is reported for this long after the last run has ended.
MEAN_MAX_AGE_MS = 600.0
# Length of a load measurement window; run times vary too much for a shorter
# one.
WINDOW_MS = 150.0
# Objective for the mean wait in the queue; with a longer one, the target is
# overloaded. A request makes several calls in sequence and has a latency
# objective of some hundred ms.
WAIT_TARGET_MS = 25.0
# Below this utilization of the limit, the target has spare capacity.
FULL_UTILIZATION = 0.9
# Longer than any request lives, so that one unit of weight outranks any age.
ROOT_AGE_MAX_MS = 1e9
# Queue capacity as a multiple of the limit; beyond it, the runs with the lowest
# priority are refused. The wait in a full queue stays below the deadlines of
# calls deep in the graph (0.7 s).
QUEUE_FACTOR = 3.0


@dataclasses.dataclass(eq=False, slots=True)
class AdmissionRequest:
    """A run that waits for admission.

    Attributes:
      shed_priority: Shedding priority of the root request.
      deadline_ms: Time by which the run must have ended.
      root_ms: Start time of the root request.
      rerouted: Whether the run has waited in the queue of a target that leaves.
      priority: Priority in the queue; higher runs first.
      important: Required by the queue but unused here; the priority alone
        decides.
    """

    shed_priority: int
    deadline_ms: float
    root_ms: float
    rerouted: bool = False
    priority: float = 0.0
    important: bool = False

    def __post_init__(self):
        weight = self.shed_priority // identity.WEIGHT_STEP
        self.priority = weight * ROOT_AGE_MAX_MS - self.root_ms


@dataclasses.dataclass
class AdmissionDecisions:
    """Runs to start now, and runs refused with a code."""

    run: list[AdmissionRequest] = dataclasses.field(default_factory=list)
    refused: list[tuple[AdmissionRequest, Code]] = dataclasses.field(
        default_factory=list
    )


class AdmissionController:
    """Admits runs to the local target.

    Args:
      slots: Number of requests that the target processes at a time.
      now_ms: Current time.
      drain: Tells until when runs may start; None for no limit.

    Attributes:
      running: Number of runs in progress at the target.
      slots: Number of requests that the target processes at a time.
      limit: Maximum number of runs in progress.
      stop_ms: Time at which the daemon stops serving, or None.
    """

    def __init__(
        self,
        slots: int,
        now_ms: float,
        drain: targetdrain.TargetDrain | None = None,
    ):
        self.running = 0
        self.stop_ms: float | None = None
        self._drain = drain or targetdrain.TargetDrain(math.inf)
        self._durations = durations.DurationEstimate()
        # Start times of the runs in progress, oldest first. A run that ends is
        # taken for the oldest one.
        self._start_times_ms: collections.deque[float] = collections.deque()
        self._rate_limiter = ratelimit.TargetRateLimiter()
        self._queue = admissionqueue.AdmissionQueue()
        self._service_time = loadstats.ServiceTimeEstimate()
        self._threshold = thresholdcontrol.ThresholdController(now_ms)
        # Last time at which a raise took the queue into account.
        self._queue_corrected_ms = now_ms
        self._window = loadstats.LoadWindow(now_ms)
        self._updated_ms = now_ms
        self._finished_ms = now_ms
        self.set_slots(slots)

    def set_slots(self, slots: int) -> None:
        """Sets how many requests the target processes at a time."""
        self.slots = slots
        self.limit = max(1, math.floor(slots * SLOT_FILL_SHARE))

    @property
    def rate_limit_per_s(self) -> float | None:
        """Maximum rate at which runs start, or None for no limit."""
        return self._rate_limiter.limit_per_s

    def set_rate_limit(self, limit_per_s: float | None, now_ms: float) -> None:
        """Sets or lifts the maximum rate at which runs start."""
        self._advance_window(now_ms)
        self._rate_limiter.set_limit(limit_per_s, now_ms)

    @property
    def usable_limit(self) -> int:
        """Number of concurrent runs that the target can sustain.

        A rate limit may allow fewer than the slots: by Little's law, the rate
        times the mean run time.
        """
        mean_ms = self._service_time.mean_ms
        if self.rate_limit_per_s is None or not mean_ms:
            return self.limit
        sustained = math.ceil(self.rate_limit_per_s * mean_ms / 1000)
        return min(self.limit, max(1, sustained))

    def next_dispatch_ms(self, now_ms: float) -> float | None:
        """Returns when the rate limit admits the next queued run.

        None if no run waits for the rate limit.
        """
        if not len(self._queue) or self.running >= self.limit:
            return None
        return self._rate_limiter.next_send_ms(now_ms)

    @property
    def waiting(self) -> int:
        """Number of queued runs."""
        return len(self._queue)

    @property
    def mean_ms(self) -> float:
        """Mean time for which a run occupies a unit of `usable_limit`.

        This is the mean run time, unless a rate limit allows less than one
        concurrent run. It is 0 when no run has ended recently: a stale high
        mean would keep requests away from an idle target for good, since only
        new runs can show that it is no longer slow.
        """
        if self._updated_ms - self._finished_ms > MEAN_MAX_AGE_MS:
            return 0.0
        mean_ms = self._service_time.mean_ms
        if self.rate_limit_per_s is not None:
            mean_ms = max(
                mean_ms, self.usable_limit * 1000 / self.rate_limit_per_s
            )
        return mean_ms

    @property
    def threshold(self) -> int:
        """Priority below which callers should not send new requests."""
        return self._threshold.value

    def offer(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecisions:
        """Queues a new run and returns the decisions that are due."""
        decisions = AdmissionDecisions()
        self._advance_window(now_ms)
        # A call that arrives too late says nothing about the load of this
        # target and must not raise the threshold.
        if request.deadline_ms - now_ms <= self._service_time.expected_ms:
            decisions.refused.append((request, Code.DEADLINE_BEFORE_RUN))
            return decisions
        # A rerouted run may exceed the capacity of the queue, but not if it
        # would wait there in vain.
        request.rerouted &= not self._is_too_late(request, now_ms)
        self._threshold.record(request.shed_priority, now_ms - request.root_ms)
        self._window.accepted += 1
        self._queue.add(request)
        self._dispatch(decisions, now_ms, request)
        return decisions

    def finish(
        self, service_ms: float | None, now_ms: float
    ) -> AdmissionDecisions:
        """Records the end of a run and returns the decisions that are due.

        Args:
          service_ms: Run time; None when it says nothing about the target's
            speed (refused by the target, or cancelled).
          now_ms: Current time.
        """
        self._advance_window(now_ms)
        self.running -= 1
        self._start_times_ms.popleft()
        self._window.finished += 1
        if service_ms is not None:
            self._service_time.update(service_ms)
            self._durations.record(service_ms)
            self._finished_ms = now_ms
        decisions = AdmissionDecisions()
        self._dispatch(decisions, now_ms)
        return decisions

    def cancel(self, request: AdmissionRequest, now_ms: float) -> None:
        """Removes a queued run whose caller has gone."""
        self._advance_window(now_ms)
        self._queue.remove(request)

    def tick(self, now_ms: float) -> AdmissionDecisions:
        """Refuses runs that would miss their deadline and measures the load."""
        self._advance_window(now_ms)
        decisions = AdmissionDecisions()
        self._dispatch(decisions, now_ms)
        return decisions

    def _dispatch(
        self,
        decisions: AdmissionDecisions,
        now_ms: float,
        new: AdmissionRequest | None = None,
    ) -> None:
        queue = self._queue
        if not len(queue):
            return
        for request in queue.expired(now_ms + self._service_time.expected_ms):
            self._reject(request, Code.DEADLINE_BEFORE_RUN, decisions)
        if self._is_closing:
            self._refuse_surplus(decisions, now_ms)
        while (
            self.running < self.limit
            and len(queue)
            and self._rate_limiter.try_acquire(now_ms)
        ):
            request = queue.peek_highest()
            queue.remove(request)
            self.running += 1
            self._start_times_ms.append(now_ms)
            self._window.started += 1
            decisions.run.append(request)
        queue_max = math.ceil(self.usable_limit * QUEUE_FACTOR)
        if len(queue) > queue_max:
            queue_max += sum(request.rerouted for request in queue)
        while len(queue) > queue_max:
            request = queue.peek_lowest()
            code = Code.QUEUE_FULL if request is new else Code.DISPLACED
            self._reject(request, code, decisions)

    def may_start(self, now_ms: float) -> bool:
        """Returns whether an admitted run may still be sent to the target."""
        return now_ms <= self._drain.start_until_ms

    @property
    def _is_closing(self) -> bool:
        return self._end_by_ms < math.inf or (
            self._drain.start_until_ms < math.inf
        )

    @property
    def _end_by_ms(self) -> float:
        """Time by which a run has to end, so that it is not cut off."""
        stop_ms = math.inf if self.stop_ms is None else self.stop_ms
        return min(stop_ms, self._drain.end_by_ms)

    def _refuse_surplus(
        self, decisions: AdmissionDecisions, now_ms: float
    ) -> None:
        """Refuses the runs that will not start or end in time.

        They are refused at once, the lowest priority first, so that they have
        time to run elsewhere.
        """
        for request in list(self._queue):
            end_ms = self._durations.latest_end_ms(now_ms, request.deadline_ms)
            if not self.may_start(now_ms) or end_ms > self._end_by_ms:
                self._reject(request, Code.LEAVING, decisions)
        startable = self._startable_count(now_ms)
        while len(self._queue) > startable:
            self._reject(self._queue.peek_lowest(), Code.LEAVING, decisions)

    def _startable_count(self, now_ms: float) -> float:
        """Returns how many queued runs will have started in time."""
        mean_ms, upper_ms = self._durations.mean_ms, self._durations.upper_ms
        if mean_ms is None:
            return math.inf
        until_ms = min(self._drain.start_until_ms, self._end_by_ms - upper_ms)
        mean_ms = max(1.0, mean_ms)
        remaining_ms = max(0.0, until_ms - now_ms)
        free_slots = self.limit - self.running
        starts = free_slots * (1 + remaining_ms // mean_ms)
        # A slot becomes free each time that a run in it ends.
        starts += sum(
            max(0.0, until_ms - start_ms) // mean_ms
            for start_ms in self._start_times_ms
        )
        rate_per_s = self.rate_limit_per_s
        if rate_per_s is None:
            return starts
        return min(starts, math.ceil(remaining_ms * rate_per_s / 1000))

    def _is_too_late(self, request: AdmissionRequest, now_ms: float) -> bool:
        """Returns whether a run would wait in the queue beyond its deadline."""
        mean_ms = self._durations.mean_ms or 0.0
        rounds = 1 + len(self._queue) / self.usable_limit
        return now_ms + rounds * mean_ms > request.deadline_ms

    def _reject(
        self,
        request: AdmissionRequest,
        code: Code,
        decisions: AdmissionDecisions,
    ) -> None:
        self._queue.remove(request)
        if code is not Code.LEAVING:
            # A drain says nothing about the load.
            self._window.queue_refusals += 1
        decisions.refused.append((request, code))

    def _advance_window(self, now_ms: float) -> None:
        window = self._window
        window.advance(
            max(0.0, now_ms - self._updated_ms),
            self.running,
            len(self._queue),
            0,
        )
        self._updated_ms = now_ms
        elapsed_ms = now_ms - window.start_ms
        if elapsed_ms >= WINDOW_MS:
            self._update_threshold(window, elapsed_ms)
            self._window = loadstats.LoadWindow(now_ms)

    def _update_threshold(
        self, window: loadstats.LoadWindow, elapsed_ms: float
    ) -> None:
        if not window.finished:
            self._service_time.decay()
        mean_waiting = window.waiting_ms / elapsed_ms
        utilization = window.running_ms / elapsed_ms / self.limit
        if self.rate_limit_per_s is not None:
            rate_per_s = window.started / elapsed_ms * 1000
            utilization = max(utilization, rate_per_s / self.rate_limit_per_s)
        wait_target_ms = WAIT_TARGET_MS
        if self.rate_limit_per_s is not None:
            # Without any overload, a run waits for its turn at the limit.
            wait_target_ms += 1000 / self.rate_limit_per_s
        # Little's law: mean queue length = throughput * waiting time.
        allowed_waiting = wait_target_ms * max(1, window.served) / elapsed_ms
        if mean_waiting > allowed_waiting or window.queue_refusals:
            excess_share = window.excess_share(
                self._queue_to_correct(mean_waiting - allowed_waiting)
            )
            unshed_waiting = sum(
                request.shed_priority >= self.threshold
                for request in self._queue
            )
            self._threshold.raise_by(
                excess_share,
                unshed_waiting > allowed_waiting,
                self._updated_ms,
            )
        elif utilization > FULL_UTILIZATION:
            self._threshold.hold()
        else:
            self._threshold.lower(max(0.0, 1.0 - utilization), self._updated_ms)

    def _queue_to_correct(self, excess_waiting: float) -> float:
        """Returns how many excess runs a raise takes into account.

        The queue drains only when a raise has taken effect; until then, each
        window would correct for it again.
        """
        delay_ms = self._threshold.effect_delay_ms
        if self._updated_ms - self._queue_corrected_ms < delay_ms:
            return 0.0
        self._queue_corrected_ms = self._updated_ms
        return excess_waiting
