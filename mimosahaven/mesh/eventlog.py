"""Structured log of the mesh on standard output, bounded in volume."""

import time

import msgspec

from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven.mesh import metrics as metrics_lib

# Lines a second. Routine lines give way first.
ROUTINE_LINES_PER_S = 60
TROUBLE_LINES_PER_S = 200


class Line(msgspec.Struct, omit_defaults=True):
    """One line.

    Attributes:
      at_ms: Wall clock in Unix milliseconds.
      vm: VM of the daemon.
      event: What was decided or has happened.
      id: Request that it is about.
      code: Result code.
      detail: Inputs of the decision, with their age or version.
      dropped: Lines left out since the last one.
    """

    at_ms: int
    vm: str
    event: str
    id: str = ""
    code: int = 0
    detail: str = ""
    dropped: int = 0


class EventLog:
    """Writes lines in batches; it never blocks.

    Args:
      vm: Name of the VM.
      sink: Takes the text of whole lines.
    """

    def __init__(self, vm: str, sink: decisions.NonBlockingSink):
        self._vm = vm
        self._sink = sink
        self._encoder = msgspec.json.Encoder()
        self._lines: list[bytes] = []
        self._second = 0
        self._routine = 0
        self._trouble = 0
        self._dropped = 0
        self.metrics = metrics_lib.MetricsRegistry()

    def event(self, event: str, detail: str = "", code: int = 0) -> None:
        """Logs a change of what the daemon knows or does."""
        self.metrics.count("events", event)
        self._write(event, "", code, detail)

    def request(
        self, attempt_id: str, event: str, code: codes.Code, detail: str
    ) -> None:
        """Logs a decision against a request."""
        self.metrics.count(event.partition(" ")[0], code.name)
        self._roll()
        self._trouble += 1
        if self._trouble > TROUBLE_LINES_PER_S:
            self._dropped += 1
            return
        self._write(event, attempt_id, int(code), f"{code.name} {detail}")

    def answer(
        self,
        attempt_id: str,
        route: str,
        target_id: str,
        status: int,
        took_ms: float,
    ) -> None:
        """Logs the answer to a request."""
        self.metrics.count("answers", str(status))
        self.metrics.record_latency(route, took_ms)
        self._roll()
        self._routine += 1
        if self._routine > ROUTINE_LINES_PER_S:
            self._dropped += 1
            return
        self._write(
            "answer",
            attempt_id,
            0,
            f"{route} {status} by {target_id} in {took_ms:.0f} ms",
        )

    @property
    def dropped_count(self) -> int:
        """Lines that the reader of the log was too slow for."""
        return self._sink.dropped_count

    def flush(self) -> None:
        """Writes the waiting lines."""
        if self._lines:
            self._lines.append(b"")
            text = b"\n".join(self._lines).decode()
            self._lines.clear()
            self._sink(text)

    def _roll(self) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._routine = self._trouble = 0

    def _write(self, event: str, id_: str, code: int, detail: str) -> None:
        line = Line(
            int(time.time() * 1000),
            self._vm,
            event,
            id_,
            code,
            detail,
            self._dropped,
        )
        self._dropped = 0
        self._lines.append(self._encoder.encode(line))
