"""Server for other daemons, whose runs are executed on the local target."""

import asyncio
import typing
from collections.abc import Awaitable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import flowcontrol
from mimosahaven.mesh import frames
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import runner as runner_lib
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import subscriptions


class PeerHandler(typing.Protocol):
    """Interface of the daemon that peer connections use."""

    settings: settings_lib.MeshSettings
    runner: runner_lib.Runner
    tasks: tasks_lib.BackgroundTasks
    followers: subscriptions.Followers
    peer_reply_count: int

    def run_refusal_code(self) -> codes.Code | None:
        """Returns the code with which a run is refused, or None."""

    def refuses_pings(self) -> bool:
        """Returns whether the daemon may end before a run after a ping."""

    def load(self) -> frames.Load:
        """Returns the load of the local target."""

    def state_newer_than(self, request: frames.Fetch) -> frames.State:
        """Returns the routes and targets newer than the given versions."""

    def on_peer_versions(
        self, host: str, table_version: int, list_revision: int
    ) -> None:
        """Handles the versions that a peer reports."""

    def on_frame_error(self, host: str, detail: str) -> None:
        """Handles bytes of a peer that are no valid frame."""

    def heartbeat(self) -> frames.Sign:
        """Returns the heartbeat for followers."""


class PeerServerConnection(flowcontrol.FlowControlProtocol):
    """A connection from a peer, with one exchange at a time."""

    def __init__(self, handler: PeerHandler):
        super().__init__()
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._decoder = frames.FrameDecoder()
        self._task: asyncio.Task | None = None
        self._confirmation_timer: asyncio.TimerHandle | None = None
        # Whether the task goes on after a disconnection, for a later inquiry.
        self._runs_past_disconnect = False
        self._lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decodes and handles frames."""
        try:
            decoded = self._decoder.feed(data)
        except frames.FrameError as error:
            address = self._transport.get_extra_info("peername")
            host = address[0] if address else "unknown"
            self._handler.on_frame_error(host, str(error))
            self._transport.abort()
            return
        for frame in decoded:
            self._on_frame(frame)

    def eof_received(self) -> bool:
        """Closes the connection."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the run, unless a later inquiry may need its outcome."""
        self._lost = True
        self._handler.followers.discard(self)
        if self._task is not None and not self._runs_past_disconnect:
            self._task.cancel()
        self.release_writers()

    def _on_frame(self, frame: frames.Frame) -> None:
        handler = self._handler
        match frame:
            case frames.Run():
                handler.on_peer_versions(
                    frame.sender_host,
                    frame.table_version,
                    frame.list_revision,
                )
                self._runs_past_disconnect = frame.once
                self._start(self._serve_run(frame))
            case frames.Cancel():
                if self._task is not None:
                    self._task.cancel()
            case frames.Ping():
                handler.on_peer_versions(
                    frame.sender_host,
                    frame.table_version,
                    frame.list_revision,
                )
                self._reply_to_ping()
            case frames.Inquire():
                self._runs_past_disconnect = True
                self._start(self._serve_inquiry(frame))
            case frames.Fetch():
                self._write(handler.state_newer_than(frame))
            case frames.Crash():
                handler.runner.monitor.on_crash(frame)
            case frames.Clear():
                handler.runner.monitor.crashes.clear(frame.fingerprint)
            case frames.Follow():
                state = handler.state_newer_than(frame)
                if state.table is not None or state.targets is not None:
                    self._write(state)
                self._write(handler.heartbeat())
                handler.followers.add(self)

    def _reply_to_ping(self) -> None:
        load = self._handler.load()
        if self._handler.refuses_pings():
            self._write(frames.Refused(int(codes.Code.LEAVING), False, load))
            return
        generation = self._handler.runner.send_records.current
        self._write(frames.Pong(load, generation))

    def push(self, data: bytes) -> int:
        """Sends an encoded frame and returns the size of the write buffer."""
        if not self._lost and not self._transport.is_closing():
            self._transport.write(data)
        return self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Aborts the connection."""
        self._transport.abort()

    def _start(self, coroutine) -> None:
        self._task = self._handler.tasks.spawn(coroutine)

    def _write(self, frame: frames.Frame) -> None:
        if not self._lost and not self._transport.is_closing():
            self._transport.write(frames.encode(frame))

    async def _serve_run(self, run: frames.Run) -> None:
        code = self._handler.run_refusal_code()
        if code is not None:
            await self._reply(outcomes.Refused(code))
            return
        now_ms = clock.monotonic_ms()
        send = outcomes.Send(
            run, now_ms + run.remaining_ms, now_ms - run.root_age_ms
        )
        await self._serve(self._handler.runner.run(send))

    async def _serve_inquiry(self, inquiry: frames.Inquire) -> None:
        await self._serve(
            self._handler.runner.inquire(inquiry), inquiry.generation
        )

    async def _serve(
        self,
        awaitable: Awaitable[outcomes.Outcome],
        generation: frames.RecordGeneration | None = None,
    ) -> None:
        peer_settings = self._handler.settings.peers
        # Most runs end before this delay, which saves their confirmation.
        self._confirmation_timer = asyncio.get_running_loop().call_later(
            peer_settings.confirm_ms / 1000,
            self._send_confirmation,
            peer_settings.ping_ms / 1000,
        )
        try:
            outcome = await awaitable
        finally:
            self._confirmation_timer.cancel()
        await self._reply(outcome, generation)

    def _send_confirmation(self, interval_s: float) -> None:
        self._write(frames.Accepted(self._handler.load()))
        self._confirmation_timer = asyncio.get_running_loop().call_later(
            interval_s, self._send_confirmation, interval_s
        )

    async def _reply(
        self,
        outcome: outcomes.Outcome,
        generation: frames.RecordGeneration | None = None,
    ) -> None:
        self._handler.peer_reply_count += 1
        try:
            await self._write_outcome(outcome, generation)
        finally:
            self._handler.peer_reply_count -= 1

    async def _write_outcome(
        self,
        outcome: outcomes.Outcome,
        generation: frames.RecordGeneration | None,
    ) -> None:
        load = self._handler.load()
        match outcome:
            case outcomes.Refused():
                self._write(
                    frames.Refused(
                        int(outcome.code),
                        outcome.arrived,
                        load,
                        generation,
                        outcome.queued,
                    )
                )
            case outcomes.Failed():
                self._write(frames.Failed(int(outcome.code), load))
            case outcomes.Answered():
                await self._reply_response(outcome, load)

    async def _reply_response(
        self, outcome: outcomes.Answered, load: frames.Load
    ) -> None:
        stream = outcome.stream
        complete = stream.complete
        body = await stream.read()
        self._write(
            frames.Answer(
                stream.status,
                stream.reason,
                stream.headers,
                body,
                not complete,
                load,
                stream.tree,
                stream.slot_ms,
            )
        )
        if complete:
            return
        try:
            while data := await stream.read():
                self._write(frames.Data(data))
                await self.drain()
                # An inquiry may need the rest of a response that is kept.
                if self._lost and not stream.is_kept:
                    break
        finally:
            stream.cancel()
        self._write(frames.End(stream.complete))
