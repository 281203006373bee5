"""Serves incoming requests: resolves action, row and deadline, then routes."""

import asyncio
import contextlib
from collections.abc import Callable

from mimosahaven import actions as actions_lib
from mimosahaven import attempts
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import entrystats
from mimosahaven import identity
from mimosahaven import incoming
from mimosahaven import lifecycle as lifecycle_lib
from mimosahaven import messages
from mimosahaven import ownerclient
from mimosahaven import router as router_lib
from mimosahaven import rowlimits
from mimosahaven import settings as settings_lib
from mimosahaven import shedding
from mimosahaven import table as table_lib

Code = codes.Code
RunState = codes.RunState
ActionDisposition = actions_lib.ActionDisposition


def _make_served_call(
    result: messages.Result, action_id: str = ""
) -> incoming.ServedCall:
    return incoming.ServedCall(result, result.reported_run_state(), action_id)


class Dispatcher:
    """Serves the requests that arrive at this daemon's entry."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        call_registry: calls.CallRegistry,
        router: router_lib.Router,
        actions: actions_lib.ActionRegistry,
        owner_client: ownerclient.OwnerClient,
        lifecycle: lifecycle_lib.Lifecycle,
        thresholds: shedding.ThresholdMap,
        row_limiter: rowlimits.RowLimiter,
        entry_stats: entrystats.EntryStats,
    ):
        self._settings = settings
        self._call_registry = call_registry
        self._router = router
        self._actions = actions
        self._owner_client = owner_client
        self._lifecycle = lifecycle
        self._thresholds = thresholds
        self._row_limiter = row_limiter
        self._entry_stats = entry_stats
        self._running_actions: dict[identity.ActionId, asyncio.Future] = {}
        self._in_flight_count = 0
        # Called with the current time before a request is processed.
        self.before_request: Callable[[float], None] = lambda now_ms: None
        self.table: table_lib.Table | None = None

    @property
    def in_flight_count(self) -> int:
        """Number of requests that are being served."""
        return self._in_flight_count

    @contextlib.contextmanager
    def in_flight(self):
        """Counts a request as in flight while the context is open."""
        self._in_flight_count += 1
        try:
            yield
        finally:
            self._in_flight_count -= 1

    def issue_action_id(self) -> str:
        """Returns an unused action id."""
        return str(self._actions.issue(clock.monotonic_ms()))

    def early_refusal(self, parent_id: str) -> Code | None:
        """Returns the code to refuse a request with before its body is read.

        A nested call is not refused here if its parent call is in flight.

        Returns:
          The code, or None if the request is not refused.
        """
        now_ms = clock.monotonic_ms()
        self.before_request(now_ms)
        if parent_id and self._call_registry.get(parent_id):
            return None
        return self._lifecycle.request_refusal(now_ms)

    def count_refusal(self, code: Code) -> None:
        """Counts the refusal of a request whose row is not known."""
        self._entry_stats.count_refusal(code)

    async def serve(self, call: incoming.IncomingCall) -> incoming.ServedCall:
        """Serves one request of a caller or of the local target."""
        parent = (
            self._call_registry.get(call.parent_id) if call.parent_id else None
        )
        if parent is not None:
            return await self._serve_nested(call, parent)
        if call.parent_id:
            # The parent call has ended. As a new action, this call would not be
            # limited by the retry budget of the parent's action.
            self.count_refusal(Code.PARENT_ENDED)
            return _make_served_call(
                attempts.result_without_response("", 0, Code.PARENT_ENDED)
            )
        row = self.table.find_row(call.caller, call.kind)
        if row is None:
            code = Code.UNKNOWN_KIND
            if not self.table.has_caller(call.caller):
                code = Code.UNKNOWN_CALLER
            self.count_refusal(code)
            return _make_served_call(
                attempts.result_without_response("", 0, code)
            )
        served = await self._serve_action(call, row)
        self._entry_stats.count_result(row, served.result)
        if not call.forwarded:
            served.next_action_id = self.issue_action_id()
        return served

    async def _serve_nested(
        self, call: incoming.IncomingCall, parent: calls.CallContext
    ) -> incoming.ServedCall:
        outcome = await self._router.call(
            _make_router_request(call, parent.next_child_id(), parent)
        )
        return _make_served_call(outcome.result)

    async def _serve_action(
        self, call: incoming.IncomingCall, row: table_lib.Row
    ) -> incoming.ServedCall:
        now_ms = clock.monotonic_ms()
        # The deadline is at most the action window: a ledger drops the record
        # of a call after the window, and a copy of the call that was still
        # within its deadline would then run again.
        remaining_ms = min(
            row.deadline_ms, self._settings.ledger.action_window_ms
        )
        if call.remaining_ms is not None:
            remaining_ms = min(remaining_ms, call.remaining_ms)
        deadline_ms = now_ms + remaining_ms
        request = actions_lib.ActionRequest(
            caller=call.caller,
            fingerprint=identity.fingerprint(
                call.caller,
                call.kind,
                call.method,
                f"/{call.service}{call.path}",
                call.body,
            ),
            idempotent=row.idempotent or call.method in calls.SAFE_METHODS,
            retry_budget=row.retry_budget,
            action_id=call.action_id,
            key=call.key,
            forwarded=call.forwarded,
        )
        decision = self._actions.decide(request, now_ms)
        if decision.disposition is ActionDisposition.FORWARD:
            served = await self._forward_to_owner(
                call, decision.owner, deadline_ms
            )
            if served is not None:
                return served
            decision = self._actions.decide_without_owner(
                request, Code.OWNER_LOST, clock.monotonic_ms()
            )
        served = await self._execute_decision(call, row, decision, deadline_ms)
        barred = served.result.code == Code.BARRED
        if decision.disposition is ActionDisposition.INQUIRE and barred:
            # The inquiry has shown that the call did not run, and has barred it
            # from running later.
            decision = self._actions.decide(request, clock.monotonic_ms())
            served = await self._execute_decision(
                call, row, decision, deadline_ms
            )
        return served

    async def _execute_decision(
        self,
        call: incoming.IncomingCall,
        row: table_lib.Row,
        decision: actions_lib.ActionDecision,
        deadline_ms: float,
    ) -> incoming.ServedCall:
        action_id = str(decision.action) if decision.action else ""
        self._entry_stats.log_decision(decision, call)
        match decision.disposition:
            case ActionDisposition.REFUSE:
                return _make_served_call(
                    attempts.result_without_response("", 0, decision.code),
                    action_id,
                )
            case ActionDisposition.ANSWER:
                return incoming.ServedCall(
                    decision.result, decision.run_state, action_id
                )
            case ActionDisposition.WAIT:
                return await self._wait_for_running(decision, deadline_ms)
            case ActionDisposition.INQUIRE:
                return await self._run_shared(
                    decision, self._inquire(decision, deadline_ms)
                )
            case _:
                return await self._run_shared(
                    decision, self._run(call, row, decision, deadline_ms)
                )

    async def _forward_to_owner(
        self, call: incoming.IncomingCall, owner: str, deadline_ms: float
    ) -> incoming.ServedCall | None:
        """Forwards a request; returns None if the owner did not serve it."""
        forwarded = incoming.to_message(call)
        result = await self._owner_client.forward(forwarded, owner, deadline_ms)
        if result is None:
            return None
        return _make_served_call(result, call.action_id)

    async def _wait_for_running(
        self, decision: actions_lib.ActionDecision, deadline_ms: float
    ) -> incoming.ServedCall:
        future = self._running_actions[decision.action]
        wait_ms = max(0.0, deadline_ms - clock.monotonic_ms())
        try:
            return await asyncio.wait_for(
                asyncio.shield(future), wait_ms / 1000
            )
        except TimeoutError:
            return _make_served_call(
                attempts.result_without_response("", 0, Code.STILL_RUNNING),
                str(decision.action),
            )

    async def _run_shared(
        self, decision: actions_lib.ActionDecision, operation
    ) -> incoming.ServedCall:
        """Awaits a run or inquiry; requests waiting for it share its result."""
        future = asyncio.get_running_loop().create_future()
        self._running_actions[decision.action] = future
        # This outcome is recorded if the operation is cancelled or raises.
        outcome = router_lib.CallOutcome(
            attempts.result_without_response("", 0, Code.INTERNAL)
        )
        try:
            outcome = await operation
        finally:
            state = self._actions.finish(
                decision,
                outcome.result,
                clock.monotonic_ms(),
                outcome.attempt_ref,
            )
            served = incoming.ServedCall(
                outcome.result, state, str(decision.action)
            )
            del self._running_actions[decision.action]
            future.set_result(served)
        return served

    async def _inquire(
        self, decision: actions_lib.ActionDecision, deadline_ms: float
    ) -> router_lib.CallOutcome:
        result = await self._owner_client.inquire(
            decision.call_id, decision.attempt_ref, deadline_ms
        )
        return router_lib.CallOutcome(result)

    async def _run(
        self,
        call: incoming.IncomingCall,
        row: table_lib.Row,
        decision: actions_lib.ActionDecision,
        deadline_ms: float,
    ) -> router_lib.CallOutcome:
        action_id = str(decision.action)
        context = calls.CallContext(
            call_id=action_id,
            action_id=action_id,
            row=row,
            caller=call.caller,
            kind=call.kind,
            priority=identity.priority(row.weight, action_id),
            deadline_ms=deadline_ms,
            budget=decision.budget,
        )
        refusal = self._run_refusal(call, context)
        if refusal is not None:
            self._entry_stats.log_refusal(decision.call_id, refusal)
            return router_lib.CallOutcome(
                attempts.result_without_response("", 0, refusal)
            )
        outcome = await self._router.call(
            _make_router_request(call, decision.call_id, context)
        )
        self._entry_stats.count_retries(row, context.retry_count)
        if outcome.result.code == Code.OK:
            self._thresholds.record_services_used(
                call.service,
                call.kind,
                context.used_services - {call.service},
            )
        return outcome

    def _run_refusal(
        self, call: incoming.IncomingCall, context: calls.CallContext
    ) -> Code | None:
        """Returns the code to refuse a call with at the entry, or None."""
        now_ms = clock.monotonic_ms()
        important = context.row.weight >= self.table.important_weight
        if self._thresholds.should_shed(
            call.service, call.kind, context.priority, important, now_ms
        ):
            return Code.SHED_AT_ENTRY
        if not self._row_limiter.try_acquire(context.row, now_ms):
            return Code.ROW_LIMIT
        return None


def _make_router_request(
    call: incoming.IncomingCall, call_id: str, context: calls.CallContext
) -> router_lib.Request:
    return router_lib.Request(
        call_id=call_id,
        context=context,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
    )
