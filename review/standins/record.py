"""What was sent, answered and run, for `record.txt`."""

import collections
import pathlib
import time

from standins import wire


class Record:
    """Events with their time since the start."""

    def __init__(self):
        self._start_s = time.monotonic()
        self._lines: list[str] = []
        # Time, place and id of each run.
        self.runs: list[tuple[float, str, str]] = []
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def note(self, text: str) -> None:
        """Records an event in words."""
        self._lines.append(f"{time.monotonic() - self._start_s:8.3f}  {text}")

    def add(self, event: str, place: str, request: wire.Message) -> None:
        """Records what happened to a request at a backend."""
        attempt_id = request.header(wire.ATTEMPT)
        self.counts[event, attempt_id] += 1
        if event == "run":
            self.runs.append((time.monotonic(), place, attempt_id))
        self.note(
            f"backend {place}: {event} {attempt_id} "
            f"{request.method} {request.path}"
        )

    def write(self, path: pathlib.Path) -> None:
        """Writes all events."""
        path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
