"""Calls in flight at this daemon."""

import dataclasses

from mimosahaven import retrybudget as budget_lib
from mimosahaven import table as table_lib

# Methods that are safe by RFC 9110: they never change anything.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass
class CallContext:
    """What nested calls inherit from the call that they are made for.

    Attributes:
      call_id: Identity of the call.
      action_id: Action that the call belongs to.
      row: Row of the table that applies.
      priority: Shedding priority.
      deadline_ms: Deadline on this daemon's monotonic clock.
      budget: Part of the retry budget held here.
      used_services: Services below that its nested calls have reached.
      retry_count: Attempts after the first of the calls made for this one.
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
    _children: int = 0

    def next_child_id(self) -> str:
        """Returns the identity of the next nested call."""
        self._children += 1
        return f"{self.call_id}.{self._children}"

    def is_idempotent(self, method: str) -> bool:
        """Returns whether a call with this method may run twice."""
        return self.row.idempotent or method in SAFE_METHODS


class CallRegistry:
    """The calls that the local target is running."""

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
        """Returns the call, or None when it is not in flight here."""
        return self._calls.get(call_id)
