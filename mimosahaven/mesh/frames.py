"""Messages between daemons and their framing on a TCP connection.

A connection carries one exchange at a time: Run, then Accepted while it goes
on, then Answer (and Data up to End), Refused or Failed. After Follow it carries
State, Sign and News to the follower only. Back pressure is that of TCP.
"""

import struct

import msgspec

from mimosahaven import codes
from mimosahaven import errors
from mimosahaven.mesh import records

FRAME_BYTES_MAX = 80_000_000
_LENGTH = struct.Struct(">I")

HeaderList = list[tuple[bytes, bytes]]


class FrameError(errors.MimosahavenError):
    """Bytes of a peer that are no frame."""

    def __init__(self, detail: str):
        super().__init__(codes.Code.MALFORMED, detail)


class Load(msgspec.Struct, array_like=True, gc=False):
    """State of a target, and what its daemon knows of deeper services.

    Attributes:
      running: Requests that the target processes.
      waiting: Requests that wait at its daemon.
      limit: Requests that its daemon lets run at a time; 0 while the target
        does not answer.
      mean_ms: Mean time of a run.
      threshold: Priority below which the target's daemon wants no new
        requests; 0 refuses nothing.
      thresholds: Thresholds of other services above 0, with their ages in ms.
      table_version: Version of the routes in force.
      list_revision: Revision of the list of targets.
    """

    running: int
    waiting: int
    limit: int
    mean_ms: float
    threshold: int
    thresholds: dict[str, tuple[int, float]]
    table_version: int
    list_revision: int


class _Frame(msgspec.Struct, array_like=True, tag=True):
    pass


class Run(_Frame):
    """A request for the local target of the receiver.

    Attributes:
      sender_host: VM of the sender, where its newer versions are to be had.
      send_id: Identity of this send.
      attempt_id: Identity that the caller gave to the request.
      target_id: Target that is meant; another one must not run it.
      once: Whether it may run at most once.
      priority: Shedding priority of the root request; higher goes first.
      root_age_ms: Time since the root request began.
      remaining_ms: Time that is left.
      repeat: Whether it, or the request it serves, was sent before.
      caller: Service at which the request began.
      method: HTTP method.
      path: Path with query, unchanged.
      headers: Headers of the caller that concern more than the connection.
      body: The whole body.
      table_version: Version of the routes at the sender.
      list_revision: Revision of the list of targets at the sender.
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


class Accepted(_Frame):
    """The run has arrived and goes on; sent from time to time."""

    load: Load


class Answer(_Frame):
    """Head of the target's answer and its body, or the first part of it.

    Attributes:
      status: HTTP status.
      reason: Reason phrase.
      headers: Headers that concern more than the connection.
      body: Body, or its start.
      more: Whether Data frames follow.
      load: State of the target.
      tree: Runs at each service that the request took, itself included.
    """

    status: int
    reason: bytes
    headers: HeaderList
    body: bytes
    more: bool
    load: Load
    tree: dict[str, float]


class Data(_Frame):
    """A further part of a body."""

    body: bytes


class End(_Frame):
    """End of a body that came in parts."""

    whole: bool


class Refused(_Frame):
    """The run has not been started and never will be.

    Attributes:
      code: Result code.
      arrived: Whether the target itself has refused it.
      load: State of the target.
    """

    code: int
    arrived: bool
    load: Load


class Failed(_Frame):
    """The run may have been started; no answer can be given."""

    code: int
    load: Load


class Cancel(_Frame):
    """The caller has left."""


class Ping(_Frame):
    """Asks for the state of the receiver."""

    sender_host: str
    table_version: int
    list_revision: int


class Pong(_Frame):
    """Answers a Ping."""

    load: Load


class Inquire(_Frame):
    """Asks what became of a send, and bars it if it has never arrived."""

    send_id: str


class Fetch(_Frame):
    """Asks for routes and targets newer than these."""

    table_version: int
    list_revision: int


class State(_Frame):
    """Routes and targets of the sender; None for what is not newer.

    Attributes:
      table: The routes.
      targets: All targets.
      list_revision: Revision of the list.
      lapsing: Targets that the store lacks since an outage, with the time in
        ms for which they are still kept.
    """

    table: records.RouteTable | None
    targets: list[records.Target] | None
    list_revision: int
    lapsing: dict[str, float]


class Follow(_Frame):
    """Asks for what is newer than these versions, now and from now on."""

    table_version: int
    list_revision: int


class Sign(_Frame):
    """Sign of life for the daemons that follow the sender.

    Attributes:
      has_store: Whether the sender watches the store and has its answers.
      table_version: Version of the routes in force.
      list_revision: Revision of the list of targets.
    """

    has_store: bool
    table_version: int
    list_revision: int


class News(_Frame):
    """A change of routes or targets, for the daemons that follow the sender.

    Attributes:
      after: Revision of the list that the change builds on.
      list_revision: Revision of the list with the change.
      table: The routes, when they have changed.
      changed: Targets that are new or have changed.
      gone: Targets that are gone.
      lapsing: Targets that are gone unless they come back within a time in ms.
    """

    after: int
    list_revision: int
    table: records.RouteTable | None
    changed: list[records.Target]
    gone: list[str]
    lapsing: dict[str, float]


class Crash(_Frame):
    """The target beside the sender has crashed.

    Attributes:
      ran_ms: Requests that it was running, by fingerprint, with the time for
        which each had been running.
    """

    ran_ms: dict[str, float]


class Clear(_Frame):
    """A request that was running at a crash has succeeded since."""

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
    """Returns a frame with its length in front."""
    body = _ENCODER.encode(frame)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Cuts the bytes of a connection into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that are complete.

        Raises:
          FrameError: The bytes are no frames.
        """
        buffer = self._buffer
        buffer += data
        found: list[Frame] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > FRAME_BYTES_MAX:
                raise FrameError(f"frame of {length} bytes")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            try:
                found.append(
                    _DECODER.decode(buffer[start + _LENGTH.size : end])
                )
            except msgspec.MsgspecError as error:
                raise FrameError(str(error)) from error
            start = end
        if start:
            del buffer[:start]
        return found
