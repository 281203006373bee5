"""Sends calls to targets and resolves what became of them."""

import asyncio
import dataclasses

from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import fleet as fleet_lib
from mimosahaven import links as links_lib
from mimosahaven import messages
from mimosahaven import routing
from mimosahaven import settings as settings_lib

Code = codes.Code
RunState = codes.RunState


@dataclasses.dataclass
class Request:
    """One call that is to be sent to a service.

    Attributes:
      call_id: Identity of the call.
      context: The call or action that it is made for.
      headers: Headers for the target, without hop-by-hop ones.
    """

    call_id: str
    context: calls.CallContext
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def idempotent(self) -> bool:
        """Whether the call may run twice."""
        return self.context.is_idempotent(self.method)


@dataclasses.dataclass
class Pending:
    """An attempt whose result is awaited."""

    target: str
    incarnation: str
    future: asyncio.Future


def refusal(call_id: str, attempt: int, code: Code) -> messages.Result:
    """Returns a result without an answer of the target."""
    return messages.Result(call_id, attempt, int(code))


def run_state(result: messages.Result) -> RunState:
    """Returns whether the call behind a result ran."""
    return codes.describe(Code(result.code)).run_state


class Router:
    """Routes calls to the targets of services."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        hub: links_lib.LinkHub,
        fleet: fleet_lib.FleetView,
        chooser: routing.Chooser,
    ):
        self._settings = settings
        self._hub = hub
        self._fleet = fleet
        self._chooser = chooser
        self._pending: dict[tuple[str, int], Pending] = {}
        self.unmatched_count = 0

    async def call(self, request: Request) -> messages.Result:
        """Sends a call, with retries as the budget allows.

        Returns:
          The result of the last attempt.
        """
        tried: set[str] = set()
        attempt = 0
        while True:
            result = await self._attempt(request, attempt, tried)
            if not self._may_retry(request, result):
                return result
            if not request.context.budget.take():
                return result
            attempt += 1

    def _may_retry(self, request: Request, result: messages.Result) -> bool:
        code = Code(result.code)
        if code in (Code.OK, Code.OK_FROM_LEDGER, Code.NO_TARGET):
            return False
        if clock.monotonic_ms() >= request.context.deadline_ms:
            return False
        return request.idempotent or run_state(result) is RunState.NOT_RUN

    async def _attempt(
        self, request: Request, attempt: int, tried: set[str]
    ) -> messages.Result:
        now_ms = clock.monotonic_ms()
        if now_ms >= request.context.deadline_ms:
            return refusal(request.call_id, attempt, Code.DEADLINE_BEFORE_RUN)
        member = self._chooser.choose(
            self._fleet.targets(request.service), tried, now_ms
        )
        if member is None:
            return refusal(request.call_id, attempt, Code.NO_TARGET)
        tried.add(member.target)
        link = self._hub.link_to(member.target, member.host, member.link_port)
        return await self._send(request, attempt, link)

    async def _send(
        self, request: Request, attempt: int, link: links_lib.Link
    ) -> messages.Result:
        context = request.context
        if not await _wait_up(link, context.deadline_ms):
            return refusal(request.call_id, attempt, Code.NO_TARGET)
        future = asyncio.get_running_loop().create_future()
        key = (request.call_id, attempt)
        self._pending[key] = Pending(link.target, link.incarnation, future)
        part = context.budget.delegate()
        try:
            now_ms = clock.monotonic_ms()
            remaining_ms = context.deadline_ms - now_ms
            sent = link.send(
                messages.Call(
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
                    incarnation=link.incarnation,
                    sent_ms=now_ms,
                    remaining_ms=remaining_ms,
                    budget=part,
                ),
                now_ms,
            )
            if not sent:
                context.budget.give_back(part)
                return refusal(request.call_id, attempt, Code.NO_TARGET)
            result = await asyncio.wait_for(future, remaining_ms / 1000)
        except TimeoutError:
            link.send(messages.Cancel(request.call_id), clock.monotonic_ms())
            return refusal(request.call_id, attempt, Code.TIMEOUT)
        finally:
            del self._pending[key]
        context.budget.give_back(min(part, result.unused_budget))
        return result

    def on_answer(
        self, link: links_lib.Link, message: messages.AnyMessage
    ) -> None:
        """Takes in a message from a daemon that calls were sent to."""
        if not isinstance(message, messages.Result):
            return
        pending = self._pending.get((message.call_id, message.attempt))
        if pending is None or pending.target != link.target:
            self.unmatched_count += 1
        elif not pending.future.done():
            pending.future.set_result(message)

    def on_link_lost(self, link: links_lib.Link) -> None:
        """Ends the attempts that were in flight on a link."""
        for (call_id, attempt), pending in list(self._pending.items()):
            if pending.target == link.target and not pending.future.done():
                pending.future.set_result(
                    refusal(call_id, attempt, Code.LINK_LOST)
                )


async def _wait_up(link: links_lib.Link, deadline_ms: float) -> bool:
    if link.up.is_set():
        return True
    wait_ms = min(1_000.0, deadline_ms - clock.monotonic_ms())
    try:
        await asyncio.wait_for(link.up.wait(), max(0.0, wait_ms) / 1000)
    except TimeoutError:
        return False
    return True
