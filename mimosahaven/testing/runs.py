"""Run log of a fake target."""

import os
import pathlib

import msgspec

CONTEXT_HEADER = "Mimosahaven-Context"

# Outcome of a run that has not ended, or whose process exited before its end.
RUNNING = "running"
OK = "ok"


class Run(msgspec.Struct):
    """One run of a call; times are on the machine's monotonic clock.

    Attributes:
      id: Id of the request, chosen by its first caller.
      outcome: `RUNNING`, `OK` or the reason for which the run failed.
      number: Index in the log of its process; a restarted target counts from
        0 again.
    """

    call_id: str
    action_id: str
    service: str
    target: str
    path: str
    id: str
    start_ms: float
    end_ms: float = 0.0
    outcome: str = RUNNING
    number: int = 0


def action_id_of(call_id: str) -> str:
    """Returns the action id that a call id is derived from."""
    return call_id.split("/", 1)[0]


class RunLog:
    """Runs of one target, kept in memory and appended to a file.

    The file survives a crash of the target. Each run is written once at its
    start and once at its end; a reader replaces the first line by the second.
    """

    def __init__(self, path: pathlib.Path | None = None):
        self.runs: list[Run] = []
        self.concurrent = 0
        self.concurrent_max = 0
        self._file = None
        if path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o600)

    def start(self, run: Run) -> None:
        """Records the start of a run."""
        run.number = len(self.runs)
        self.runs.append(run)
        self.concurrent += 1
        self.concurrent_max = max(self.concurrent_max, self.concurrent)
        self._write(run)

    def finish(self, run: Run, outcome: str, now_ms: float) -> None:
        """Records the end of a run."""
        run.end_ms = now_ms
        run.outcome = outcome
        self.concurrent -= 1
        self._write(run)

    def _write(self, run: Run) -> None:
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(run) + b"\n")


def read_runs(path: pathlib.Path) -> list[Run]:
    """Returns the runs of all processes that wrote to the file, in order.

    Returns an empty list if the file does not exist.
    """
    runs: list[Run] = []
    if not path.exists():
        return runs
    index_by_number: dict[int, int] = {}
    for line in path.read_bytes().splitlines():
        run = msgspec.json.decode(line, type=Run)
        if run.outcome == RUNNING:
            index_by_number[run.number] = len(runs)
            runs.append(run)
        else:
            runs[index_by_number[run.number]] = run
    return runs
