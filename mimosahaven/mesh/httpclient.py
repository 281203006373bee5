"""HTTP client for the local target and for the platform's store."""

import asyncio
import collections
import enum
import functools

import httptools

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import flowcontrol
from mimosahaven.mesh import http1
from mimosahaven.mesh import responsestream

Code = codes.Code

# The target is on the same VM; only a full accept queue can delay a connection.
CONNECT_TIMEOUT_MS = 500.0
# Idle connections are closed this long before the server would close them, so
# that no request is sent while the server is closing.
IDLE_MARGIN_MS = 1_000.0
# Keep-alive timeout assumed for a server that does not announce one.
KEEP_ALIVE_TIMEOUT_DEFAULT_MS = 4_000.0
# A number of seconds with more digits is ignored.
TIMEOUT_DIGITS_MAX = 9
# Limits on a response, since a server in trouble may send bytes without an end:
# names and values of all headers and trailers together, and all bytes that are
# not part of the body. The second one allows for short chunks, each of which
# takes several bytes besides its data.
HEADER_BYTES_MAX = 65_536
OVERHEAD_BYTES_MAX = 1_048_576
OVERHEAD_PER_BODY_BYTE = 16
# Bytes that each header takes besides its name and value.
HEADER_OVERHEAD_BYTES = 4
# A connection is replaced after this many failures, whose attempt IDs it keeps.
FAILED_ATTEMPTS_MAX = 64


class ResponseTooLargeError(Exception):
    """The headers of a response exceed their limit."""


class UnidentifiedResponseError(Exception):
    """A response does not echo the ID of the request."""


class ConnectFailure(enum.Enum):
    """Reason why a connection could not be opened."""

    REFUSED = "refused"
    TIMED_OUT = "no answer"


class ClientConnection(asyncio.Protocol):
    """A connection to a server, with one request at a time.

    Attributes:
      usable: Whether another request may be sent on the connection.
      idle_since_ms: When the last exchange ended.
      keep_alive_timeout_ms: Keep-alive timeout of the server.
    """

    def __init__(self, attempt_header: bytes):
        self._attempt_header = attempt_header.lower()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._stream: responsestream.ResponseStream | None = None
        self._attempt_id = b""
        self._is_head = False
        self._ignore_message = False
        self._close_delimited = False
        self._done = True
        self._reason = b""
        self._headers: http1.HeaderList = []
        # Sizes of the response, for its limits.
        self._header_bytes = 0
        self._body_bytes = 0
        self._received_bytes = 0
        self._failed_attempts: set[bytes] = set()
        self.usable = True
        self.idle_since_ms = 0.0
        self.keep_alive_timeout_ms = KEEP_ALIVE_TIMEOUT_DEFAULT_MS

    def send(
        self, data: bytes, attempt_id: bytes = b"", is_head: bool = False
    ) -> responsestream.ResponseStream:
        """Sends a request and returns the stream for its response.

        Args:
          data: The encoded request.
          attempt_id: The ID that the server echoes, if it does.
          is_head: Whether this is a HEAD request.
        """
        stream = responsestream.ResponseStream()
        stream.on_pause = functools.partial(
            flowcontrol.set_reading_paused, self._transport
        )
        stream.on_cancel = self.close
        self._stream = stream
        self._attempt_id = attempt_id
        self._is_head = is_head
        self._done = False
        self._ignore_message = False
        self._header_bytes = self._body_bytes = self._received_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        if self._transport is None or self._transport.is_closing():
            stream.fail(Code.TARGET_LOST)
        else:
            self._transport.write(data)
        return stream

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return not self._done

    @property
    def has_unsent_data(self) -> bool:
        """Whether a part of the request is still in the write buffer."""
        return bool(self._transport.get_write_buffer_size())

    def close(self) -> None:
        """Closes the connection at once, so that the server stops its work."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def may_repeat_failure_of(self, attempt_id: bytes) -> bool:
        """Returns whether an attempt has failed on this connection before.

        A server may send its response to that once more. The copy echoes the
        same ID, so that it could not be told from the response to a new send.
        """
        return attempt_id in self._failed_attempts

    def is_reusable(self, now_ms: float) -> bool:
        """Returns whether the connection is expected to stay open for reuse."""
        max_idle_ms = self.keep_alive_timeout_ms - IDLE_MARGIN_MS
        return self.usable and now_ms - self.idle_since_ms < max_idle_ms

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the server."""
        if self._done:
            # No request is outstanding, so that the data is unsolicited.
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._done:
                # The response is complete; only surplus data is invalid.
                self.usable = False
            else:
                self._fail()
            return
        overhead_bytes = self._received_bytes - self._body_bytes
        if not self._done and overhead_bytes > (
            OVERHEAD_BYTES_MAX + OVERHEAD_PER_BODY_BYTE * self._body_bytes
        ):
            self._fail()

    def eof_received(self) -> bool:
        """Completes a close-delimited response; any other is truncated."""
        self.usable = False
        if (
            not self._done
            and self._close_delimited
            and not self._ignore_message
        ):
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the response that is outstanding."""
        self.usable = False
        if not self._done:
            self._fail()

    def _fail(self) -> None:
        self._done = True
        self.close()
        self._stream.fail(
            Code.ANSWER_TRUNCATED if self._stream.status else Code.TARGET_LOST
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a response; an unsolicited one prevents connection reuse."""
        self._headers = []
        self._reason = b""
        self._ignore_message = False
        if self._done:
            self.usable = False

    def on_status(self, reason: bytes) -> None:
        """Appends to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header or a trailer; the latter are not passed on.

        Raises:
          ResponseTooLargeError: The parser then fails the response.
        """
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_bytes > HEADER_BYTES_MAX:
            raise ResponseTooLargeError
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Matches the response to the request and determines its framing."""
        if self._done:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._ignore_message = True
            return
        headers = self._headers
        echoed = http1.find_header(headers, self._attempt_header)
        if echoed is not None and echoed != self._attempt_id:
            # A late duplicate response to an earlier request.
            self._ignore_message = True
            self.usable = False
            return
        if echoed is None and self._attempt_header:
            # Without the ID, it may belong to another request.
            raise UnidentifiedResponseError
        if status >= 300 and self._attempt_id:
            self._failed_attempts.add(self._attempt_id)
            if len(self._failed_attempts) >= FAILED_ATTEMPTS_MAX:
                self.usable = False
        length = http1.find_header(headers, b"content-length")
        coding = http1.find_header(headers, b"transfer-encoding")
        self._close_delimited = (
            length is None
            and coding is None
            and status not in http1.BODYLESS_STATUSES
        )
        if self._close_delimited or not self._parser.should_keep_alive():
            self.usable = False
        self._update_keep_alive_timeout(headers)
        self._stream.set_head(
            status, self._reason, http1.end_to_end_headers(headers)
        )
        if self._is_head:
            # The parser expects the body that Content-Length announces.
            self.usable = False
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Adds data to the body of the response."""
        if not self._done and not self._ignore_message:
            self._body_bytes += len(data)
            self._stream.feed(data)

    def on_message_complete(self) -> None:
        """Completes the response, unless the message is to be ignored."""
        if self._done:
            return
        if self._ignore_message:
            return
        self._complete()

    def _complete(self) -> None:
        self._done = True
        self.idle_since_ms = clock.monotonic_ms()
        self._stream.feed_eof()

    def _update_keep_alive_timeout(self, headers: http1.HeaderList) -> None:
        value = http1.find_header(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            # int() refuses very long numbers, which would fail the response.
            is_number = number.isdigit() and len(number) <= TIMEOUT_DIGITS_MAX
            if name.lower() == b"timeout" and is_number:
                self.keep_alive_timeout_ms = int(number) * 1000.0


class ClientPool:
    """Pool of connections to one server.

    Args:
      host: IP address of the server.
      port: Port of the server.
      attempt_header: Header in which the server echoes the attempt ID, or "".
      connect_timeout_ms: Timeout for opening a connection.
    """

    def __init__(
        self,
        host: str,
        port: int,
        attempt_header: str = "",
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    ):
        self._host, self._port = host, port
        self._connect_timeout_ms = connect_timeout_ms
        self._attempt_header = attempt_header.encode()
        self._idle: collections.deque[ClientConnection] = collections.deque()
        self.opened_count = 0

    async def acquire(
        self, now_ms: float, attempt_id: bytes = b""
    ) -> ClientConnection | ConnectFailure:
        """Returns a connection, or the reason why none can be opened.

        The most recently used connection is reused first, so that surplus ones
        reach the idle timeout and are closed. Connections on which the attempt
        has failed before are left to others.

        Args:
          now_ms: Current time.
          attempt_id: The attempt that will be sent on the connection.
        """
        found: ClientConnection | None = None
        unsuitable: list[ClientConnection] = []
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_reusable(now_ms):
                connection.close()
            elif connection.may_repeat_failure_of(attempt_id):
                unsuitable.append(connection)
            else:
                found = connection
        self._idle.extend(reversed(unsuitable))
        return found or await self.open()

    async def open(self) -> ClientConnection | ConnectFailure:
        """Opens a connection, or returns the reason for the failure."""
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._attempt_header),
                    self._host,
                    self._port,
                )
        except TimeoutError:
            return ConnectFailure.TIMED_OUT
        except OSError:
            return ConnectFailure.REFUSED
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool after its exchange."""
        if connection.usable and not connection.has_unsent_data:
            self._idle.append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def expire(self, now_ms: float) -> None:
        """Closes idle connections that the server is about to close."""
        idle = self._idle
        while idle and not idle[0].is_reusable(now_ms):
            idle.popleft().close()
