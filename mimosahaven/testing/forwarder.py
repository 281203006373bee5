"""TCP forwarder that can discard or delay bytes and reset connections."""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct

CHUNK_BYTES = 65_536
NO_LINGER = struct.pack("ii", 1, 0)


class Direction(enum.Flag):
    """Direction of traffic; the client is the end that connected."""

    TO_SERVER = enum.auto()
    TO_CLIENT = enum.auto()
    BOTH = TO_SERVER | TO_CLIENT


@dataclasses.dataclass(eq=False)
class _Connection:
    """A forwarded connection.

    Attributes:
      writers: Writers to the client and to the server.
      client_host: IP address from which the client connected.
    """

    writers: list[asyncio.StreamWriter]
    client_host: str
    discarded_directions: Direction = Direction(0)

    def reset(self) -> None:
        for writer in self.writers:
            if not writer.transport.is_closing():
                # Only a linger time of 0 sends RST; otherwise the peer sees an
                # orderly close.
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
                writer.transport.abort()


class Forwarder:
    """Forwards TCP connections to one server address.

    Attributes:
      port: Port on which it listens once started.
      delay_ms: Delay of every chunk, in each direction.
      discarded_bytes: Number of bytes that were read and discarded.
      blocked_hosts: IP addresses of clients on the other side of a partition:
        their connections are accepted, but bytes in both directions are
        discarded.
      cut_directions: Directions in which all bytes are discarded, also those of
        connections that are opened later.
    """

    def __init__(self, host: str, to_host: str, to_port: int):
        self.port = 0
        self.delay_ms = 0.0
        self.discarded_bytes = 0
        self.blocked_hosts: frozenset[str] = frozenset()
        self.cut_directions = Direction(0)
        self._host = host
        self._destination = (to_host, to_port)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Listens on a port that the kernel assigns."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self.reset_connections()
            await self._server.wait_closed()

    def discard(self, direction: Direction = Direction.BOTH) -> None:
        """Discards all further bytes of the currently open connections.

        They stay open at both ends; connections opened later are forwarded.
        """
        for connection in self._connections:
            connection.discarded_directions |= direction

    def reset_connections(self) -> None:
        """Resets the currently open connections."""
        for connection in list(self._connections):
            connection.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream = await asyncio.open_connection(*self._destination)
        except OSError:
            writer.transport.abort()
            return
        client_host = writer.get_extra_info("peername")[0]
        connection = _Connection([writer, upstream[1]], client_host)
        self._connections.add(connection)
        to_server = self._forward(
            connection, Direction.TO_SERVER, reader, upstream[1]
        )
        to_client = self._forward(
            connection, Direction.TO_CLIENT, upstream[0], writer
        )
        try:
            await asyncio.gather(to_server, to_client)
        finally:
            self._connections.discard(connection)
            connection.reset()

    async def _forward(
        self,
        connection: _Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_ms / 1000)
                blocked = connection.client_host in self.blocked_hosts
                discarded = (
                    connection.discarded_directions | self.cut_directions
                )
                if blocked or direction in discarded:
                    self.discarded_bytes += len(data)
                else:
                    writer.write(data)
                    await writer.drain()
        if direction not in connection.discarded_directions:
            with contextlib.suppress(OSError):
                writer.write_eof()
