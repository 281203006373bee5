"""Pool of client connections to the daemons on other VMs."""

import asyncio
import collections
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import peerconnection
from mimosahaven.mesh import responsestream
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import watcherselection

Code = codes.Code

# The peer ends a run at its deadline; this allows for its last frame to arrive.
DEADLINE_SLACK_MS = 150.0
# The peer ends a stream soon after the deadline; one that has not ended this
# long after it is cut off, in case the peer sends without an end.
STREAM_SLACK_MS = 2_000.0
# An inquiry gets at least this much time, even past the deadline of the run.
INQUIRY_MIN_MS = 200.0

LoadListener = Callable[[str, frames.Load], None]


class PeerPool:
    """Pool of connections to the daemons on other VMs.

    Args:
      settings: Settings of the daemon.
      on_load: Called with the host and the load in each reply.

    Attributes:
      on_frame_error: Called with the host and the reason when a peer has sent
        bytes that are no valid frame.
    """

    def __init__(
        self, settings: settings_lib.MeshSettings, on_load: LoadListener
    ):
        self._settings = settings.peers
        self._port = settings.listen.peers.port
        self._local_host = settings.target.host
        self._on_load = on_load
        self.on_frame_error: Callable[[str, str], None] = lambda host, detail: (
            None
        )
        self._idle: dict[
            str, collections.deque[peerconnection.PeerConnection]
        ] = {}

    async def run(self, host: str, send: outcomes.Send) -> outcomes.Outcome:
        """Sends a request to another daemon, to be run on its target."""
        if send.run.once:
            connection = await self._acquire_verified(host, send)
        else:
            connection = await self._acquire(host)
        if connection is None:
            return outcomes.Refused(Code.LINK_LOST)
        if isinstance(connection, outcomes.Refused):
            return connection
        now_ms = clock.monotonic_ms()
        send.run.remaining_ms = send.deadline_ms - now_ms
        send.run.root_age_ms = now_ms - send.root_ms
        try:
            return await self._exchange(
                host, connection, send.run, send.deadline_ms
            )
        except peerconnection.PeerConnectionLostError:
            if not send.run.once:
                return outcomes.Failed(Code.LINK_LOST)
            return await self._inquire(host, send)

    async def ping(
        self, host: str, table_version: int, list_revision: int
    ) -> bool:
        """Returns whether a peer responds on a new connection."""
        connection = await self._open(host)
        if connection is None:
            return False
        connection.send(
            frames.Ping(self._local_host, table_version, list_revision)
        )
        try:
            frame = await connection.receive(self._settings.accept_timeout_ms)
        except peerconnection.PeerConnectionLostError:
            connection.close()
            return False
        if isinstance(frame, frames.Pong):
            self._on_load(host, frame.load)
        self._release(host, connection)
        return True

    async def fetch(
        self, host: str, port: int, request: frames.Fetch
    ) -> frames.State | None:
        """Returns a peer's state newer than the given versions, or None."""
        connection = await self._open(host, port)
        if connection is None:
            return None
        connection.send(request)
        try:
            frame = await connection.receive(self._settings.silence_ms)
        except peerconnection.PeerConnectionLostError:
            return None
        finally:
            connection.close()
        return frame if isinstance(frame, frames.State) else None

    async def notify(self, host: str, frame: frames.Frame) -> None:
        """Sends a frame without a reply; lost if the peer is unreachable."""
        connection = await self._acquire(host)
        if connection is not None:
            connection.send(frame)
            self._release(host, connection)

    async def follow(
        self,
        host: str,
        request: frames.Follow,
        on_frame: Callable[[frames.Frame], None],
    ) -> None:
        """Subscribes to a peer; returns once the connection is lost.

        Args:
          host: VM of the peer.
          request: Versions that are already known.
          on_frame: Called with each frame from the peer.
        """
        connection = await self._open(host)
        if connection is None:
            return
        connection.send(request)
        try:
            while True:
                on_frame(
                    await connection.receive(
                        watcherselection.HEARTBEAT_TIMEOUT_MS
                    )
                )
        except peerconnection.PeerConnectionLostError:
            return
        finally:
            connection.close()

    def expire(self, now_ms: float) -> None:
        """Closes connections that have exceeded the idle timeout."""
        for idle in self._idle.values():
            while (
                idle and now_ms - idle[0].idle_since_ms > self._settings.idle_ms
            ):
                idle.popleft().close()

    def close(self) -> None:
        """Closes all idle connections."""
        for host in list(self._idle):
            self.close_idle(host)

    def close_idle(self, host: str) -> None:
        """Closes the idle connections to a peer."""
        for connection in self._idle.pop(host, ()):
            connection.close()

    async def _acquire(self, host: str) -> peerconnection.PeerConnection | None:
        idle = self._idle.get(host)
        while idle:
            connection = idle.pop()
            if connection.usable:
                connection.idle = False
                return connection
        return await self._open(host)

    async def _acquire_verified(
        self, host: str, send: outcomes.Send
    ) -> peerconnection.PeerConnection | outcomes.Refused | None:
        """Returns a connection on which the peer has just replied to a ping.

        If a peer does not reply to a run, it is unknown whether the run has
        arrived, and an at-most-once run must not be sent to another target. A
        ping beforehand avoids most such cases.

        Returns:
          The connection, the refusal with which the peer has replied, or None
          if the peer does not reply.
        """
        connection = await self._acquire(host)
        for _ in range(2):
            if connection is None:
                return None
            run = send.run
            connection.send(
                frames.Ping(
                    self._local_host, run.table_version, run.list_revision
                )
            )
            try:
                frame = await connection.receive(
                    self._settings.proof_timeout_ms
                )
            except peerconnection.PeerConnectionLostError:
                connection.close()
                # A pooled connection may belong to an earlier process of the
                # peer.
                connection = await self._open(host)
                continue
            except asyncio.CancelledError:
                connection.close()
                raise
            if isinstance(frame, frames.Pong):
                self._on_load(host, frame.load)
                run.generation = frame.generation
                return connection
            if isinstance(frame, frames.Refused):
                self._on_load(host, frame.load)
                self._release(host, connection)
                return outcomes.Refused(Code(frame.code))
            connection.close()
            return None
        return None

    async def _open(
        self, host: str, port: int | None = None
    ) -> peerconnection.PeerConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(
                self._settings.connect_timeout_ms / 1000
            ):
                _, connection = await loop.create_connection(
                    lambda: peerconnection.PeerConnection(
                        lambda detail: self.on_frame_error(host, detail)
                    ),
                    host,
                    port or self._port,
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def _exchange(
        self,
        host: str,
        connection: peerconnection.PeerConnection,
        request: frames.Run | frames.Inquire,
        deadline_ms: float,
    ) -> outcomes.Outcome:
        """Sends a run or an inquiry and returns the outcome of the run.

        Raises:
          PeerConnectionLostError: The outcome is unknown.
        """
        connection.send(request)
        try:
            outcome = await self._await_outcome(
                host, connection, request, deadline_ms
            )
        except peerconnection.PeerConnectionLostError:
            connection.close()
            raise
        except asyncio.CancelledError:
            connection.send(frames.Cancel())
            connection.close()
            raise
        self._release_after(host, connection, outcome)
        return outcome

    async def _await_outcome(
        self,
        host: str,
        connection: peerconnection.PeerConnection,
        request: frames.Run | frames.Inquire,
        deadline_ms: float,
    ) -> outcomes.Outcome:
        timeout_ms = self._settings.accept_timeout_ms
        while True:
            remaining_ms = deadline_ms - clock.monotonic_ms()
            frame = await connection.receive(
                min(timeout_ms, remaining_ms + DEADLINE_SLACK_MS)
            )
            match frame:
                case frames.Accepted():
                    self._on_load(host, frame.load)
                    timeout_ms = self._settings.silence_ms
                case frames.Answer():
                    self._on_load(host, frame.load)
                    stream = _response_stream(frame, connection)
                    stream.limit_duration(remaining_ms + STREAM_SLACK_MS)
                    return outcomes.Answered(stream)
                case frames.Refused():
                    self._on_load(host, frame.load)
                    if not _is_proved(frame, request):
                        return outcomes.Failed(Code.RECORD_LOST)
                    return outcomes.Refused(
                        Code(frame.code), frame.arrived, frame.queued
                    )
                case frames.Failed():
                    self._on_load(host, frame.load)
                    return outcomes.Failed(Code(frame.code))

    async def _inquire(
        self, host: str, send: outcomes.Send
    ) -> outcomes.Outcome:
        """Requests the outcome of an at-most-once run from the peer.

        If the run has not arrived, the peer bars it, so that the request may be
        sent to another target. A peer that has restarted since cannot tell.
        """
        connection = await self._open(host)
        if connection is None:
            return outcomes.Failed(Code.LINK_LOST)
        min_deadline_ms = clock.monotonic_ms() + INQUIRY_MIN_MS
        try:
            return await self._exchange(
                host,
                connection,
                frames.Inquire(send.run.send_id, send.run.generation),
                max(send.deadline_ms, min_deadline_ms),
            )
        except peerconnection.PeerConnectionLostError:
            return outcomes.Failed(Code.LINK_LOST)

    def _release_after(
        self,
        host: str,
        connection: peerconnection.PeerConnection,
        outcome: outcomes.Outcome,
    ) -> None:
        """Returns a connection to the pool once its exchange has ended."""
        if isinstance(outcome, outcomes.Answered) and not outcome.stream.ended:
            outcome.stream.on_end.append(
                lambda: self._release(host, connection)
            )
        else:
            self._release(host, connection)

    def _release(
        self, host: str, connection: peerconnection.PeerConnection
    ) -> None:
        if connection.has_unread_frames:
            connection.close()
        if connection.usable:
            connection.idle = True
            connection.idle_since_ms = clock.monotonic_ms()
            self._idle.setdefault(host, collections.deque()).append(connection)


def _is_proved(
    reply: frames.Refused, request: frames.Run | frames.Inquire
) -> bool:
    """Returns whether a refusal rests on the records of the send.

    A daemon of a version without generations bars any send that it has no
    record of, even if an earlier incarnation may have run it.
    """
    if isinstance(request, frames.Run):
        return True
    return (
        request.generation is not None
        and reply.generation == request.generation
    )


def _response_stream(
    frame: frames.Answer, connection: peerconnection.PeerConnection
) -> responsestream.ResponseStream:
    stream = responsestream.ResponseStream()
    stream.set_head(frame.status, frame.reason, frame.headers)
    stream.tree = frame.tree
    stream.slot_ms = frame.slot_ms
    stream.feed(frame.body)
    if frame.more:
        connection.stream_body(stream)
    else:
        stream.feed_eof()
    return stream
