"""A sound backend, which records what it begins to run."""

import asyncio
from collections.abc import Callable

from standins import record as record_lib
from standins import wire

KEEP_ALIVE_S = 30
# An answer leaves in pieces, as over a link with a small window.
PIECE_BYTES = 16_384
PIECE_S = 0.002


class Backend:
    """One backend of a service.

    It answers 421 to a request for another instance, runs a request for
    `work_s`, and drops it when its connection closes.

    Args:
      instance: Its id.
      record: Receives what is run and answered.
      body: Returns the body of the answer to a request.
      work_s: How long a request runs.

    Attributes:
      truncate: Returns whether the answer to a request breaks off.
      crashes: Returns whether a request crashes the backend that begins it.
      on_crash: Called when the backend has crashed.
      leaving: Whether it drains, and closes connections after answers.
      running: Number of requests that it runs.
    """

    def __init__(
        self,
        instance: str,
        record: record_lib.Record,
        body: Callable[[wire.Message], bytes],
        work_s: float,
    ):
        self.instance = instance
        self.truncate: Callable[[wire.Message], bool] = lambda request: False
        self.crashes: Callable[[wire.Message], bool] = lambda request: False
        self.on_crash: Callable[[], None] = lambda: None
        self.leaving = False
        self.running = 0
        self._record = record
        self._body = body
        self._work_s = work_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )

    def stop(self) -> None:
        """Stops and closes all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                if not request.whole:
                    break
                answer = asyncio.ensure_future(self._answer(request, writer))
                # A sound caller sends nothing before the answer, so that the
                # read ends only with the connection.
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    {answer, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                if not answer.done():
                    answer.cancel()
                    self._record.add("dropped", self.instance, request)
                    break
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                if not answer.result():
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            # Flushes what was written, unless the connection is gone.
            writer.close()

    async def _answer(self, request, writer) -> bool:
        """Runs and answers a request; returns whether to keep on."""
        attempt_id = request.header(wire.ATTEMPT)
        headers = {
            wire.ATTEMPT: attempt_id,
            wire.INSTANCE: self.instance,
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        wanted = request.header(wire.TARGET, self.instance)
        if wanted != self.instance:
            headers[wire.NOT_RUN] = "1"
            writer.write(wire.encode_response(421, headers))
            return True
        self._record.add("run", self.instance, request)
        if self.crashes(request):
            self._record.add("crashed", self.instance, request)
            self.stop()
            self.on_crash()
            return False
        self.running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.running -= 1
        body = self._body(request)
        keep_on = not self.leaving
        if not keep_on:
            headers["Connection"] = "close"
        headers[wire.SEAL] = f"{len(body):x}.{attempt_id}"
        encoded = wire.encode_response(200, headers, body)
        if self.truncate(request):
            writer.write(encoded[: len(encoded) - len(body) // 3])
            await writer.drain()
            self._record.add("truncated", self.instance, request)
            # The bytes leave before the connection ends.
            await asyncio.sleep(0.05)
            return False
        for start in range(0, len(encoded), PIECE_BYTES):
            if start:
                await asyncio.sleep(PIECE_S)
            writer.write(encoded[start : start + PIECE_BYTES])
            await writer.drain()
        self._record.add("answered", self.instance, request)
        return keep_on
