"""Serves incoming calls: identity, row, deadline, then the router."""

import contextlib
import dataclasses
from collections.abc import Callable

from mimosahaven import attempts
from mimosahaven import budget as budget_lib
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import lifecycle as lifecycle_lib
from mimosahaven import messages
from mimosahaven import router as router_lib
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib

Code = codes.Code


@dataclasses.dataclass
class IncomingCall:
    """A request as it arrived at the entry.

    Attributes:
      parent_id: Call of the local target that this call is made for, empty
        for a request of a caller.
      remaining_ms: Time left as the caller stated it, or None.
    """

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: str = ""
    kind: str = ""
    action_id: str = ""
    key: str = ""
    parent_id: str = ""
    remaining_ms: float | None = None


@dataclasses.dataclass
class ServedCall:
    """What the entry answers."""

    result: messages.Result
    action_id: str = ""
    next_action_id: str = ""


class Dispatcher:
    """Serves the calls that arrive at this daemon's entry."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        registry: calls.CallRegistry,
        router: router_lib.Router,
        lifecycle: lifecycle_lib.Lifecycle,
    ):
        self._settings = settings
        self._lifecycle = lifecycle
        self._registry = registry
        self._router = router
        self._issuer = identity.ActionIdIssuer(
            settings.target.name, incarnation
        )
        self._in_flight_count = 0
        # Called with the present time before any other work of a request.
        self.on_event: Callable[[float], None] = lambda now_ms: None
        self.table: table_lib.Table | None = None

    @property
    def in_flight_count(self) -> int:
        """Requests that are being served."""
        return self._in_flight_count

    @contextlib.contextmanager
    def in_flight(self):
        """Counts a request as in flight while it is open."""
        self._in_flight_count += 1
        try:
            yield
        finally:
            self._in_flight_count -= 1

    def issue_action_id(self) -> str:
        """Returns an unused action id."""
        return str(self._issuer.issue(clock.monotonic_ms()))

    def refuse_early(self, parent_id: str) -> Code | None:
        """Returns why a request is refused before its body is read."""
        if parent_id and self._registry.get(parent_id):
            return None
        now_ms = clock.monotonic_ms()
        self.on_event(now_ms)
        return self._lifecycle.refuse_request(now_ms)

    async def serve(self, call: IncomingCall) -> ServedCall:
        """Serves one request of a caller or of the local target."""
        parent = self._registry.get(call.parent_id) if call.parent_id else None
        if parent is not None:
            return ServedCall(await self._serve_nested(call, parent))
        return await self._serve_fresh(call)

    async def _serve_nested(
        self, call: IncomingCall, parent: calls.CallContext
    ) -> messages.Result:
        routed = await self._router.call(
            router_lib.Request(
                call_id=parent.next_child_id(),
                context=parent,
                service=call.service,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
            )
        )
        return routed.result

    async def _serve_fresh(self, call: IncomingCall) -> ServedCall:
        now_ms = clock.monotonic_ms()
        action_id = call.action_id or self.issue_action_id()
        row = self.table.row_for(call.caller, call.kind)
        if row is None:
            return ServedCall(
                attempts.refusal("", 0, Code.UNKNOWN_KIND), action_id
            )
        deadline_ms = row.deadline_ms
        if call.remaining_ms is not None:
            deadline_ms = min(deadline_ms, call.remaining_ms)
        context = calls.CallContext(
            call_id=action_id,
            action_id=action_id,
            row=row,
            caller=call.caller,
            kind=call.kind,
            priority=identity.priority(row.weight, action_id),
            deadline_ms=now_ms + deadline_ms,
            budget=budget_lib.budget_for_call(
                self._settings.mechanisms, row.retry_budget, row.retry_budget
            ),
        )
        routed = await self._router.call(
            router_lib.Request(
                call_id=f"{action_id}/1",
                context=context,
                service=call.service,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
            )
        )
        return ServedCall(routed.result, action_id, self.issue_action_id())
