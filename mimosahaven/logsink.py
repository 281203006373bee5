"""Sink of log lines that never blocks the daemon."""

import os
import select

# A pipe that polls as writable accepts this many bytes without blocking
# (PIPE_BUF on Linux).
_CHUNK_BYTES = 4_096


class NonBlockingSink:
    """Writes lines to a file descriptor and drops lines that would block.

    A stalled reader of the log must not block the daemon.

    Attributes:
      dropped_count: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped_count = 0

    def __call__(self, text: str) -> None:
        """Writes text that consists of whole lines."""
        data = text.encode(errors="replace")
        start = 0
        while start < len(data):
            end = len(data)
            if end - start > _CHUNK_BYTES:
                cut = data.rfind(b"\n", start, start + _CHUNK_BYTES) + 1
                end = cut or start + _CHUNK_BYTES
            if not self._write(data[start:end]):
                self.dropped_count += data.count(b"\n", start)
                return
            start = end

    def _write(self, chunk: bytes) -> bool:
        if not self._poll.poll(0):
            return False
        try:
            return os.write(self._descriptor, chunk) == len(chunk)
        except OSError:
            return False
