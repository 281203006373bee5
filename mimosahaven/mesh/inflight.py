"""Requests running on the local target, as parents of the calls it makes."""

import dataclasses

# The ID of a call made by a target consists of the ID of its parent request,
# this separator and an ID of the call itself.
CALL_ID_SEPARATOR = "."


@dataclasses.dataclass(slots=True)
class ParentRequest:
    """A request running on the local target.

    Attributes:
      attempt_id: ID assigned by its caller.
      priority: Shedding priority of the root request.
      root_ms: Start time of the root request on the clock of this daemon.
      deadline_ms: Deadline on the clock of this daemon.
      is_retry: Whether this request or one of its ancestors was sent before.
      tree: Number of runs at each service caused by its calls so far; 0 for a
        service that was called but has not completed a run.
      slot_ms: Time in ms for which these runs occupied slots of each service.
    """

    attempt_id: str
    priority: int
    root_ms: float
    deadline_ms: float
    is_retry: bool
    tree: dict[str, float] = dataclasses.field(default_factory=dict)
    slot_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def record_call(self, service: str) -> None:
        """Records that a service is called, whatever the outcome."""
        self.tree.setdefault(service, 0.0)

    def add_runs(
        self, tree: dict[str, float], slot_ms: dict[str, float]
    ) -> None:
        """Adds the runs caused by one call, and the slot time they took."""
        for service, runs in tree.items():
            self.tree[service] = self.tree.get(service, 0.0) + runs
        for service, time_ms in slot_ms.items():
            self.slot_ms[service] = self.slot_ms.get(service, 0.0) + time_ms


class InFlightRequests:
    """Requests running on the local target, by ID."""

    def __init__(self):
        self._parents: dict[str, ParentRequest] = {}

    def __len__(self) -> int:
        return len(self._parents)

    def add(self, parent: ParentRequest) -> None:
        """Adds a request before it is sent to the target."""
        self._parents[parent.attempt_id] = parent

    def remove(self, parent: ParentRequest) -> None:
        """Removes a completed request."""
        if self._parents.get(parent.attempt_id) is parent:
            del self._parents[parent.attempt_id]

    def parent_of(self, attempt_id: str) -> ParentRequest | None:
        """Returns the parent of a call, or None if it does not run here."""
        parent_id, separator, _ = attempt_id.rpartition(CALL_ID_SEPARATOR)
        return self._parents.get(parent_id) if separator else None
