"""Operators' table of callers and kinds of request."""

import dataclasses
import hashlib
from typing import Annotated
from typing import Any

import pydantic

from mimosahaven import codes
from mimosahaven import dissemination
from mimosahaven import errors
from mimosahaven import messages
from mimosahaven import tabletext

WILDCARD = "*"
PLATFORM_SOURCE = "platform"
RATE_LIMIT_MAX_PER_S = 1_000_000
FAULTS_MAX = 4
FAULT_DETAIL_CHARS_MAX = 120
FAULT_VALUE_CHARS_MAX = 60

Code = codes.Code


class TableError(errors.MimosahavenError):
    """One fault in a table."""

    def __init__(self, detail: str):
        super().__init__(Code.TABLE_INVALID, detail)


class _TableModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class Row(_TableModel):
    """Weight and limits of one caller and kind of request; "*" matches any."""

    caller: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    kind: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    weight: Annotated[int, pydantic.Field(ge=0, le=100)]
    idempotent: bool
    deadline_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)]
    retry_budget: Annotated[int, pydantic.Field(ge=0, le=16)] = 0
    rate_limit_per_s: (
        Annotated[float, pydantic.Field(gt=0, le=RATE_LIMIT_MAX_PER_S)] | None
    ) = None

    @property
    def row_id(self) -> str:
        """Name of the row in logs and messages."""
        return f"{self.caller}/{self.kind}"


class ServiceRow(_TableModel):
    """Settings for the targets of one service.

    Attributes:
      not_run_statuses: HTTP statuses by which a target reports "not run".
    """

    not_run_statuses: list[Annotated[int, pydantic.Field(ge=400, le=599)]] = []


class Table(_TableModel):
    """A valid table.

    Attributes:
      important_weight: Rows with at least this weight are important: their
        calls may use reserved slots and are not shed at the entry.
    """

    version: Annotated[int, pydantic.Field(ge=1, le=messages.VERSION_MAX)]
    important_weight: Annotated[int, pydantic.Field(ge=0, le=100)] = 50
    rows: list[Row]
    services: dict[str, ServiceRow] = {}
    _rows_by_key: dict[tuple[str, str], Row] = pydantic.PrivateAttr(
        default_factory=dict
    )

    def model_post_init(self, context: Any, /) -> None:
        """Indexes the rows by caller and kind."""
        super().model_post_init(context)
        for row in self.rows:
            self._rows_by_key.setdefault((row.caller, row.kind), row)

    def find_row(self, caller: str, kind: str) -> Row | None:
        """Returns the most specific row; the caller takes precedence."""
        lookup = self._rows_by_key.get
        return (
            lookup((caller, kind))
            or lookup((caller, WILDCARD))
            or lookup((WILDCARD, kind))
            or lookup((WILDCARD, WILDCARD))
        )

    def has_caller(self, caller: str) -> bool:
        """Returns whether a row names the caller."""
        return any(row.caller == caller for row in self.rows)


def text_hash(text: str) -> str:
    """Returns the hash that identifies the text of a table."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def parse_table(text: str) -> Table:
    """Parses and checks the text of a table.

    Raises:
      ExceptionGroup: Contains one TableError for each fault.
    """
    try:
        raw = tabletext.parse_document(text)
    except ValueError as error:
        raise ExceptionGroup(
            "invalid table", [TableError(str(error))]
        ) from error
    faults: list[TableError] = []
    table = None
    try:
        table = Table.model_validate(raw)
    except pydantic.ValidationError as error:
        for fault in error.errors():
            field = ".".join(map(str, fault["loc"])) or "(document)"
            value = tabletext.truncate(
                repr(fault["input"]), FAULT_VALUE_CHARS_MAX
            )
            faults.append(TableError(f"{field}: {value}: {fault['msg']}"))
    faults += [
        TableError(detail) for detail in tabletext.consistency_faults(raw)
    ]
    if faults:
        raise ExceptionGroup("invalid table", faults)
    return table


@dataclasses.dataclass(frozen=True)
class OfferResult:
    """Result of offering a table to a TableStore.

    Attributes:
      accepted: True if the table has newly come into force.
      code: Why it was refused; None if accepted or already in force.
      faults: One line for each fault.
    """

    accepted: bool
    code: Code | None = None
    faults: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ReportedFault:
    """A fault that the daemon reports in its status.

    Attributes:
      fault: The fault, as sent by gossip.
      source: Where the faulty table, or the report of it, came from.
      first_seen_ms: When this daemon first saw it.
    """

    fault: messages.TableFault
    source: str
    first_seen_ms: float

    def describe(self) -> str:
        """Returns the fault as one line of text."""
        fault = self.fault
        return f"{Code(fault.code).name} from {self.source}: {fault.detail}"


class TableStore:
    """Holds the table in force and the faults of refused tables.

    Args:
      ordered: False turns the version checks off: any valid table replaces
        the one in force.
    """

    def __init__(self, ordered: bool = True):
        self.table: Table | None = None
        self.text = ""
        self.hash = ""
        self.source = ""
        self.in_force_since_ms = 0.0
        self._ordered = ordered
        self._faults: dict[tuple[int, int, str], ReportedFault] = {}
        self._invalid_hashes = dissemination.SeenSet()

    @property
    def version(self) -> int:
        """Version of the table in force, 0 for none."""
        return self.table.version if self.table else 0

    @property
    def faults(self) -> list[ReportedFault]:
        """Faults that no newer table has resolved, oldest first."""
        return list(self._faults.values())

    def offer(self, text: str, source: str, now_ms: float) -> OfferResult:
        """Puts a table in force if it is valid and newer.

        Args:
          text: Text of the table.
          source: PLATFORM_SOURCE or the name of the peer that sent it.
          now_ms: Current time.
        """
        offered_hash = text_hash(text)
        if self.table and offered_hash == self.hash:
            return OfferResult(accepted=False)
        try:
            table = parse_table(text)
        except ExceptionGroup as group:
            self._invalid_hashes.add(offered_hash)
            details = tuple(error.detail for error in group.exceptions)
            return self._refuse(
                Code.TABLE_INVALID, 0, offered_hash, details, source, now_ms
            )
        code = self._check_order(table.version)
        if code:
            detail = f"version {table.version}; {self.version} is in force"
            return self._refuse(
                code, table.version, offered_hash, (detail,), source, now_ms
            )
        self.table, self.text, self.hash = table, text, offered_hash
        self.source, self.in_force_since_ms = source, now_ms
        self._drop_resolved_faults()
        return OfferResult(accepted=True)

    def is_known_invalid(self, offered_hash: str) -> bool:
        """Returns whether this daemon itself found that text invalid.

        Reports of other daemons do not count: during an upgrade, a daemon of
        an older release may refuse a text that is valid here.
        """
        return offered_hash in self._invalid_hashes

    def check_peer_version(
        self, version: int, peer_hash: str, source: str, now_ms: float
    ) -> None:
        """Records a conflict if a peer has another text of the same version."""
        if self.table and version == self.version and peer_hash != self.hash:
            detail = f"version {version} has another text at {source}"
            self._refuse(
                Code.TABLE_CONFLICT,
                version,
                peer_hash,
                (detail,),
                source,
                now_ms,
            )

    def record_peer_fault(
        self, fault: messages.TableFault, source: str, now_ms: float
    ) -> None:
        """Records a fault that a peer reports, unless it is resolved here."""
        if fault.against >= self.version:
            self._add_fault(ReportedFault(fault, source, now_ms))

    def faults_to_gossip(self) -> list[messages.TableFault]:
        """Returns the faults that every daemon should report.

        An older table only concerns the daemon that read it.
        """
        return [
            reported.fault
            for reported in self._faults.values()
            if reported.fault.code != Code.TABLE_OLDER
        ]

    def _check_order(self, version: int) -> Code | None:
        if not self._ordered or version > self.version:
            return None
        older = version < self.version
        return Code.TABLE_OLDER if older else Code.TABLE_CONFLICT

    def _refuse(
        self,
        code: Code,
        version: int,
        offered_hash: str,
        details: tuple[str, ...],
        source: str,
        now_ms: float,
    ) -> OfferResult:
        # Delayed gossip delivers older tables in normal operation; from the
        # platform they indicate stale data or an operator's mistake.
        if code is not Code.TABLE_OLDER or source == PLATFORM_SOURCE:
            detail = tabletext.truncate(
                "; ".join(details), FAULT_DETAIL_CHARS_MAX
            )
            fault = messages.TableFault(
                int(code), version, offered_hash, self.version, detail
            )
            self._add_fault(ReportedFault(fault, source, now_ms))
        return OfferResult(False, code, details)

    def _add_fault(self, reported: ReportedFault) -> None:
        fault = reported.fault
        key = (fault.code, fault.version, fault.text_hash)
        if len(self._faults) < FAULTS_MAX:
            self._faults.setdefault(key, reported)

    def _drop_resolved_faults(self) -> None:
        self._faults = {
            key: reported
            for key, reported in self._faults.items()
            if reported.fault.against >= self.version
        }
