"""Contexts of the calls in flight at this daemon."""

import dataclasses

from mimosahaven import retrybudget as budget_lib
from mimosahaven import table as table_lib

# Safe methods by RFC 9110, which do not change the state of the server.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass
class CallContext:
    """Context that nested calls inherit from their parent call.

    Attributes:
      call_id: Identity of the call.
      action_id: Action that the call belongs to.
      row: Row of the table that applies.
      priority: Shedding priority.
      deadline_ms: Deadline on this daemon's monotonic clock.
      budget: Share of the action's retry budget held at this daemon.
      used_services: Services further down the call graph that its nested
        calls have reached.
      retry_count: Retries of the calls made on behalf of this one.
    """

    call_id: str
    action_id: str
    row: table_lib.Row
    caller: str
    kind: str
    priority: int
    deadline_ms: float
    budget: budget_lib.ChainBudget
    used_services: set[str] = dataclasses.field(default_factory=set)
    retry_count: int = 0
    _child_count: int = 0

    def next_child_id(self) -> str:
        """Returns the identity of the next nested call."""
        self._child_count += 1
        return f"{self.call_id}.{self._child_count}"

    def is_idempotent(self, method: str) -> bool:
        """Returns whether a call with this method may run twice."""
        return self.row.idempotent or method in SAFE_METHODS


class CallRegistry:
    """Contexts of the calls that the local target is running."""

    def __init__(self):
        self._calls: dict[str, CallContext] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, context: CallContext) -> None:
        """Adds a call before it is dispatched."""
        self._calls[context.call_id] = context

    def remove(self, call_id: str) -> None:
        """Removes a call that has ended."""
        self._calls.pop(call_id, None)

    def get(self, call_id: str) -> CallContext | None:
        """Returns the context of a call, or None if it is not in flight."""
        return self._calls.get(call_id)
