"""Messages between daemons and their framing on a TCP connection.

A connection carries one exchange at a time: Run, followed by Accepted while
the run is in progress, then by Answer (and Data until End), Refused or Failed.
After Follow, it carries only State, Sign and News, towards the follower. The
protocol relies on TCP for backpressure.
"""

import struct

import msgspec

from mimosahaven import codes
from mimosahaven import errors
from mimosahaven.mesh import records

# Leaves room for the headers of a request whose body has the largest size that
# is allowed by default, 64 MiB.
FRAME_BYTES_MAX = 80_000_000
_LENGTH = struct.Struct(">I")

HeaderList = list[tuple[bytes, bytes]]


class FrameError(errors.MimosahavenError):
    """Bytes from a peer are not a valid frame."""

    def __init__(self, detail: str):
        super().__init__(codes.Code.MALFORMED, detail)


class Load(msgspec.Struct, array_like=True, gc=False):
    """Load of a target, and shed thresholds of downstream services.

    Attributes:
      running: Requests that the target is processing.
      waiting: Requests queued at its daemon.
      limit: Maximum number of requests that its daemon runs concurrently; 0
        while the target does not respond.
      mean_ms: Mean duration of a run.
      threshold: Priority below which the target's daemon refuses new
        requests; 0 refuses nothing.
      thresholds: Thresholds above 0 of other services, with their ages in ms.
      table_version: Version of the route table in force.
      list_revision: Revision of the target list.
    """

    running: int
    waiting: int
    limit: int
    mean_ms: float
    threshold: int
    thresholds: dict[str, tuple[int, float]]
    table_version: int
    list_revision: int


class RecordGeneration(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Generation of the records that a daemon keeps of at-most-once sends.

    Attributes:
      incarnation: Incarnation of the daemon; a restarted daemon has another.
      number: Number of the generation within the incarnation.
    """

    incarnation: str
    number: int


class _Frame(msgspec.Struct, array_like=True, tag=True):
    pass


class Run(_Frame):
    """A request to be run by the local target of the receiver.

    Attributes:
      sender_host: VM of the sender, from which newer versions of the route
        table and the target list can be fetched.
      send_id: Unique ID of this send.
      attempt_id: ID that the caller gave to the request.
      target_id: Intended target; no other one may run the request.
      once: Whether the request may run at most once.
      priority: Shedding priority of the root request; higher runs first.
      root_age_ms: Time since the root request began.
      remaining_ms: Time left until the deadline.
      repeat: Whether this request or its parent is a retry.
      caller: Service from which the request originates.
      method: HTTP method.
      path: Path with query, unchanged.
      headers: End-to-end headers of the caller.
      body: Complete body.
      table_version: Version of the route table at the sender.
      list_revision: Revision of the target list at the sender.
      rate_limit_per_s: Rate limit of the target in the latest response of it
        that the sender has passed on; None for no limit.
      generation: Generation of records in the Pong that preceded an
        at-most-once run; None if there was none in it.
      rerouted: Whether the request has waited in the queue of a target that
        leaves.
    """

    sender_host: str
    send_id: str
    attempt_id: str
    target_id: str
    once: bool
    priority: int
    root_age_ms: float
    remaining_ms: float
    repeat: bool
    caller: str
    method: str
    path: bytes
    headers: HeaderList
    body: bytes
    table_version: int
    list_revision: int
    rate_limit_per_s: float | None = None
    generation: RecordGeneration | None = None
    rerouted: bool = False


class Accepted(_Frame):
    """Confirms that a run has arrived and is in progress; sent repeatedly."""

    load: Load


class Answer(_Frame):
    """Head of the target's response, with its body or the first part of it.

    Attributes:
      status: HTTP status.
      reason: Reason phrase.
      headers: End-to-end headers.
      body: Body, or its first part.
      more: Whether Data frames follow.
      load: Load of the target.
      tree: Runs at each service that the request required, itself included.
      slot_ms: Time in ms for which these runs occupied slots of each service.
    """

    status: int
    reason: bytes
    headers: HeaderList
    body: bytes
    more: bool
    load: Load
    tree: dict[str, float]
    slot_ms: dict[str, float] = msgspec.field(default_factory=dict)


class Data(_Frame):
    """The next part of a streamed body."""

    body: bytes


class End(_Frame):
    """End of a streamed body.

    Attributes:
      whole: Whether the body is complete; False if it was cut short.
    """

    whole: bool


class Refused(_Frame):
    """The run was not started and never will be.

    Attributes:
      code: Result code.
      arrived: Whether the target itself refused it.
      load: Load of the target.
      generation: In reply to an Inquire, the generation of the records that
        show it; None if there are no such records.
      queued: Whether the run had been waiting in the queue of the daemon.
    """

    code: int
    arrived: bool
    load: Load
    generation: RecordGeneration | None = None
    queued: bool = False


class Failed(_Frame):
    """The run may have been started, but there is no usable response."""

    code: int
    load: Load


class Cancel(_Frame):
    """Cancels the run, since its caller has disconnected."""


class Ping(_Frame):
    """Requests the load of the receiver's target."""

    sender_host: str
    table_version: int
    list_revision: int


class Pong(_Frame):
    """Reply to a Ping.

    Attributes:
      load: Load of the target.
      generation: Current generation of the records of at-most-once sends.
    """

    load: Load
    generation: RecordGeneration | None = None


class Inquire(_Frame):
    """Requests the outcome of a send.

    If the send has not arrived, the receiver bars it: it refuses the run if it
    arrives later. A receiver that no longer has the records of the generation
    cannot tell whether the send has arrived.

    Attributes:
      send_id: ID of the send.
      generation: Generation of records that the send named.
    """

    send_id: str
    generation: RecordGeneration | None = None


class Fetch(_Frame):
    """Requests the routes and targets newer than the given versions."""

    table_version: int
    list_revision: int


class State(_Frame):
    """Routes and targets known to the sender; None for what is not newer.

    Attributes:
      table: Route table.
      targets: All targets.
      list_revision: Revision of the target list.
      lapsing: Targets missing from the store since an outage, with the time
        in ms for which they are still kept.
    """

    table: records.RouteTable | None
    targets: list[records.Target] | None
    list_revision: int
    lapsing: dict[str, float]


class Follow(_Frame):
    """Subscribes to everything newer than the given versions."""

    table_version: int
    list_revision: int


class Sign(_Frame):
    """Heartbeat for the daemons that follow the sender.

    Attributes:
      has_store: Whether the sender gets the changes of the store: from its own
        watch or, as a relay, from a daemon that watches.
      table_version: Version of the route table in force.
      list_revision: Revision of the target list.
      watches_store: Whether it gets them from its own watch.
    """

    has_store: bool
    table_version: int
    list_revision: int
    watches_store: bool = False


class News(_Frame):
    """Update of routes or targets for the daemons that follow the sender.

    Attributes:
      after: Revision of the target list to which the update applies.
      list_revision: Revision of the target list after the update.
      table: Route table, if it has changed.
      changed: Targets that were added or have changed.
      gone: IDs of the targets that were removed.
      lapsing: Targets to be removed unless they reappear, with the time in ms
        after which this happens.
    """

    after: int
    list_revision: int
    table: records.RouteTable | None
    changed: list[records.Target]
    gone: list[str]
    lapsing: dict[str, float]


class Crash(_Frame):
    """Reports a crash of the sender's local target.

    Attributes:
      ran_ms: Time for which each request had been running at the crash, by
        fingerprint.
    """

    ran_ms: dict[str, float]


class Clear(_Frame):
    """Reports that a request involved in a crash has since succeeded."""

    fingerprint: str


Frame = (
    Run
    | Accepted
    | Answer
    | Data
    | End
    | Refused
    | Failed
    | Cancel
    | Ping
    | Pong
    | Inquire
    | Fetch
    | State
    | Follow
    | Sign
    | News
    | Crash
    | Clear
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns a frame as msgpack, prefixed with its length."""
    body = _ENCODER.encode(frame)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Incremental decoder for the byte stream of a connection."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether a part of a frame has arrived."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Adds data and returns the frames that are now complete.

        Raises:
          FrameError: The data is not a valid frame.
        """
        buffer = self._buffer
        buffer += data
        decoded: list[Frame] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > FRAME_BYTES_MAX:
                raise FrameError(f"frame of {length} bytes exceeds the limit")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            try:
                decoded.append(
                    _DECODER.decode(buffer[start + _LENGTH.size : end])
                )
            except (msgspec.MsgspecError, RecursionError) as error:
                raise FrameError(str(error)) from error
            start = end
        if start:
            del buffer[:start]
        return decoded
