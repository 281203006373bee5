"""Client connection to the daemon on another VM."""

import asyncio
import collections
import functools
from collections.abc import Callable

from mimosahaven import codes
from mimosahaven.mesh import flowcontrol
from mimosahaven.mesh import frames
from mimosahaven.mesh import responsestream

Code = codes.Code


class PeerConnectionLostError(Exception):
    """The connection has ended, or no frame arrived from the peer in time."""


class PeerConnection(asyncio.Protocol):
    """Client connection to a peer, with one exchange at a time.

    Args:
      on_frame_error: Called with the reason when the peer has sent bytes that
        are no valid frame.

    Attributes:
      usable: Whether the connection is open.
      idle: Whether no exchange is in progress.
      idle_since_ms: When the last exchange ended.
    """

    def __init__(self, on_frame_error: Callable[[str], None]):
        self._on_frame_error = on_frame_error
        self.idle = False
        self._transport: asyncio.Transport | None = None
        self._decoder = frames.FrameDecoder()
        self._inbox: collections.deque[frames.Frame] = collections.deque()
        self._waiter: asyncio.Future | None = None
        self._stream: responsestream.ResponseStream | None = None
        self.usable = True
        self.idle_since_ms = 0.0

    @property
    def has_unread_frames(self) -> bool:
        """Whether frames, or a part of one, have arrived and wait."""
        return bool(self._inbox) or self._decoder.has_partial_frame

    def send(self, frame: frames.Frame) -> None:
        """Sends a frame."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(frames.encode(frame))

    async def receive(self, timeout_ms: float) -> frames.Frame:
        """Returns the next frame.

        Raises:
          PeerConnectionLostError: Timeout, or the connection has ended.
        """
        while not self._inbox:
            if not self.usable:
                raise PeerConnectionLostError
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(max(0.0, timeout_ms) / 1000):
                    await self._waiter
            except TimeoutError as error:
                raise PeerConnectionLostError from error
            finally:
                self._waiter = None
        return self._inbox.popleft()

    def stream_body(self, stream: responsestream.ResponseStream) -> None:
        """Feeds the Data frames that follow into a response."""
        self._stream = stream
        stream.on_pause = functools.partial(
            flowcontrol.set_reading_paused, self._transport
        )
        stream.on_cancel = self.close
        while self._inbox:
            self._feed_stream(self._inbox.popleft())

    def close(self) -> None:
        """Closes the connection after flushing the write buffer."""
        self.usable = False
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decodes frames and passes them to the stream or the inbox."""
        if self.idle:
            # A frame has no identity, so that the next exchange would take it
            # for its own reply.
            self.close()
            return
        try:
            decoded = self._decoder.feed(data)
        except frames.FrameError as error:
            self._on_frame_error(str(error))
            self.close()
            self.connection_lost(None)
            return
        for frame in decoded:
            if self._stream is not None:
                self._feed_stream(frame)
            else:
                self._inbox.append(frame)
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails an open stream and wakes the receiver."""
        self.usable = False
        if self._stream is not None:
            self._stream.fail(Code.ANSWER_TRUNCATED)
            self._stream = None
        self._wake()

    def _feed_stream(self, frame: frames.Frame) -> None:
        stream = self._stream
        match frame:
            case frames.Data():
                stream.feed(frame.body)
            case frames.End():
                self._stream = None
                if frame.whole:
                    stream.feed_eof()
                else:
                    stream.fail(Code.ANSWER_TRUNCATED)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
