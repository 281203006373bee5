"""Chooses targets for calls and decides about retries."""

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

_FINAL = frozenset(
    {
        Code.OK,
        Code.OK_FROM_LEDGER,
        Code.NO_TARGET,
        Code.QUARANTINED,
        Code.UNKNOWN_SERVICE,
        Code.UNKNOWN_KIND,
    }
)
# Made by the sender; they carry no report of the target's daemon.
_LOCAL = frozenset(
    {Code.TIMEOUT, Code.LINK_LOST, Code.NO_TARGET, Code.STILL_RUNNING}
)


@dataclasses.dataclass
class Request:
    """One call that is to be sent to a service.

    Attributes:
      call_id: Identity of the call.
      context: The call or action that it is made for.
      headers: Headers for the target, without hop-by-hop ones.
      strikes: Crashes that earlier attempts have caused.
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
    """The last attempt of a call.

    Attributes:
      result: Its result.
      attempt_ref: Where it went, or None when it was not sent.
    """

    result: messages.Result
    attempt_ref: actionrecords.AttemptRef | None = None


class Router:
    """Routes calls to the targets of services."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        fleet: fleet_lib.FleetView,
        target_selector: routing.TargetSelector,
        sender: attempts.AttemptSender,
        thresholds: shedding.ThresholdMap,
        log: decisions.DecisionLog,
        metrics: metrics_lib.Metrics,
    ):
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._fleet = fleet
        self._target_selector = target_selector
        self._sender = sender
        self._thresholds = thresholds
        self._ratio = budget_lib.RetryRatioLimiter(settings)
        self.attempt_count = 0
        self.retry_count = 0
        self.denied_retry_count = 0

    async def call(self, request: Request) -> CallOutcome:
        """Sends a call, with retries as the budget allows."""
        tried: set[str] = set()
        attempt = 0
        may_have_run = False
        self._ratio.record_first_attempt(request.service, clock.monotonic_ms())
        while True:
            outcome = await self._attempt(request, attempt, tried)
            state = outcome.result.reported_run_state()
            if may_have_run and state is RunState.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                outcome.result.run_state = RunState.UNKNOWN.value
            may_have_run = may_have_run or state is not RunState.NOT_RUN
            if not self._may_retry(request, outcome.result):
                return outcome
            attempt += 1
            self.retry_count += 1
            request.context.retry_count += 1
            self._metrics.count(Metric.RETRIES)

    def _may_retry(self, request: Request, result: messages.Result) -> bool:
        if Code(result.code) in _FINAL:
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
        if budget.remaining > 0 and self._ratio.try_acquire(
            request.service, now_ms
        ):
            return budget.take()
        self.denied_retry_count += 1
        self._metrics.count(Metric.RETRIES_DENIED)
        return False

    async def _attempt(
        self, request: Request, attempt: int, tried: set[str]
    ) -> CallOutcome:
        context = request.context
        candidates = self._fleet.targets(request.service)
        if not candidates:
            return CallOutcome(
                attempts.result_without_response(
                    request.call_id, attempt, Code.UNKNOWN_SERVICE
                )
            )
        now_ms = clock.monotonic_ms()
        choice = self._target_selector.select(
            request.service, candidates, context.priority, tried, now_ms
        )
        self._note(request, attempt, choice)
        if choice.target is None:
            return CallOutcome(
                attempts.result_without_response(
                    request.call_id, attempt, Code.NO_TARGET
                )
            )
        tried.add(choice.target.target)
        result = await self._send(request, attempt, choice.target)
        attempt_ref = None
        if result.incarnation:
            attempt_ref = actionrecords.AttemptRef(
                choice.target.target, result.incarnation, attempt
            )
        return CallOutcome(result, attempt_ref)

    def _note(
        self, request: Request, attempt: int, choice: routing.Selection
    ) -> None:
        self._log.decide(
            decisions.Part.ROUTE,
            request.call_id,
            f"to {choice.target.target}" if choice.target else "refused",
            choice.reason.value,
            0 if choice.target else Code.NO_TARGET,
            choice.scored,
            attempt,
        )
        if choice.target is None:
            return
        self.attempt_count += 1
        self._metrics.count(Metric.ATTEMPTS)
        own = self._settings.target.failure_domain
        if choice.target.failure_domain != own:
            self._metrics.count(Metric.SPILLS)

    async def _send(
        self, request: Request, attempt: int, member: fleet_lib.Member
    ) -> messages.Result:
        context = request.context
        part = context.budget.delegate()
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
            budget=part,
            strikes=request.strikes,
        )
        started_ms = clock.monotonic_ms()
        self._target_selector.start_attempt(member.target, started_ms)
        result = attempts.result_without_response(
            request.call_id, attempt, Code.INTERNAL
        )
        try:
            result = await self._sender.send(
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
        context.budget.refund(min(part, result.unused_budget))
        request.strikes += result.strikes
        self._learn(context, request.service, result, now_ms)
        return result

    def _learn(
        self,
        context: calls.CallContext,
        service: str,
        result: messages.Result,
        now_ms: float,
    ) -> None:
        context.used_services.update(result.thresholds)
        self._thresholds.update_all(result.thresholds, now_ms)
        if Code(result.code) not in _LOCAL:
            context.used_services.add(service)
            self._thresholds.update(service, result.threshold, 0.0, now_ms)
