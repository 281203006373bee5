"""Rate-limited structured log of a mesh daemon, as JSON lines."""

import time

import msgspec

from mimosahaven import codes
from mimosahaven import logsink
from mimosahaven.mesh import metrics as metrics_lib

# Limits on lines per second. The one for responses is lower, so that they are
# dropped before refusals and failures.
RESPONSE_LINES_PER_S = 60
FAILURE_LINES_PER_S = 200


class Line(msgspec.Struct, omit_defaults=True):
    """One line of the log.

    Attributes:
      at_ms: Wall clock time in Unix milliseconds.
      vm: VM of the daemon.
      event: Event or decision that is logged.
      id: Attempt ID of the request concerned; empty if there is none.
      code: Result code; 0 if there is none.
      detail: Inputs of the decision, with their age or version.
      dropped: Number of lines dropped since the previous one.
    """

    at_ms: int
    vm: str
    event: str
    id: str = ""
    code: int = 0
    detail: str = ""
    dropped: int = 0


class EventLog:
    """Writes lines in batches, without blocking.

    Args:
      vm: Name of the VM.
      sink: Receives the text of complete lines.
    """

    def __init__(self, vm: str, sink: logsink.NonBlockingSink):
        self._vm = vm
        self._sink = sink
        self._encoder = msgspec.json.Encoder()
        self._lines: list[bytes] = []
        self._second = 0
        self._response_lines = 0
        self._failure_lines = 0
        self._dropped = 0
        self.metrics = metrics_lib.MetricsRegistry()

    def event(self, event: str, detail: str = "", code: int = 0) -> None:
        """Logs a change of the daemon's state."""
        self.metrics.count("events", event)
        self._write(event, "", code, detail)

    def request(
        self, attempt_id: str, event: str, code: codes.Code, detail: str
    ) -> None:
        """Logs the refusal or failure of a request."""
        self.metrics.count(event.partition(" ")[0], code.name)
        self._reset_line_counts()
        self._failure_lines += 1
        if self._failure_lines > FAILURE_LINES_PER_S:
            self._dropped += 1
            return
        self._write(event, attempt_id, int(code), f"{code.name} {detail}")

    def response(
        self,
        attempt_id: str,
        route: str,
        target_id: str,
        status: int,
        took_ms: float,
    ) -> None:
        """Logs the response to a request."""
        self.metrics.count("answers", str(status))
        self.metrics.record_latency(route, took_ms)
        self._reset_line_counts()
        self._response_lines += 1
        if self._response_lines > RESPONSE_LINES_PER_S:
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
        """Lines lost because the reader of the log was too slow."""
        return self._sink.dropped_count

    def flush(self) -> None:
        """Writes the buffered lines."""
        if self._lines:
            self._lines.append(b"")
            text = b"\n".join(self._lines).decode()
            self._lines.clear()
            self._sink(text)

    def _reset_line_counts(self) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._response_lines = self._failure_lines = 0

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
