"""HTTP server of the entry."""

import asyncio
import contextlib

import uvicorn
from uvicorn.protocols.http import httptools_impl

_HEAD = b"HTTP/1.1 "
_CONTINUE = b"HTTP/1.1 100 "


class JoiningTransport:
    """A transport that sends the head of an answer along with its body.

    uvicorn writes the two separately, which costs a second system call and
    wakes the receiver twice. The head waits for the next write; the entry
    always gives the whole body at once, and it follows without delay.
    """

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._head = b""

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Writes data, or keeps it when it is the head of an answer."""
        if self._head:
            self._transport.write(self._head + data)
            self._head = b""
        elif data.startswith(_HEAD) and not data.startswith(_CONTINUE):
            self._head = data
        else:
            self._transport.write(data)

    def close(self) -> None:
        """Closes the connection once everything is sent."""
        if self._head:
            self._transport.write(self._head)
            self._head = b""
        self._transport.close()


class Protocol(httptools_impl.HttpToolsProtocol):
    """The HTTP protocol of uvicorn over a joining transport."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes in a new connection."""
        super().connection_made(JoiningTransport(transport))


class Server(uvicorn.Server):
    """A uvicorn server that leaves the signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no handlers."""
        yield


def make_server(app, host: str, port: int) -> Server:
    """Returns the server of an ASGI application.

    Args:
      app: The application.
      host: Address that it listens on.
      port: Port that it listens on.
    """
    return Server(
        uvicorn.Config(
            app,
            host=host,
            port=port,
            http=Protocol,
            loop="none",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
        )
    )
