"""Admits calls from other daemons and runs them on the local target."""

import asyncio
import collections

import msgspec

from mimosahaven import admission as admission_lib
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven import identity
from mimosahaven import ledger as ledger_lib
from mimosahaven import lifecycle as lifecycle_lib
from mimosahaven import messages
from mimosahaven import metrics as metrics_lib
from mimosahaven import quarantine as quarantine_lib
from mimosahaven import quarantineenforcer as enforcer_lib
from mimosahaven import retrybudget as budget_lib
from mimosahaven import settings as settings_lib
from mimosahaven import shedding
from mimosahaven import status as status_lib
from mimosahaven import table as table_lib
from mimosahaven import targetclient

Code = codes.Code
Metric = metrics_lib.Metric


class Guard:
    """Admission, at-most-once execution and quarantine for the local target.

    Attributes:
      quarantine_enforcer: Applies the quarantine to calls.
      ledger: Records of the non-idempotent calls.
      table: Table in force, None until the first one.
      refusals: Number of refused attempts by code name.
      in_flight_count: Number of attempts that have no result yet.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        call_registry: calls.CallRegistry,
        target_client: targetclient.TargetClient,
        lifecycle: lifecycle_lib.Lifecycle,
        thresholds: shedding.ThresholdMap,
        quarantine: quarantine_lib.Quarantine,
        log: decisions.DecisionLog,
        metrics: metrics_lib.Metrics,
    ):
        self._settings = settings
        self._lifecycle = lifecycle
        self._thresholds = thresholds
        self.quarantine_enforcer = enforcer_lib.QuarantineEnforcer(
            quarantine, target_client
        )
        self._log = log
        self._metrics = metrics
        self._incarnation = incarnation
        self._call_registry = call_registry
        self._target_client = target_client
        self._admission = admission_lib.AdmissionController(settings)
        self._admission_futures: dict[
            admission_lib.AdmissionRequest, asyncio.Future
        ] = {}
        self._admission_requests: dict[str, admission_lib.AdmissionRequest] = {}
        self._result_futures: dict[str, asyncio.Future] = {}
        self.ledger = ledger_lib.Ledger(settings)
        self.table: table_lib.Table | None = None
        self.refusals: collections.Counter[str] = collections.Counter()
        self.in_flight_count = 0

    async def run(
        self, call: messages.Call, waited_ms: float, received_ms: float
    ) -> messages.Result:
        """Runs one attempt of a call, or refuses it.

        Args:
          call: The attempt.
          waited_ms: Queueing delay of the message.
          received_ms: Time of receipt.
        """
        self.in_flight_count += 1
        try:
            context, code = self._validate(call, waited_ms, received_ms)
            if context is None:
                return self._refuse(call, code)
            return await self._run_at_most_once(call, context)
        finally:
            self.in_flight_count -= 1

    def inquire(
        self, request: messages.Inquire, now_ms: float
    ) -> messages.InquiryReply:
        """Reports the state of a call; bars the id of one that is unknown."""
        if request.incarnation != self._incarnation:
            return messages.InquiryReply(
                request.call_id, request.attempt, "other-incarnation"
            )
        inquiry_result = self.ledger.inquire(request.call_id, now_ms)
        return messages.InquiryReply(
            request.call_id,
            request.attempt,
            inquiry_result.state,
            inquiry_result.result,
        )

    def cancel(self, call_id: str, now_ms: float) -> None:
        """Removes a call from the admission queue when its sender timed out."""
        admission_request = self._admission_requests.get(call_id)
        if (
            admission_request is not None
            and admission_request in self._admission_futures
        ):
            self._apply_decisions(
                self._admission.cancel(admission_request, now_ms)
            )
            self._resolve_admission(admission_request, Code.DEADLINE_BEFORE_RUN)

    def status(self, now_ms: float) -> status_lib.GuardStatus:
        """Returns the state for the status page."""
        return status_lib.GuardStatus(
            limit=self._admission.limit,
            running=self._admission.running,
            waiting=self._admission.waiting,
            threshold=self._admission.threshold(now_ms),
            ledger_records=len(self.ledger),
            refusals=dict(self.refusals),
        )

    def tick(self, now_ms: float) -> None:
        """Applies the admission decisions that depend on time."""
        self._apply_decisions(self._admission.tick(now_ms))

    def _validate(
        self, call: messages.Call, waited_ms: float, received_ms: float
    ) -> tuple[calls.CallContext | None, Code]:
        """Returns the context of a call, or None and the code of a refusal."""
        mechanisms = self._settings.mechanisms
        if (
            call.incarnation != self._incarnation
            and mechanisms.incarnation_check
        ):
            return None, Code.WRONG_INCARNATION
        refusal = self._lifecycle.call_refusal(received_ms)
        if refusal is not None:
            return None, refusal
        if not mechanisms.clock_skew:
            waited_ms = 0.0
        if call.remaining_ms <= waited_ms:
            return None, Code.DEADLINE_BEFORE_RUN
        row = self.table.find_row(call.caller, call.kind)
        if row is None:
            return None, Code.UNKNOWN_KIND
        context = calls.CallContext(
            call_id=call.call_id,
            action_id=call.action_id,
            row=row,
            caller=call.caller,
            kind=call.kind,
            priority=identity.priority(row.weight, call.action_id),
            deadline_ms=received_ms + call.remaining_ms - waited_ms,
            budget=budget_lib.budget_for_call(
                mechanisms, call.budget, row.retry_budget
            ),
        )
        return context, Code.OK

    async def _run_at_most_once(
        self, call: messages.Call, context: calls.CallContext
    ) -> messages.Result:
        """Runs a call unless the ledger decides otherwise.

        A copy of a non-idempotent call gets the result of the first copy.
        """
        idempotent = context.is_idempotent(call.method)
        decision = self.ledger.begin(
            call.call_id, call.attempt, idempotent, clock.monotonic_ms()
        )
        if decision.disposition is ledger_lib.LedgerDisposition.REFUSE:
            return self._refuse(call, decision.code)
        if decision.disposition is ledger_lib.LedgerDisposition.ANSWER:
            return decision.result
        if decision.disposition is ledger_lib.LedgerDisposition.WAIT:
            first_result = await asyncio.shield(
                self._result_futures[call.call_id]
            )
            return msgspec.structs.replace(first_result, attempt=call.attempt)
        if idempotent:
            return await self._admit_and_dispatch(call, context)
        result_future = asyncio.get_running_loop().create_future()
        self._result_futures[call.call_id] = result_future
        # Recorded if the task is cancelled or raises.
        result = self._make_result(call, Code.INTERNAL, 0)
        try:
            result = await self._admit_and_dispatch(call, context)
        finally:
            del self._result_futures[call.call_id]
            self.ledger.finish(call.call_id, result, clock.monotonic_ms())
            result_future.set_result(result)
        return result

    async def _admit_and_dispatch(
        self, call: messages.Call, context: calls.CallContext
    ) -> messages.Result:
        """Runs a call once the quarantine and the admission allow it."""
        fingerprint = identity.fingerprint(
            call.caller,
            call.kind,
            call.method,
            f"/{call.service}{call.path}",
            call.body,
        )
        self.quarantine_enforcer.record_strikes(
            call.strikes, clock.monotonic_ms()
        )
        if not await self.quarantine_enforcer.wait_until_allowed(
            fingerprint, context.deadline_ms
        ):
            return self._refuse(call, Code.QUARANTINED)
        admission_request = admission_lib.AdmissionRequest(
            call.call_id,
            context.priority,
            context.row.weight >= self.table.important_weight,
            context.deadline_ms,
        )
        self._admission_requests[call.call_id] = admission_request
        try:
            code = await self._admit(admission_request)
            if code is not None:
                return self._refuse(call, code)
            return await self._dispatch(
                call, context, admission_request, fingerprint
            )
        finally:
            self._admission_requests.pop(call.call_id, None)

    async def _admit(
        self, admission_request: admission_lib.AdmissionRequest
    ) -> Code | None:
        """Waits for admission; returns the code if the call is refused."""
        future = asyncio.get_running_loop().create_future()
        self._admission_futures[admission_request] = future
        self._apply_decisions(
            self._admission.offer(admission_request, clock.monotonic_ms())
        )
        return await future

    def _apply_decisions(
        self, admission_decisions: admission_lib.AdmissionDecisions
    ) -> None:
        for admission_request in admission_decisions.run:
            self._resolve_admission(admission_request, None)
        for admission_request, code in admission_decisions.refused:
            self._resolve_admission(admission_request, code)

    def _resolve_admission(
        self,
        admission_request: admission_lib.AdmissionRequest,
        code: Code | None,
    ) -> None:
        """Ends the wait for admission; the code is None if the call may run."""
        future = self._admission_futures.pop(admission_request, None)
        if future and not future.done():
            future.set_result(code)

    async def _dispatch(
        self,
        call: messages.Call,
        context: calls.CallContext,
        admission_request: admission_lib.AdmissionRequest,
        fingerprint: str,
    ) -> messages.Result:
        """Sends an admitted call to the target and returns its result."""
        started_ms = clock.monotonic_ms()
        if not self.quarantine_enforcer.start_call(fingerprint, started_ms):
            self._finish_admission(
                admission_request, admission_lib.Outcome.ERROR, started_ms
            )
            return self._refuse(call, Code.QUARANTINED)
        self._call_registry.add(context)
        self._log.record(
            decisions.Component.GUARD,
            call.call_id,
            "run here",
            f"load {self._admission.load():.2f}",
            attempt=call.attempt,
        )
        outcome = admission_lib.Outcome.LOST
        complete = False
        strikes = []
        try:
            response = await self._target_client.send(call, context)
            outcome = response.outcome
            complete = response.status != 0
        finally:
            self._call_registry.remove(call.call_id)
            strikes = await self.quarantine_enforcer.finish_call(
                fingerprint, complete, outcome
            )
            self._finish_admission(admission_request, outcome, started_ms)
        now_ms = clock.monotonic_ms()
        result = self._make_result(
            call, response.code, context.budget.remaining
        )
        result.strikes = strikes
        result.status = response.status
        result.headers = response.headers
        result.body = response.body
        result.thresholds = self._thresholds.export(
            context.used_services, now_ms
        )
        return result

    def _finish_admission(
        self,
        admission_request: admission_lib.AdmissionRequest,
        outcome: admission_lib.Outcome,
        started_ms: float,
    ) -> None:
        now_ms = clock.monotonic_ms()
        self._apply_decisions(
            self._admission.finish(
                admission_request, outcome, now_ms - started_ms, now_ms
            )
        )

    def _refuse(self, call: messages.Call, code: Code) -> messages.Result:
        self.refusals[code.name] += 1
        self._metrics.count(Metric.REFUSALS, suffix=code.name)
        self._log.record(
            decisions.Component.GUARD,
            call.call_id,
            "refused",
            codes.describe(code).text,
            code,
            attempt=call.attempt,
        )
        return self._make_result(call, code, call.budget)

    def _make_result(
        self, call: messages.Call, code: Code, unused_budget: int
    ) -> messages.Result:
        return messages.Result(
            call.call_id,
            call.attempt,
            int(code),
            unused_budget=unused_budget,
            load=self._admission.load(),
            threshold=self._admission.threshold(clock.monotonic_ms()),
        )
