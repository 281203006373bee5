"""Data types for routes, limits and targets.

The bounds of the fields are checked where a record is decoded, from the store
or from a peer. They are far beyond what a platform uses. Within them, numbers
can be passed on to peers and their sums are finite.
"""

import enum
import socket
from typing import Annotated

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

# Numbers up to this have the same value in JSON, in frames and as floats.
INTEGER_MAX = 2**53
# Keys of the store have at most 200 bytes.
TargetId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Name = Annotated[str, msgspec.Meta(max_length=1_024)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Integer = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Up to a year.
Ms = Annotated[float, msgspec.Meta(ge=0, le=31_536_000_000)]
PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=31_536_000_000)]


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


def require_ipv4(host: str) -> None:
    """Checks that a host is an IPv4 address.

    Raises:
      ValueError: It is not.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"{host[:40]!r}: not an IPv4 address") from None


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

    service: Name
    weight: Weight


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

    name: Name
    host: Name
    prefix: Name
    repeat_rule: RepeatRule
    timeout_ms: PositiveMs
    objective_ms: Ms
    rank: Rank
    targets_max: Count
    shares: tuple[Share, ...]

    @property
    def at_most_once(self) -> bool:
        """Whether a request may run at most once."""
        return self.repeat_rule is RepeatRule.ONCE


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of requests and on slow or idle callers."""

    header_bytes_max: Integer = 16_384
    body_bytes_max: Integer = 67_108_864
    header_timeout_ms: Ms = 3_000.0
    idle_timeout_ms: Ms = 15_000.0


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration."""

    version: Integer
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

    target_id: TargetId
    service: Name
    host: str
    port: Port
    failure_domain: Name
    slots: Slots
    state: Name
    cold_ms: Ms = 0.0
    revision: Revision = 0
    started_unix_ms: Integer = 0
    sequence: Integer = 0

    def __post_init__(self):
        require_ipv4(self.host)

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
