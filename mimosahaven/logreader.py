"""Finds the log lines of mesh daemons about one request."""

import time
from collections.abc import Iterable

import msgspec

from mimosahaven.mesh import eventlog
from mimosahaven.mesh import inflight

_DECODER = msgspec.json.Decoder(eventlog.Line)


def parse_line(text: str) -> eventlog.Line | None:
    """Parses a log line; returns None for any other text.

    Args:
      text: A line; text before the JSON, such as the prefix of a log collector,
        is skipped.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        return _DECODER.decode(text[start:])
    except msgspec.MsgspecError:
        return None


def find_lines(lines: Iterable[str], attempt_id: str) -> list[eventlog.Line]:
    """Returns the lines about a request and its nested calls, by time."""
    nested_prefix = attempt_id + inflight.CALL_ID_SEPARATOR
    found = []
    for text in lines:
        # Most lines are about other requests; decoding all costs much more.
        if attempt_id not in text:
            continue
        line = parse_line(text)
        if line and (
            line.id == attempt_id or line.id.startswith(nested_prefix)
        ):
            found.append(line)
    return sorted(found, key=lambda line: line.at_ms)


def format_line(line: eventlog.Line, attempt_id: str) -> str:
    """Returns a line as human-readable text."""
    seconds, ms = divmod(line.at_ms, 1000)
    clock = time.strftime("%H:%M:%S", time.gmtime(seconds))
    call_suffix = line.id.removeprefix(attempt_id)
    call_text = f" call {call_suffix}" if call_suffix else ""
    code = f" ({line.code})" if line.code else ""
    return f"{clock}.{ms:03d} {line.vm}{call_text}: {line.event}{code}" + (
        f": {line.detail}" if line.detail else ""
    )
