"""A TCP proxy on loopback that can fall silent or lose a machine's power."""

import asyncio
import contextlib


class _Link:
    """A forwarded connection.

    Attributes:
      silent: Whether its bytes are discarded in both directions.
      frozen: Whether it is left open towards the client when the server ends.
      owed: Whether the client has sent bytes that were never acknowledged.
    """

    def __init__(self, writers: list[asyncio.StreamWriter]):
        self.writers = writers
        self.silent = False
        self.frozen = False
        self.owed = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to one address.

    Attributes:
      dark: Whether the machine behind it has no power: nothing is answered,
        neither on open nor on new connections.
    """

    def __init__(self, host: str, port: int, to_host: str):
        self._address, self._to_address = (host, port), (to_host, port)
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self.dark = False

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def stop(self) -> None:
        """Stops and closes all connections."""
        self._server.close()
        for link in list(self._links):
            link.abort()

    def silence_open(self) -> None:
        """Lets the open connections go silent for good, without a reset."""
        for link in self._links:
            link.silent = True

    def lose_power(self) -> None:
        """From now on, nothing comes from the machine, not even resets."""
        self.dark = True
        for link in self._links:
            link.silent = link.frozen = True

    def regain_power(self) -> None:
        """The machine answers again; it knows nothing of old connections.

        It resets those on which bytes are sent once more, or newly.
        """
        self.dark = False
        for link in list(self._links):
            if link.owed:
                link.abort()

    async def _serve(self, reader, writer) -> None:
        link = _Link([writer])
        self._links.add(link)
        try:
            if self.dark:
                # Like a machine without power: no answer.
                link.frozen = True
                await reader.read()
                return
            try:
                upstream = await asyncio.open_connection(*self._to_address)
            except OSError:
                return
            link.writers.append(upstream[1])
            await asyncio.gather(
                self._pump(link, reader, upstream[1], False),
                self._pump(link, upstream[0], writer, True),
            )
        finally:
            self._links.discard(link)
            link.abort()

    async def _pump(self, link, reader, writer, from_server) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
                elif link.frozen and not from_server:
                    link.owed = True
                    if not self.dark:
                        link.abort()
        if link.frozen and from_server:
            return
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
