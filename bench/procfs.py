"""CPU time, memory and file descriptors of a process, from /proc."""

import dataclasses
import os
import pathlib

# Fields of /proc/PID/stat after the command name in parentheses.
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclasses.dataclass(frozen=True)
class ProcessSample:
    """Resource usage of a process.

    Attributes:
      cpu_s: CPU time of all threads of the process since its start.
      resident_bytes: Resident set size.
      descriptors: Number of open file descriptors.
      threads: Number of threads.
    """

    cpu_s: float
    resident_bytes: int
    descriptors: int
    threads: int


def sample(process_id: int) -> ProcessSample:
    """Returns the resource usage of a running process."""
    path = pathlib.Path("/proc") / str(process_id)
    fields = (path / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    lines = (path / "status").read_text().splitlines()
    status = dict(line.split(":", 1) for line in lines if ":" in line)
    return ProcessSample(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_bytes=int(status["VmRSS"].split()[0]) * 1024,
        descriptors=len(list((path / "fd").iterdir())),
        threads=int(status["Threads"]),
    )
