"""Requests that the local target is running, for the calls that it makes."""

import dataclasses

# Calls of a target bear the id of the request they serve, this separator and
# an id of their own.
CALL_ID_SEPARATOR = "."


@dataclasses.dataclass(slots=True)
class ParentRequest:
    """A request at the local target.

    Attributes:
      attempt_id: Identity that its caller gave it.
      priority: Shedding priority of the root request.
      root_ms: When the root request began, on the clock of this daemon.
      deadline_ms: Deadline on the clock of this daemon.
      is_retry: Whether it, or the request it serves, was sent before.
      tree: Runs at each service that its calls have taken so far; 0 at a
        service that was called and has not run one yet.
    """

    attempt_id: str
    priority: int
    root_ms: float
    deadline_ms: float
    is_retry: bool
    tree: dict[str, float] = dataclasses.field(default_factory=dict)

    def record_call(self, service: str) -> None:
        """Notes that a call to a service is made, whatever comes of it."""
        self.tree.setdefault(service, 0.0)

    def add_runs(self, tree: dict[str, float]) -> None:
        """Adds the runs that one call has taken."""
        for service, runs in tree.items():
            self.tree[service] = self.tree.get(service, 0.0) + runs


class InFlightRequests:
    """The requests at the local target, by identity."""

    def __init__(self):
        self._parents: dict[str, ParentRequest] = {}

    def __len__(self) -> int:
        return len(self._parents)

    def add(self, parent: ParentRequest) -> None:
        """Adds a request before it is sent to the target."""
        self._parents[parent.attempt_id] = parent

    def remove(self, parent: ParentRequest) -> None:
        """Removes a request that has ended."""
        if self._parents.get(parent.attempt_id) is parent:
            del self._parents[parent.attempt_id]

    def parent_of(self, attempt_id: str) -> ParentRequest | None:
        """Returns the request that a call is made for, if it runs here."""
        head, separator, _ = attempt_id.rpartition(CALL_ID_SEPARATOR)
        return self._parents.get(head) if separator else None
