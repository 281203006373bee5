"""What callers and targets of a soak have seen."""

import dataclasses


@dataclasses.dataclass
class Ask:
    """One attempt of a caller.

    Attributes:
      attempt: Its identity.
      kind: Kind of the request, a key of `world.KINDS`.
      vm: VM at which it was sent.
      sent_s: When its last byte was sent.
      incarnation: Start of that VM's daemon that was running then.
      kept: Whether the connection had carried a request before.
      status: Status of the answer, or None when there was none.
      whole: Whether the body was the one of the request, complete.
      ended_s: When the answer was complete or the connection had ended.
      gave_up: Whether the caller left before an answer.
    """

    attempt: str
    kind: str
    vm: int
    sent_s: float
    incarnation: int
    kept: bool
    status: int | None = None
    whole: bool = False
    ended_s: float = 0.0
    gave_up: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """One run at a target."""

    attempt: str
    target_id: str
    service: str
    method: str
    path: str
    body: bytes
    caller: str
    at_s: float


@dataclasses.dataclass
class Disturbance:
    """A fault of one VM, of the store, or of all.

    Attributes:
      what: Its kind.
      vm: VM it concerns, or None for all.
      planned: Whether it is a planned stop or a reload.
      start_s: When it began.
      end_s: When it had ended, infinity while it goes on.
    """

    what: str
    vm: int | None
    planned: bool
    start_s: float
    end_s: float = float("inf")


@dataclasses.dataclass
class Leaving:
    """A target whose leaving the store has accepted."""

    target_id: str
    at_s: float


@dataclasses.dataclass
class Seen:
    """Everything that one soak has shown.

    Attributes:
      calls: Identities of the calls that targets made, with their service.
      stalls: Times at which the soak itself did not run for a while; what it
        measures then is not to be trusted.
    """

    asks: list[Ask] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    calls: set[str] = dataclasses.field(default_factory=set)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    leavings: list[Leaving] = dataclasses.field(default_factory=list)
    tables: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    stalls: list[float] = dataclasses.field(default_factory=list)
    calm_since_s: float = 0.0
    ended_s: float = 0.0
