"""The operators' table of callers and request kinds."""

import hashlib
from typing import Annotated

import json5
import pydantic

from mimosahaven import codes
from mimosahaven import errors

ANY = "*"


class TableError(errors.MimosahavenError):
    """One fault of a table."""

    def __init__(self, detail: str):
        super().__init__(codes.Code.TABLE_INVALID, detail)


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Row(_Part):
    """Weight and limits of one caller and kind of request; "*" is any."""

    caller: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    kind: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    weight: Annotated[int, pydantic.Field(ge=0, le=100)]
    idempotent: bool
    deadline_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)]
    retry_budget: Annotated[int, pydantic.Field(ge=0, le=16)] = 0
    rate_limit_per_s: Annotated[float, pydantic.Field(gt=0)] | None = None

    @property
    def row_id(self) -> str:
        """Name of the row in logs and messages."""
        return f"{self.caller}/{self.kind}"


class ServiceRow(_Part):
    """What holds for the targets of one service."""

    not_run_statuses: list[Annotated[int, pydantic.Field(ge=400, le=599)]] = []


class Table(_Part):
    """A checked table."""

    version: Annotated[int, pydantic.Field(ge=1)]
    important_weight: Annotated[int, pydantic.Field(ge=0, le=100)] = 50
    rows: list[Row]
    services: dict[str, ServiceRow] = {}

    def row_for(self, caller: str, kind: str) -> Row | None:
        """Returns the most specific row: the caller's name goes first."""
        for key in ((caller, kind), (caller, ANY), (ANY, kind), (ANY, ANY)):
            for row in self.rows:
                if (row.caller, row.kind) == key:
                    return row
        return None


def text_hash(text: str) -> str:
    """Returns the hash that identifies the text of a table."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def parse_table(text: str) -> Table:
    """Parses and checks the text of a table.

    Raises:
      ExceptionGroup: Of TableError, one for each fault.
    """
    try:
        raw = json5.loads(text)
    except ValueError as error:
        raise ExceptionGroup("table", [TableError(str(error))]) from error
    try:
        return Table.model_validate(raw)
    except pydantic.ValidationError as error:
        faults = [
            TableError(
                f"{'.'.join(map(str, f['loc']))}: {f['input']!r}: {f['msg']}"
            )
            for f in error.errors()
        ]
        raise ExceptionGroup("table", faults) from error
