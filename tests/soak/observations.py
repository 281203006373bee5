"""Observations of the callers and targets of a soak."""

import dataclasses


@dataclasses.dataclass
class CallerAttempt:
    """One attempt of a caller.

    Attributes:
      attempt_id: Id of the attempt.
      kind: Kind of the request, a key of `workload.KINDS`.
      vm: VM to whose daemon it was sent.
      sent_s: When its last byte was sent.
      incarnation: Start count of that daemon at the time.
      connection_reused: Whether the connection carried an earlier request.
      status: Status of the response, or None without one.
      complete: Whether the body was complete and belonged to the request.
      ended_s: When the response was complete or the connection was closed.
      abandoned: Whether the caller closed the connection before a response.
      pipelined: Whether it was sent behind another one without a response.
    """

    attempt_id: str
    kind: str
    vm: int
    sent_s: float
    incarnation: int
    connection_reused: bool
    status: int | None = None
    complete: bool = False
    ended_s: float = 0.0
    abandoned: bool = False
    pipelined: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """One run at a target."""

    attempt_id: str
    target_id: str
    service: str
    method: str
    path: str
    body: bytes
    caller: str
    started_s: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request that has reached a target, whether it runs it or not."""

    attempt_id: str
    target_id: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Announcement:
    """A response with an announcement that a daemon has passed on.

    Attributes:
      vm: VM of the daemon at which the request began.
      target_id: Target that announces.
      at_s: When the response was complete.
      limited: Whether it announces a rate limit.
      leaving: Whether it announces that it leaves.
    """

    vm: int
    target_id: str
    at_s: float
    limited: bool
    leaving: bool


@dataclasses.dataclass
class RateLimit:
    """Time in which a target announces a rate limit."""

    target_id: str
    limit_per_s: float
    start_s: float
    end_s: float = float("inf")


@dataclasses.dataclass
class Disruption:
    """A fault or planned change of one VM, or of the store or the fleet.

    Attributes:
      kind: Name of the fault.
      vm: Affected VM, or None for all.
      planned: Whether it is a planned stop, reload or configuration change.
      start_s: Time of its start.
      end_s: Time of its end, or infinity until then.
    """

    kind: str
    vm: int | None
    planned: bool
    start_s: float
    end_s: float = float("inf")


@dataclasses.dataclass
class DrainStart:
    """A target whose draining state the store has accepted."""

    target_id: str
    started_s: float


@dataclasses.dataclass
class Observations:
    """All observations of one soak.

    Attributes:
      nested_call_ids: Ids of the attempts that targets sent.
      tables: Time and version of each route table that was written.
      stalls: Times at which the soak process itself was not scheduled for a
        while, which makes its measurements around them unreliable.
    """

    attempts: list[CallerAttempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    nested_call_ids: set[str] = dataclasses.field(default_factory=set)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    drain_starts: list[DrainStart] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    announcements: list[Announcement] = dataclasses.field(default_factory=list)
    rate_limits: list[RateLimit] = dataclasses.field(default_factory=list)
    tables: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    stalls: list[float] = dataclasses.field(default_factory=list)
    faults_ended_s: float = 0.0
    ended_s: float = 0.0
