"""HTTP/1.1 server for callers and for calls made by the local target."""

import asyncio
import collections
import dataclasses
import typing
from collections.abc import Awaitable
from collections.abc import Callable

import httptools

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import errorlog
from mimosahaven.mesh import flowcontrol
from mimosahaven.mesh import http1
from mimosahaven.mesh import records
from mimosahaven.mesh import responsestream

Code = codes.Code

# Pipelined requests per connection that are processed concurrently. Reading
# then pauses until fewer than half of them remain.
PIPELINE_MAX = 16
# With more unsent bytes than this, a streamed response waits for the caller.
WRITE_HIGH_BYTES = 131_072

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, with its complete body.

    Attributes:
      method: HTTP method.
      path: Path with query.
      headers: All headers.
      body: Complete body.
      read_ms: Time at which the request was read completely.
    """

    method: str
    path: bytes
    headers: http1.HeaderList
    body: bytes
    read_ms: float


@dataclasses.dataclass(slots=True)
class Response:
    """The response to a caller.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers.
      body: Body, if there is no stream.
      stream: Response of a target, or None.
    """

    status: int
    headers: http1.HeaderList = dataclasses.field(default_factory=list)
    body: bytes = b""
    stream: responsestream.ResponseStream | None = None


class CallerHandler(typing.Protocol):
    """Handler of the requests that arrive on caller connections."""

    handle: Callable[[Request], Awaitable[Response]]

    def limits(self) -> records.CallerLimits:
        """Returns the size and time limits on requests."""

    def should_close(self) -> bool:
        """Returns whether to close connections after a response."""

    def refuse(self, code: Code) -> Response:
        """Returns the response to a request that could not be read."""

    def on_open(self, connection: "CallerConnection") -> None:
        """Handles a new connection."""

    def on_close(self, connection: "CallerConnection") -> None:
        """Handles the end of a connection."""


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """A request and its response, queued in the order of arrival."""

    is_head: bool
    close: bool
    task: asyncio.Task | None = None
    response: Response | None = None


class CallerConnection(flowcontrol.FlowControlProtocol):
    """A connection of a caller; responses are sent in request order."""

    def __init__(self, handler: CallerHandler):
        super().__init__()
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._writing = False
        self._lost = False
        self._closing = False
        self._read_paused = False
        self._in_message = False
        self._message_start_ms = 0.0
        self.idle_since_ms = clock.monotonic_ms()
        self._reset_message()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served."""
        return bool(self._exchanges) or self._in_message or self._writing

    @property
    def has_unsent_response(self) -> bool:
        """Whether a request has no complete response yet, or it is unsent."""
        if self._lost:
            return False
        return bool(self._exchanges or self._transport.get_write_buffer_size())

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and reports the connection to the handler."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._handler.on_open(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the outstanding requests of the caller."""
        self._lost = True
        for exchange in self._exchanges:
            self._cancel_exchange(exchange)
        self._exchanges.clear()
        self.release_writers()
        self._handler.on_close(self)

    def eof_received(self) -> bool:
        """Closes the connection; half-closed connections are not supported."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the caller."""
        if self._closing:
            return
        if self._in_message and not self._head_done:
            # The parser reports a header only once it is complete, so that the
            # bytes of an unfinished head are counted here. The first ones,
            # which may follow another request, are not: they are few.
            self._unfinished_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse_and_close(Code.MALFORMED)
        if self._in_message and not self._head_done:
            limit = self._handler.limits().header_bytes_max
            if max(self._header_bytes, self._unfinished_head_bytes) > limit:
                self._refuse_and_close(Code.HEADERS_TOO_LARGE)

    def check_timeouts(self, now_ms: float) -> None:
        """Enforces the header timeout and the idle timeout."""
        limits = self._handler.limits()
        if self._in_message and not self._head_done:
            if now_ms - self._message_start_ms > limits.header_timeout_ms:
                self._refuse_and_close(Code.REQUEST_SLOW)
        elif not self.busy:
            if now_ms - self.idle_since_ms > limits.idle_timeout_ms:
                self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()

    def end_exchanges(self) -> None:
        """Ends the requests that have no response yet; then closes.

        Each of them may have run.
        """
        for exchange in self._exchanges:
            if exchange.response is None:
                exchange.task.cancel()
                exchange.response = self._handler.refuse(Code.TIMEOUT)
        if self._exchanges:
            self._exchanges[-1].close = True
        self._write_ready()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset_message()
        self._in_message = True
        self._message_start_ms = clock.monotonic_ms()

    def on_url(self, url: bytes) -> None:
        """Appends to the URL."""
        self._url += url
        self._header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name, value))
        # Each header line also has a colon, a space and CRLF.
        self._header_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Checks the header size and responds to `Expect: 100-continue`."""
        self._head_done = True
        if self._header_bytes > self._handler.limits().header_bytes_max:
            self._refuse_and_close(Code.HEADERS_TOO_LARGE)
            return
        expect = http1.find_header(self._headers, b"expect")
        if expect and expect.lower() == b"100-continue" and not self._exchanges:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Appends to the body, up to the size limit."""
        self._body += data
        if len(self._body) > self._handler.limits().body_bytes_max:
            self._refuse_and_close(Code.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Starts processing the request."""
        self._in_message = False
        if self._closing:
            return
        method = self._parser.get_method().decode()
        request = Request(
            method,
            bytes(self._url),
            self._headers,
            bytes(self._body),
            clock.monotonic_ms(),
        )
        exchange = _Exchange(
            method == "HEAD", not self._parser.should_keep_alive()
        )
        self._exchanges.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(
            self._serve(exchange, request)
        )
        if len(self._exchanges) >= PIPELINE_MAX and not self._read_paused:
            self._read_paused = True
            self._transport.pause_reading()

    def _reset_message(self) -> None:
        self._url = bytearray()
        self._headers: http1.HeaderList = []
        self._body = bytearray()
        self._header_bytes = 0
        self._unfinished_head_bytes = 0
        self._head_done = False

    def _refuse_and_close(self, code: Code) -> None:
        """Refuses a request that cannot be read, then closes the connection."""
        if self._closing:
            return
        self._closing = True
        self._in_message = False
        exchange = _Exchange(False, True)
        exchange.response = self._handler.refuse(code)
        self._exchanges.append(exchange)
        self._write_ready()

    async def _serve(self, exchange: _Exchange, request: Request) -> None:
        try:
            exchange.response = await self._handler.handle(request)
        except Exception as error:  # noqa: BLE001 - keeps the connection
            errorlog.log_exception(
                "callers: unhandled exception while serving a request", error
            )
            exchange.response = self._handler.refuse(Code.INTERNAL)
        if self._lost:
            self._cancel_exchange(exchange)
        else:
            self._write_ready()

    def _write_ready(self) -> None:
        while self._exchanges and not self._writing and not self._lost:
            exchange = self._exchanges[0]
            if exchange.response is None:
                return
            stream = exchange.response.stream
            if stream is None or stream.complete:
                self._write_buffered(exchange)
                self._finish_exchange(exchange)
            else:
                self._writing = True
                asyncio.get_running_loop().create_task(
                    self._write_stream(exchange)
                )

    def _should_close(self) -> bool:
        """Returns whether the first response closes the connection.

        Requests behind it may have been passed on, and are answered first.
        """
        return self._handler.should_close() and len(self._exchanges) == 1

    def _write_buffered(self, exchange: _Exchange) -> None:
        response = exchange.response
        stream = response.stream
        if stream is None:
            status, reason = (
                response.status,
                _REASON_PHRASES.get(response.status, b""),
            )
            headers, body = response.headers, response.body
        else:
            status, reason = stream.status, stream.reason
            headers, body = stream.headers, bytes(stream.body)
        exchange.close |= self._should_close()
        head = http1.encode_response_head(
            status, reason, headers, len(body), exchange.close
        )
        self._transport.write(head if exchange.is_head else head + body)

    async def _write_stream(self, exchange: _Exchange) -> None:
        stream = exchange.response.stream
        if self._should_close():
            exchange.close = True
            # The caller learns from the head that nothing further is read.
            self._closing = True
        self._transport.write(
            http1.encode_response_head(
                stream.status,
                stream.reason,
                stream.headers,
                None,
                exchange.close,
            )
        )
        while data := await stream.read():
            self._transport.write(http1.encode_chunk(data))
            await self.drain()
            if self._lost:
                break
        if not stream.complete or self._lost:
            # The last chunk is not sent, so that the caller can tell that the
            # response is truncated.
            stream.cancel()
            self._transport.abort()
            return
        self._transport.write(http1.LAST_CHUNK)
        self._writing = False
        self._finish_exchange(exchange)
        self._write_ready()

    def _finish_exchange(self, exchange: _Exchange) -> None:
        self._exchanges.popleft()
        self.idle_since_ms = clock.monotonic_ms()
        if exchange.close:
            self._closing = True
            for remaining in self._exchanges:
                self._cancel_exchange(remaining)
            self._exchanges.clear()
            self._transport.close()
        elif self._read_paused and len(self._exchanges) < PIPELINE_MAX // 2:
            self._read_paused = False
            self._transport.resume_reading()

    def _cancel_exchange(self, exchange: _Exchange) -> None:
        if exchange.response is None and exchange.task is not None:
            exchange.task.cancel()
        if (
            exchange.response is not None
            and exchange.response.stream is not None
        ):
            exchange.response.stream.cancel()
