"""Observations of the callers and targets of a soak."""

import dataclasses


@dataclasses.dataclass
class CallerAttempt:
    """One attempt of a caller.

    Attributes:
      attempt_id: Its identity.
      kind: Kind of the request, a key of `workload.KINDS`.
      vm: VM at which it was sent.
      sent_s: When its last byte was sent.
      incarnation: Start of that VM's daemon that was running then.
      connection_reused: Whether the connection had carried a request before.
      status: Status of the answer, or None when there was none.
      complete: Whether the body was complete and belonged to the request.
      ended_s: When the answer was complete or the connection had ended.
      abandoned: Whether the caller left before an answer.
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


@dataclasses.dataclass
class Disruption:
    """A fault of one VM, of the store, or of all.

    Attributes:
      kind: Its kind.
      vm: VM it concerns, or None for all.
      planned: Whether it is a planned stop or a reload.
      start_s: When it began.
      end_s: When it had ended, infinity while it goes on.
    """

    kind: str
    vm: int | None
    planned: bool
    start_s: float
    end_s: float = float("inf")


@dataclasses.dataclass
class DrainStart:
    """A target whose leaving the store has accepted."""

    target_id: str
    started_s: float


@dataclasses.dataclass
class Observations:
    """Everything that one soak has shown.

    Attributes:
      nested_call_ids: Identities of the calls that targets made.
      stalls: Times at which the soak itself did not run for a while; what it
        measures then is not to be trusted.
    """

    attempts: list[CallerAttempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    nested_call_ids: set[str] = dataclasses.field(default_factory=set)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    drain_starts: list[DrainStart] = dataclasses.field(default_factory=list)
    tables: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    stalls: list[float] = dataclasses.field(default_factory=list)
    faults_ended_s: float = 0.0
    ended_s: float = 0.0
