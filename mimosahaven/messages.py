"""Messages between daemons and their codec."""

import msgspec

from mimosahaven import codes
from mimosahaven import errors

PROTOCOL_VERSION = 1
# Highest version of a document that messages can carry.
VERSION_MAX = 2**63 - 1


class UnsupportedVersionError(errors.MimosahavenError):
    """A message has an unsupported protocol version.

    Attributes:
      version: Version found in the message.
    """

    def __init__(self, version: int):
        super().__init__(
            codes.Code.VERSION_UNSUPPORTED, f"protocol version {version}"
        )
        self.version = version


class MalformedMessageError(errors.MimosahavenError):
    """Bytes do not decode to a message of this protocol."""

    def __init__(self, detail: str):
        super().__init__(codes.Code.MALFORMED, detail)


class Message(
    msgspec.Struct, array_like=True, tag_field="type", omit_defaults=True
):
    """Base class of all messages."""


class Hello(Message, tag=1):
    """Opens a link; sent_ms is the sender's monotonic clock."""

    target: str
    incarnation: str
    sent_ms: float


class HelloAck(Message, tag=2):
    """Acknowledges Hello; echo_ms is the sent_ms of the Hello."""

    target: str
    incarnation: str
    sent_ms: float
    echo_ms: float


class Ping(Message, tag=3):
    """Heartbeat of a link that is in use."""

    sent_ms: float


class Pong(Message, tag=4):
    """Replies to Ping; echo_ms is the sent_ms of the Ping."""

    sent_ms: float
    echo_ms: float


class Strike(Message, tag=11):
    """A call that was in flight when a target crashed.

    Attributes:
      fingerprint: Hash of the call's content.
      crash_id: Id of the crash: target name, incarnation, number.
      alone: True if the call had a suspect fingerprint and no other suspect
        was in flight; see quarantine.Quarantine.
    """

    fingerprint: str
    crash_id: str
    alone: bool


class Call(Message, tag=5):
    """One attempt of a call.

    Attributes:
      call_id: Id of the call, the same for all its attempts.
      attempt: Number of the attempt, from 0.
      action_id: Action that the call belongs to.
      incarnation: Incarnation of the daemon that is to handle the attempt.
      sent_ms: Sender's monotonic clock.
      remaining_ms: Time from sent_ms to the deadline.
      budget: Part of the retry budget that is passed down the call chain.
      forwarded: True when an entry forwards a caller's request to its owner.
      key: Idempotency key of a forwarded request.
      strikes: Strikes caused by earlier attempts of the call. By gossip
        alone, they could reach the guard after this attempt.
    """

    call_id: str
    attempt: int
    action_id: str
    caller: str
    kind: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    incarnation: str
    sent_ms: float
    remaining_ms: float
    budget: int
    forwarded: bool = False
    key: str = ""
    strikes: list[Strike] = []


class Result(Message, tag=6):
    """Outcome of an attempt.

    Attributes:
      code: Result code.
      status: HTTP status of the target, 0 when there is none.
      unused_budget: Unused part of the retry budget, which is returned.
      thresholds: Shed threshold and its age in ms, for each downstream service.
      load: Outstanding calls of the guard, divided by its limit.
      threshold: Shed threshold of this guard.
      run_state: Whether any attempt ran, if the code describes only the last
        one; empty if the code describes them all.
      incarnation: Incarnation that the attempt was sent to; set by the sender
        of the attempt.
      strikes: Strikes of the call, if the target crashed while running it.
    """

    call_id: str
    attempt: int
    code: int
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    unused_budget: int = 0
    thresholds: dict[str, tuple[int, float]] = {}
    load: float = 0.0
    threshold: int = 0
    run_state: str = ""
    incarnation: str = ""
    strikes: list[Strike] = []

    def reported_run_state(self) -> codes.RunState:
        """Returns whether the call ran, over all its attempts."""
        if self.run_state:
            return codes.RunState(self.run_state)
        return codes.describe(codes.Code(self.code)).run_state


class Inquire(Message, tag=7):
    """Requests the outcome of a call.

    An unknown call is barred: a copy that arrives later is refused.
    """

    call_id: str
    attempt: int
    incarnation: str


class InquiryReply(Message, tag=8):
    """Replies to Inquire.

    Attributes:
      state: "done", "running", "barred" or "other-incarnation".
      result: The outcome if the state is "done".
    """

    call_id: str
    attempt: int
    state: str
    result: Result | None = None


class Cancel(Message, tag=9):
    """Tells a guard that no caller waits for a call any more."""

    call_id: str


class SelfReport(Message, tag=10):
    """Report of a daemon about itself.

    Attributes:
      state: "starting", "ready" or "leaving".
      sequence: Increases with each change of the report in an incarnation.
    """

    target: str
    service: str
    incarnation: str
    state: str
    sequence: int


class Clear(Message, tag=12):
    """Reports that a call with a suspect fingerprint has succeeded."""

    fingerprint: str


class TableFault(msgspec.Struct, array_like=True, frozen=True):
    """A table that was refused.

    Attributes:
      code: TABLE_INVALID, TABLE_CONFLICT or TABLE_OLDER.
      version: Version of the refused table, 0 if it is unknown.
      text_hash: Hash of its text.
      against: Version in force when it was refused; a newer table clears the
        fault.
      detail: The faults in one line.
    """

    code: int
    version: int
    text_hash: str
    against: int
    detail: str


class Digest(Message, tag=13):
    """Gossip digest.

    Attributes:
      report: The sender's own report.
      table_version: Version of its table, 0 for none.
      table_hash: Hash of the table's text.
      list_version: Version of its list of VMs, 0 for none.
      platform_age_ms: Time since the last platform response that the sender
        knows of, to itself or to another daemon; negative for never.
      surplus: Surplus tokens by row id.
      reports: Recent reports about other daemons.
      strikes: Recent strikes.
      table_faults: Refused tables that every daemon is to report.
      reply_wanted: True if the receiver is to reply with its digest.
      sent_ms: Sender's monotonic clock.
      echo_ms: In a reply, sent_ms of the digest that requested it.
    """

    report: SelfReport
    table_version: int
    table_hash: str
    list_version: int
    platform_age_ms: float
    surplus: dict[str, float] = {}
    reports: list[SelfReport] = []
    strikes: list[Strike] = []
    table_faults: list[TableFault] = []
    reply_wanted: bool = False
    sent_ms: float = 0.0
    echo_ms: float = 0.0


class TableDocument(Message, tag=14):
    """The text of a table."""

    version: int
    text: str


class ListDocument(Message, tag=15):
    """The text of a list of VMs."""

    version: int
    text: str


class DocumentRequest(Message, tag=16):
    """Requests a peer's table or list if it is newer."""

    table_version: int
    list_version: int


class TokenRequest(Message, tag=17):
    """Requests tokens of a row from a peer of the same failure domain."""

    row: str
    amount: float


class TokenGrant(Message, tag=18):
    """Grants tokens that the sender has already deducted."""

    row: str
    amount: float


AnyMessage = (
    Hello
    | HelloAck
    | Ping
    | Pong
    | Call
    | Result
    | Inquire
    | InquiryReply
    | Cancel
    | SelfReport
    | Strike
    | Clear
    | Digest
    | TableDocument
    | ListDocument
    | DocumentRequest
    | TokenRequest
    | TokenGrant
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Encodes a message with the protocol version as its first byte."""
    buffer = bytearray((PROTOCOL_VERSION,))
    _encoder.encode_into(message, buffer, 1)
    return bytes(buffer)


def decode(data: bytes) -> AnyMessage:
    """Decodes a message.

    Raises:
      UnsupportedVersionError: The message has another protocol version.
      MalformedMessageError: The bytes are not a valid message.
    """
    if not data:
        raise MalformedMessageError("empty message")
    if data[0] != PROTOCOL_VERSION:
        raise UnsupportedVersionError(data[0])
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from error
