"""Routes, limits and targets, as the mesh knows them."""

import enum

import msgspec

SERVING_STATE = "serving"
DRAINING_STATE = "draining"


class RepeatRule(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    DOWNLOAD = "download"


class Share(msgspec.Struct, frozen=True):
    """Part of the requests of a route that goes to one service.

    Attributes:
      service: The service.
      weight: Its part, in the proportion of all weights of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests with one host and path prefix are handled.

    Attributes:
      name: Name in logs.
      host: Value of the Host header.
      prefix: Start of the path; it begins and ends with a slash.
      repeat_rule: Whether a request may run more than once.
      timeout_ms: Longest time that a caller waits.
      objective_ms: Time within which an answer earns its full credit.
      rank: Importance; 0 is the highest.
      targets_max: Targets to which one request may be sent.
      shares: Services that run the requests.
    """

    name: str
    host: str
    prefix: str
    repeat_rule: RepeatRule
    timeout_ms: float
    objective_ms: float
    rank: int
    targets_max: int
    shares: tuple[Share, ...]

    @property
    def at_most_once(self) -> bool:
        """Whether a request may run at most once."""
        return self.repeat_rule is RepeatRule.ONCE


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 67_108_864
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits = CallerLimits()


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """One target as the platform's list describes it.

    Attributes:
      target_id: Identity of this start of the target.
      service: Its service.
      host: IP number of its VM.
      port: Port at which the daemon beside it reaches it.
      failure_domain: Where it stands.
      slots: Requests that it processes at a time.
      state: SERVING_STATE or DRAINING_STATE.
      cold_ms: Time that it remained slow when the entry was written.
      revision: Revision of the platform's store that wrote the entry.
    """

    target_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: str
    cold_ms: float = 0.0
    revision: int = 0
