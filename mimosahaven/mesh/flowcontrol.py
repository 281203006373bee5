"""Back pressure on the connections of the mesh."""

import asyncio


class FlowControlProtocol(asyncio.Protocol):
    """Base of protocols that wait while the other side reads slowly."""

    def __init__(self):
        self._writable: asyncio.Future | None = None

    def pause_writing(self) -> None:
        """Makes `drained` wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets `drained` go on."""
        self.release_writers()
        self._writable = None

    def release_writers(self) -> None:
        """Lets what waits go on, also when the connection has ended."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def drain(self) -> None:
        """Waits until the other side has read enough, or has left."""
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
