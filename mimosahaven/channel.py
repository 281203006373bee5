"""Non-blocking ZeroMQ sockets on the asyncio event loop."""

import asyncio
import dataclasses
from collections.abc import Callable

import zmq

# Bounds how long one wake-up keeps the event loop from other work.
MESSAGES_PER_WAKEUP = 64


@dataclasses.dataclass
class Traffic:
    """Numbers of messages and of frame bytes sent and received."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_count: int = 0
    received_count: int = 0


class Channel:
    """A non-blocking ZeroMQ socket on the event loop."""

    def __init__(
        self,
        socket: zmq.Socket,
        on_frames: Callable[[list[bytes]], None],
        traffic: Traffic | None = None,
    ):
        self._socket = socket
        self._on_frames = on_frames
        self._traffic = traffic or Traffic()
        self._loop = asyncio.get_running_loop()
        self._fd = socket.getsockopt(zmq.FD)
        self._closed = False
        self._receive_scheduled = False
        self._loop.add_reader(self._fd, self._receive)
        # The descriptor reports nothing until ZMQ_EVENTS has been read once.
        self._schedule_receive()

    def send(self, frames: list[bytes]) -> bool:
        """Sends without blocking; returns False if the socket cannot send."""
        if self._closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            # The file descriptor is edge-triggered: a send can consume the
            # edge of a message that arrived in the meantime.
            self._schedule_receive()
        self._traffic.sent_bytes += sum(map(len, frames))
        self._traffic.sent_count += 1
        return True

    def close(self, linger_ms: int = 0) -> None:
        """Closes the socket; allows linger_ms for sending queued messages."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._fd)
        self._socket.close(linger=linger_ms)

    def _schedule_receive(self) -> None:
        if self._receive_scheduled or self._closed:
            return
        if self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._receive_scheduled = True
            self._loop.call_soon(self._receive)

    def _receive(self) -> None:
        self._receive_scheduled = False
        for _ in range(MESSAGES_PER_WAKEUP):
            if self._closed:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            self._traffic.received_bytes += sum(map(len, frames))
            self._traffic.received_count += 1
            self._on_frames(frames)
        self._schedule_receive()
