"""Parsing of table text, and checks across several rows or fields."""

import json
import re
from typing import Any

# Each attempt needs at least this much of the row's deadline.
ATTEMPT_MIN_MS = 1.0
# The json5 parser took 0.9 s for 64 KB. Above this size its better error
# messages are not worth blocking the event loop.
JSON5_CHARS_MAX = 8_192

_COMMENT_OR_STRING = re.compile(
    r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)


def parse_document(text: str) -> Any:
    """Parses JSON with comments.

    Raises:
      ValueError: The text cannot be parsed, or has a duplicate field.
    """
    plain = _COMMENT_OR_STRING.sub(
        lambda match: match[0] if match[0][0] == '"' else " ", text
    )
    try:
        return json.loads(plain, object_pairs_hook=_make_object)
    except json.JSONDecodeError:
        if len(text) > JSON5_CHARS_MAX:
            raise
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    # Imported here, as most documents do not need its parser.
    import json5

    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"duplicate field: {', '.join(duplicates)}")
    return result


def consistency_faults(raw: Any) -> list[str]:
    """Returns the faults that involve several rows or fields.

    Checks the raw document, so that these faults are reported together with
    those of single fields.
    """
    rows = raw.get("rows") if isinstance(raw, dict) else None
    if not isinstance(rows, list):
        return []
    if not rows:
        return ["rows: no row: every call would be refused"]
    faults: list[str] = []
    first_seen: dict[tuple[Any, Any], int] = {}
    for number, row in enumerate(rows):
        if not isinstance(row, dict):
            continue
        key = (str(row.get("caller")), str(row.get("kind")))
        first = first_seen.setdefault(key, number)
        if first != number:
            faults.append(
                f"rows.{number}: {key[0]}/{key[1]}: same caller and kind as"
                f" rows.{first}"
            )
        faults += _deadline_faults(number, row)
    return faults


def _deadline_faults(number: int, row: dict[str, Any]) -> list[str]:
    deadline_ms, budget = row.get("deadline_ms"), row.get("retry_budget", 0)
    if not isinstance(deadline_ms, int | float) or not isinstance(budget, int):
        return []
    needed_ms = (budget + 1) * ATTEMPT_MIN_MS
    if not 0 < deadline_ms < needed_ms:
        return []
    return [
        f"rows.{number}.deadline_ms: {deadline_ms}: too short for"
        f" {budget + 1} attempts; {needed_ms:g} or more is allowed"
    ]


def truncate(text: str, limit: int) -> str:
    """Returns the text, cut to at most `limit` characters."""
    return text if len(text) <= limit else text[: limit - 3] + "..."
