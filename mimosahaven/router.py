"""Routes calls to targets and retries them within the retry budget."""

import dataclasses

from mimosahaven import actionrecords
from mimosahaven import attempts
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven import fleet as fleet_lib
from mimosahaven import messages
from mimosahaven import metrics as metrics_lib
from mimosahaven import retrybudget as budget_lib
from mimosahaven import routing
from mimosahaven import settings as settings_lib
from mimosahaven import shedding

Code = codes.Code
RunState = codes.RunState
Metric = metrics_lib.Metric

_NOT_RETRIABLE_CODES = frozenset(
    {
        Code.OK,
        Code.OK_FROM_LEDGER,
        Code.NO_TARGET,
        Code.QUARANTINED,
        Code.UNKNOWN_SERVICE,
        Code.UNKNOWN_KIND,
    }
)
# Results with these codes are produced by this daemon; they carry no load or
# shed threshold of the target.
_CODES_WITHOUT_REPORT = frozenset(
    {Code.TIMEOUT, Code.LINK_LOST, Code.NO_TARGET, Code.STILL_RUNNING}
)


@dataclasses.dataclass
class Request:
    """A call to be sent to a service.

    Attributes:
      call_id: Identity of the call.
      context: Context of the action or parent call that it belongs to.
      headers: Headers for the target, without hop-by-hop ones.
      strikes: Strikes received with the results of earlier attempts.
    """

    call_id: str
    context: calls.CallContext
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    strikes: list[messages.Strike] = dataclasses.field(default_factory=list)

    @property
    def idempotent(self) -> bool:
        """Whether the call may run twice."""
        return self.context.is_idempotent(self.method)


@dataclasses.dataclass
class CallOutcome:
    """Outcome of a call after its last attempt.

    Attributes:
      result: Result of the last attempt.
      attempt_ref: Reference to the last attempt, or None if it was not sent.
    """

    result: messages.Result
    attempt_ref: actionrecords.AttemptRef | None = None


class Router:
    """Routes calls to the targets of services."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        fleet_view: fleet_lib.FleetView,
        target_selector: routing.TargetSelector,
        attempt_sender: attempts.AttemptSender,
        thresholds: shedding.ThresholdMap,
        log: decisions.DecisionLog,
        metrics: metrics_lib.Metrics,
    ):
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._fleet_view = fleet_view
        self._target_selector = target_selector
        self._attempt_sender = attempt_sender
        self._thresholds = thresholds
        self._ratio_limiter = budget_lib.RetryRatioLimiter(settings)
        self.attempt_count = 0
        self.retry_count = 0
        self.denied_retry_count = 0

    async def call(self, request: Request) -> CallOutcome:
        """Sends a call and retries it as far as the retry budget allows."""
        tried_targets: set[str] = set()
        attempt = 0
        may_have_run = False
        self._ratio_limiter.record_first_attempt(
            request.service, clock.monotonic_ms()
        )
        while True:
            outcome = await self._attempt(request, attempt, tried_targets)
            run_state = outcome.result.reported_run_state()
            if may_have_run and run_state is RunState.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                outcome.result.run_state = RunState.UNKNOWN.value
            may_have_run = may_have_run or run_state is not RunState.NOT_RUN
            if not self._may_retry(request, outcome.result):
                return outcome
            attempt += 1
            self.retry_count += 1
            request.context.retry_count += 1
            self._metrics.count(Metric.RETRIES)

    def _may_retry(self, request: Request, result: messages.Result) -> bool:
        """Returns whether to retry; if so, takes a retry from the budget."""
        if Code(result.code) in _NOT_RETRIABLE_CODES:
            return False
        now_ms = clock.monotonic_ms()
        if now_ms >= request.context.deadline_ms:
            return False
        repeatable = (
            request.idempotent
            or result.reported_run_state() is RunState.NOT_RUN
            or not self._settings.mechanisms.inquire
        )
        if not repeatable:
            return False
        budget = request.context.budget
        if budget.remaining > 0 and self._ratio_limiter.try_acquire(
            request.service, now_ms
        ):
            return budget.try_acquire()
        self.denied_retry_count += 1
        self._metrics.count(Metric.RETRIES_DENIED)
        return False

    async def _attempt(
        self, request: Request, attempt: int, tried_targets: set[str]
    ) -> CallOutcome:
        context = request.context
        candidates = self._fleet_view.targets(request.service)
        if not candidates:
            return CallOutcome(
                attempts.result_without_response(
                    request.call_id, attempt, Code.UNKNOWN_SERVICE
                )
            )
        now_ms = clock.monotonic_ms()
        selection = self._target_selector.select(
            request.service, candidates, context.priority, tried_targets, now_ms
        )
        self._record_selection(request, attempt, selection)
        if selection.target is None:
            return CallOutcome(
                attempts.result_without_response(
                    request.call_id, attempt, Code.NO_TARGET
                )
            )
        tried_targets.add(selection.target.target)
        result = await self._send(request, attempt, selection.target)
        attempt_ref = None
        if result.incarnation:
            attempt_ref = actionrecords.AttemptRef(
                selection.target.target, result.incarnation, attempt
            )
        return CallOutcome(result, attempt_ref)

    def _record_selection(
        self, request: Request, attempt: int, selection: routing.Selection
    ) -> None:
        self._log.record(
            decisions.Component.ROUTE,
            request.call_id,
            f"to {selection.target.target}" if selection.target else "refused",
            selection.reason.value,
            0 if selection.target else Code.NO_TARGET,
            selection.scored,
            attempt,
        )
        if selection.target is None:
            return
        self.attempt_count += 1
        self._metrics.count(Metric.ATTEMPTS)
        local_domain = self._settings.target.failure_domain
        if selection.target.failure_domain != local_domain:
            self._metrics.count(Metric.SPILLS)

    async def _send(
        self, request: Request, attempt: int, member: fleet_lib.Member
    ) -> messages.Result:
        context = request.context
        delegated_budget = context.budget.delegate()
        # AttemptSender.send() fills in the incarnation and the times.
        call = messages.Call(
            call_id=request.call_id,
            attempt=attempt,
            action_id=context.action_id,
            caller=context.caller,
            kind=context.kind,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            incarnation="",
            sent_ms=0.0,
            remaining_ms=0.0,
            budget=delegated_budget,
            strikes=request.strikes,
        )
        started_ms = clock.monotonic_ms()
        self._target_selector.start_attempt(member.target, started_ms)
        result = attempts.result_without_response(
            request.call_id, attempt, Code.INTERNAL
        )
        try:
            result = await self._attempt_sender.send(
                member, call, context.deadline_ms, request.idempotent
            )
        finally:
            now_ms = clock.monotonic_ms()
            self._target_selector.finish_attempt(
                member.target,
                Code(result.code),
                now_ms - started_ms,
                result.load,
                result.threshold,
                now_ms,
            )
        context.budget.refund(min(delegated_budget, result.unused_budget))
        request.strikes += result.strikes
        self._record_thresholds(context, request.service, result, now_ms)
        return result

    def _record_thresholds(
        self,
        context: calls.CallContext,
        service: str,
        result: messages.Result,
        now_ms: float,
    ) -> None:
        context.used_services.update(result.thresholds)
        self._thresholds.update_all(result.thresholds, now_ms)
        if Code(result.code) not in _CODES_WITHOUT_REPORT:
            context.used_services.add(service)
            self._thresholds.update(service, result.threshold, 0.0, now_ms)
