"""Format of the status that a daemon serves at `GET /-/status`."""

import enum

import msgspec


class TargetState(enum.Enum):
    """State of a target as one daemon sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    # Ejected by this daemon's router, or unreachable from it.
    SUSPECT = "suspect"


class TargetStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """A target as one daemon sees it.

    Attributes:
      out_for_ms: Time until a suspect target is tried again.
      outstanding: Attempts of this daemon that have not finished.
      latency_ms: Moving average, None before the first result.
      threshold: Last shed threshold that the target's guard reported.
    """

    target: str
    service: str
    failure_domain: str
    host: str
    entry_port: int
    state: TargetState
    out_for_ms: float = 0.0
    outstanding: int = 0
    latency_ms: float | None = None
    threshold: int = 0


class TableStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """The table in force and the last refused table.

    Attributes:
      version: Version in force, 0 if there is none.
      text_hash: Hash of its text.
      age_ms: Time since it came into force at this daemon.
      source: Where it came from: "platform" or the name of a peer's target.
      fault_code: Code of the last refused table, 0 if none was refused since
        the table in force.
      fault_text: Reason why that table was refused.
    """

    version: int = 0
    text_hash: str = ""
    age_ms: float = 0.0
    source: str = ""
    fault_code: int = 0
    fault_text: str = ""


class RowStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests of one row received by this daemon's entry since its start.

    Attributes:
      row: Caller and kind, joined by "/".
      calls: Requests that have finished.
      complete: Requests with a complete response.
      refusals: Requests without a complete response, by code name.
      retries: Attempts after the first.
    """

    row: str
    calls: int = 0
    complete: int = 0
    refusals: dict[str, int] = {}
    retries: int = 0


class GuardStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Admission control in front of the local target.

    Attributes:
      limit: Concurrency limit.
      threshold: Shed threshold.
      refusals: Calls refused since the start, by code name.
    """

    limit: float = 0.0
    running: int = 0
    waiting: int = 0
    threshold: int = 0
    ledger_records: int = 0
    refusals: dict[str, int] = {}


class RetryStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Attempts of this router since the start.

    Attributes:
      attempts: All attempts.
      retries: Attempts after the first.
      denied: Retries that a budget or the retry ratio did not allow.
    """

    attempts: int = 0
    retries: int = 0
    denied: int = 0


class QuarantineStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """A fingerprint that was in flight when targets crashed.

    Attributes:
      strikes: Number of crashes since its last success.
      held: True if calls with it are refused, False while it is only suspect.
      remaining_ms: Time until it is no longer quarantined or suspect.
    """

    fingerprint: str
    strikes: int
    held: bool
    remaining_ms: float = 0.0


class PauseStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Pauses of the daemon's process.

    Attributes:
      last_gap_ms: Length of the last pause.
    """

    count: int = 0
    last_gap_ms: float = 0.0


class DaemonStatus(
    msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True
):
    """State of one daemon.

    Attributes:
      program_version: Version of the package.
      state: "starting", "ready", "resuming" or "leaving".
      uptime_ms: Time since the start.
      list_version: Version of the list of VMs in force.
      list_age_ms: Time since that list came into force at this daemon.
      platform_contact_age_ms: Age of the newest contact with the platform
        that this daemon knows of, None if it knows of none.
      results_unmatched: Duplicate, late and foreign results dropped.
      messages_malformed: Malformed messages of other daemons, dropped.
      bytes_sent: Bytes of all messages to other daemons since the start.
      bytes_received: Bytes of all messages from other daemons.
      messages_sent: Messages to other daemons since the start.
      messages_received: Messages from other daemons since the start.
      links: Open links to other daemons.
      routes: Daemons that sent a message to this one in the last minute.
      log_lines_dropped: Log lines dropped because standard error was blocked.
    """

    target: str
    service: str
    failure_domain: str
    region: str = ""
    incarnation: str
    program_version: str
    state: str
    uptime_ms: float
    table: TableStatus
    list_version: int = 0
    list_age_ms: float = 0.0
    platform_contact_age_ms: float | None = None
    targets: list[TargetStatus] = []
    rows: list[RowStatus] = []
    guard: GuardStatus = GuardStatus()
    retries: RetryStatus = RetryStatus()
    quarantine: list[QuarantineStatus] = []
    pauses: PauseStatus = PauseStatus()
    results_unmatched: int = 0
    messages_malformed: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    links: int = 0
    routes: int = 0
    log_lines_dropped: int = 0


def encode(status: DaemonStatus) -> bytes:
    """Encodes a status as JSON."""
    return msgspec.json.encode(status)


def decode(data: bytes) -> DaemonStatus:
    """Decodes a status.

    Raises:
      msgspec.ValidationError: The JSON is not a status.
      msgspec.DecodeError: The bytes are not JSON.
    """
    return msgspec.json.decode(data, type=DaemonStatus)
