"""An answer on its way: buffered at its start, then streamed."""

import asyncio
from collections.abc import Callable

from mimosahaven import codes
from mimosahaven.mesh import http1

# Up to this size an answer is held until it is whole, so that a broken one is
# replaced by another try instead of being passed on in part.
HELD_BYTES = 65_536
# Above this the sender is paused until the reader has caught up.
PAUSE_BYTES = 262_144


class ResponseStream:
    """Head and body of one answer, filled by a connection.

    Attributes:
      status: HTTP status; 0 before the head.
      reason: Reason phrase.
      headers: End-to-end headers.
      body: Bytes that have not been taken yet.
      complete: Whether the body has ended as it should.
      failure: Why the answer has broken off, or None.
      tree: Runs at each service that the answer took.
      on_pause: Called with whether the sender shall pause.
      on_cancel: Called when nobody wants the rest.
      on_end: Called once when nothing more will come.
    """

    __slots__ = (
        "_paused",
        "_waiter",
        "body",
        "failure",
        "headers",
        "on_cancel",
        "on_end",
        "on_pause",
        "reason",
        "status",
        "tree",
        "complete",
    )

    def __init__(self):
        self.status = 0
        self.reason = b""
        self.headers: http1.HeaderList = []
        self.body = bytearray()
        self.complete = False
        self.failure: codes.Code | None = None
        self.tree: dict[str, float] = {}
        self.on_pause: Callable[[bool], None] | None = None
        self.on_cancel: Callable[[], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self._paused = False
        self._waiter: asyncio.Future | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self.complete or self.failure is not None

    def set_head(
        self, status: int, reason: bytes, headers: http1.HeaderList
    ) -> None:
        """Takes in the head."""
        self.status, self.reason, self.headers = status, reason, headers

    def feed(self, data: bytes) -> None:
        """Takes in a part of the body."""
        self.body += data
        self._wake()
        if len(self.body) > PAUSE_BYTES and not self._paused and self.on_pause:
            self._paused = True
            self.on_pause(True)

    def feed_eof(self) -> None:
        """Takes in the end of the body."""
        if not self.ended:
            self.complete = True
            self._end()

    def fail(self, code: codes.Code) -> None:
        """Takes in that the answer has broken off."""
        if not self.ended:
            self.failure = code
            self._end()

    def cancel(self) -> None:
        """Says that nobody wants the rest."""
        if not self.ended:
            self.failure = codes.Code.TARGET_LOST
            if self.on_cancel:
                self.on_cancel()
            self._end()

    async def wait_buffered(self) -> None:
        """Waits until the answer has ended or fills the buffer."""
        while not self.ended and len(self.body) < HELD_BYTES:
            await self._wait()

    async def read(self) -> bytes:
        """Returns the next part of the body; empty at its end or failure."""
        while not self.body and not self.ended:
            await self._wait()
        data = bytes(self.body)
        self.body.clear()
        if self._paused:
            self._paused = False
            self.on_pause(False)
        return data

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _end(self) -> None:
        self._wake()
        if self.on_end:
            on_end, self.on_end = self.on_end, None
            on_end()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
