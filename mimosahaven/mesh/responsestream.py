"""Response of a target: buffered up to a limit, streamed beyond it."""

import asyncio
from collections.abc import Callable

from mimosahaven import codes
from mimosahaven.mesh import http1
from mimosahaven.mesh import keptbodies

# Responses up to this size are buffered until complete, so that a truncated
# one can be retried instead of being forwarded in part.
BUFFER_BYTES = 65_536
# With more unread bytes than this, reading from the sender is paused.
PAUSE_BYTES = 262_144


class ResponseStream:
    """Head and body of one response, filled in by a connection.

    Attributes:
      status: HTTP status; 0 until the head has arrived.
      reason: Reason phrase.
      headers: End-to-end headers.
      body: Unread bytes of the body.
      complete: Whether the body has arrived in full.
      failure: Result code if the response has failed, or None.
      tree: Number of runs at each service that were needed for the response.
      slot_ms: Time in ms for which they occupied slots of each service.
      on_pause: Called with True to pause the sender and False to resume it.
      on_cancel: Called if the rest of the response is no longer needed.
      on_end: Called once when the stream has ended, in this order.
      kept: Copy of the whole body for inquiries, or None.
    """

    __slots__ = (
        "_paused",
        "_time_limit",
        "_waiter",
        "body",
        "failure",
        "headers",
        "kept",
        "on_cancel",
        "on_end",
        "on_pause",
        "reason",
        "status",
        "slot_ms",
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
        self.slot_ms: dict[str, float] = {}
        self.on_pause: Callable[[bool], None] | None = None
        self.on_cancel: Callable[[], None] | None = None
        self.on_end: list[Callable[[], None]] = []
        self.kept: keptbodies.KeptBody | None = None
        self._paused = False
        self._waiter: asyncio.Future | None = None
        self._time_limit: asyncio.TimerHandle | None = None

    @property
    def is_kept(self) -> bool:
        """Whether a copy of the whole body is kept."""
        return self.kept is not None and not self.kept.is_lost

    @property
    def ended(self) -> bool:
        """Whether the response is complete or has failed."""
        return self.complete or self.failure is not None

    def set_head(
        self, status: int, reason: bytes, headers: http1.HeaderList
    ) -> None:
        """Sets status, reason phrase and headers."""
        self.status, self.reason, self.headers = status, reason, headers

    def feed(self, data: bytes) -> None:
        """Appends data to the body; pauses the sender above PAUSE_BYTES.

        The sender of a body that is kept is not paused: its reader may be gone
        without notice, and an inquiry needs the whole body.
        """
        self.body += data
        if self.kept is not None:
            self.kept.append(data)
        self._wake()
        if (
            len(self.body) > PAUSE_BYTES
            and not self._paused
            and not self.is_kept
            and self.on_pause
        ):
            self._paused = True
            self.on_pause(True)

    def keep(self, kept: keptbodies.KeptBody) -> None:
        """Copies the body, of which nothing has been read, and what follows."""
        kept.append(self.body)
        self.kept = kept

    async def replay(self) -> "ResponseStream | None":
        """Returns a new stream with the kept response, once it is complete.

        Returns:
          The stream, or None if the response is not complete or not kept.
        """
        if not self.ended:
            has_ended = asyncio.get_running_loop().create_future()
            self.on_end.append(
                lambda: has_ended.done() or has_ended.set_result(None)
            )
            await has_ended
        if not self.complete or not self.is_kept:
            return None
        copy = ResponseStream()
        copy.set_head(self.status, self.reason, self.headers)
        copy.tree, copy.slot_ms = self.tree, self.slot_ms
        copy.feed(bytes(self.kept.data))
        copy.feed_eof()
        return copy

    def feed_eof(self) -> None:
        """Marks the body as complete."""
        if not self.ended:
            self.complete = True
            self._end()

    def fail(self, code: codes.Code) -> None:
        """Marks the response as failed."""
        if not self.ended:
            self.failure = code
            self._end()

    def cancel(self) -> None:
        """Stops the transfer, since the rest is no longer needed."""
        if not self.ended:
            self.failure = codes.Code.TARGET_LOST
            if self.on_cancel:
                self.on_cancel()
            self._end()

    def limit_duration(self, duration_ms: float) -> None:
        """Cancels the stream if it has not ended after a time.

        A sender in trouble may send bytes without an end. This applies to the
        sender only: what has arrived by then can still be read, but the
        response is truncated.
        """
        if not self.ended:
            self._time_limit = asyncio.get_running_loop().call_later(
                max(0.0, duration_ms) / 1000, self.cancel
            )

    async def wait_buffered(self) -> None:
        """Waits until the stream has ended or the buffer is full."""
        while not self.ended and len(self.body) < BUFFER_BYTES:
            await self._wait()

    async def read(self) -> bytes:
        """Returns the unread part of the body; empty at its end or failure."""
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
        if self._time_limit is not None:
            self._time_limit.cancel()
        callbacks, self.on_end = self.on_end, []
        for callback in callbacks:
            callback()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
