"""Data types for routes, limits and targets."""

import enum

import msgspec

SERVING_STATE = "serving"
DRAINING_STATE = "draining"
# ID of a target and the time of its start, in Unix milliseconds.
Incarnation = tuple[str, int]
# A revision is an integer of 63 bits: the low ones hold its number in the
# store, those above them the epoch.
_REVISION_NUMBER_BITS = 40
REVISION_NUMBER_MAX = (1 << _REVISION_NUMBER_BITS) - 1
EPOCH_MAX = (1 << 63 - _REVISION_NUMBER_BITS) - 1


def revision(epoch: int, number: int) -> int:
    """Returns a revision that is higher than all those of earlier epochs.

    The store counts its revisions anew when it is restored from an older copy.
    Such a restore begins a new epoch.

    Args:
      epoch: Number of the store's epoch, up to EPOCH_MAX.
      number: Revision as given by the store, up to REVISION_NUMBER_MAX.
    """
    return epoch << _REVISION_NUMBER_BITS | number


def epoch_of(revision_: int) -> int:
    """Returns the epoch of a revision."""
    return revision_ >> _REVISION_NUMBER_BITS


def number_of(revision_: int) -> int:
    """Returns a revision as the store gives it."""
    return revision_ & REVISION_NUMBER_MAX


def describe_revision(revision_: int) -> str:
    """Returns a revision as text: the epoch, a dot and the number."""
    return f"{epoch_of(revision_)}.{number_of(revision_)}"


class RepeatRule(enum.Enum):
    """Whether a request may run more than once.

    ONCE requests must not; IDEMPOTENT and DOWNLOAD requests may. The responses
    to DOWNLOAD requests are large.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    DOWNLOAD = "download"


class Share(msgspec.Struct, frozen=True):
    """Share of a route's requests that goes to one service.

    Attributes:
      service: The service.
      weight: Weight relative to the sum of all weights of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Handling of requests with one host and path prefix.

    Attributes:
      name: Name in logs.
      host: Value of the Host header.
      prefix: Path prefix; it begins and ends with a slash.
      repeat_rule: Whether a request may run more than once.
      timeout_ms: Longest time that a caller waits.
      objective_ms: Latency within which a response earns full credit.
      rank: Importance; 0 is the highest.
      targets_max: Maximum number of targets that one request may be sent to.
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
    """Limits on the size of requests and on slow or idle callers."""

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
    """One target as described by the platform's list.

    Attributes:
      target_id: ID of this incarnation of the target.
      service: Its service.
      host: IP number of its VM.
      port: Port on which the daemon on the same VM reaches it.
      failure_domain: Failure domain of its VM.
      slots: Number of requests that it processes at a time.
      state: SERVING_STATE or DRAINING_STATE.
      cold_ms: Remaining cold-start time when the entry was written.
      revision: Store revision that wrote the entry.
      started_unix_ms: When this incarnation started. A target may start again
        under the ID that it had.
      sequence: The target's own count of its writes, from its start.
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
    started_unix_ms: int = 0
    sequence: int = 0

    @property
    def written_order(self) -> tuple[int, int]:
        """Order in which a target has written its entries.

        Unlike revisions, it is kept when the store is restored.
        """
        return self.started_unix_ms, self.sequence

    @property
    def incarnation(self) -> Incarnation:
        """Identifies this start of the target."""
        return self.target_id, self.started_unix_ms
