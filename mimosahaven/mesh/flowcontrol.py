"""Backpressure on the connections of the mesh."""

import asyncio


class FlowControlProtocol(asyncio.Protocol):
    """Base class of protocols whose writers wait for a slow reader."""

    def __init__(self):
        self._writable: asyncio.Future | None = None

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Releases the writers that wait in `drain`."""
        self.release_writers()
        self._writable = None

    def release_writers(self) -> None:
        """Wakes waiting writers, also after the connection has ended."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def drain(self) -> None:
        """Waits until the write buffer has drained or the peer has closed."""
        if self._writable is not None:
            await self._writable


def set_reading_paused(transport: asyncio.Transport, paused: bool) -> None:
    """Pauses or resumes reading on a connection that may be closing."""
    if transport.is_closing():
        return
    if paused:
        transport.pause_reading()
    else:
        transport.resume_reading()
