"""Runs calls of other daemons on the local target."""

import asyncio

from mimosahaven import admission as admission_lib
from mimosahaven import budget as budget_lib
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import messages
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib
from mimosahaven import targetclient

Code = codes.Code


class Guard:
    """Stands in front of the local target."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        registry: calls.CallRegistry,
        client: targetclient.TargetClient,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._registry = registry
        self._client = client
        self._admission = admission_lib.Admission(settings)
        self._waiting: dict[admission_lib.Ticket, asyncio.Future] = {}
        self.table: table_lib.Table | None = None
        self.leaving = False
        self.in_flight_count = 0

    async def run(
        self, call: messages.Call, waited_ms: float, received_ms: float
    ) -> messages.Result:
        """Runs one attempt, or refuses it.

        Args:
          call: The attempt.
          waited_ms: Time that it waited in buffers before it was received.
          received_ms: Time of receipt.
        """
        self.in_flight_count += 1
        try:
            return await self._run(call, waited_ms, received_ms)
        finally:
            self.in_flight_count -= 1

    async def _run(
        self, call: messages.Call, waited_ms: float, received_ms: float
    ) -> messages.Result:
        context, code = self._check(call, waited_ms, received_ms)
        if context is None:
            return self._result(call, code, call.budget)
        ticket = admission_lib.Ticket(
            call.call_id,
            context.priority,
            context.row.weight >= self.table.important_weight,
            context.deadline_ms,
        )
        code = await self._admit(ticket)
        if code is not None:
            return self._result(call, code, call.budget)
        return await self._dispatch(call, context, ticket)

    def tick(self, now_ms: float) -> None:
        """Takes the decisions that time makes due."""
        self._apply(self._admission.tick(now_ms))

    def _check(
        self, call: messages.Call, waited_ms: float, received_ms: float
    ) -> tuple[calls.CallContext | None, Code]:
        if call.incarnation != self._incarnation:
            return None, Code.WRONG_INCARNATION
        if self.leaving:
            return None, Code.LEAVING
        if self.table is None:
            return None, Code.STARTING
        deadline_ms = received_ms + call.remaining_ms - waited_ms
        if deadline_ms <= received_ms:
            return None, Code.DEADLINE_BEFORE_RUN
        row = self.table.row_for(call.caller, call.kind)
        if row is None:
            return None, Code.UNKNOWN_KIND
        context = calls.CallContext(
            call_id=call.call_id,
            action_id=call.action_id,
            row=row,
            caller=call.caller,
            kind=call.kind,
            priority=identity.priority(row.weight, call.action_id),
            deadline_ms=deadline_ms,
            budget=budget_lib.ChainBudget(call.budget),
        )
        return context, Code.OK

    async def _admit(self, ticket: admission_lib.Ticket) -> Code | None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._apply(self._admission.offer(ticket, clock.monotonic_ms()))
        return await future

    def _apply(self, verdicts: admission_lib.Verdicts) -> None:
        for ticket in verdicts.run:
            self._settle(ticket, None)
        for ticket, code in verdicts.refused:
            self._settle(ticket, code)

    def _settle(self, ticket: admission_lib.Ticket, code: Code | None) -> None:
        future = self._waiting.pop(ticket, None)
        if future and not future.done():
            future.set_result(code)

    async def _dispatch(
        self,
        call: messages.Call,
        context: calls.CallContext,
        ticket: admission_lib.Ticket,
    ) -> messages.Result:
        started_ms = clock.monotonic_ms()
        self._registry.add(context)
        outcome = admission_lib.Outcome.LOST
        try:
            answer = await self._client.send(call, context)
            outcome = answer.outcome
        finally:
            self._registry.remove(call.call_id)
            now_ms = clock.monotonic_ms()
            self._apply(
                self._admission.finish(
                    ticket, outcome, now_ms - started_ms, now_ms
                )
            )
        result = self._result(call, answer.code, context.budget.remaining)
        result.status = answer.status
        result.headers = answer.headers
        result.body = answer.body
        return result

    def _result(
        self, call: messages.Call, code: Code, unused_budget: int
    ) -> messages.Result:
        now_ms = clock.monotonic_ms()
        return messages.Result(
            call.call_id,
            call.attempt,
            int(code),
            unused_budget=unused_budget,
            load=self._admission.load(),
            threshold=self._admission.threshold(now_ms),
        )
