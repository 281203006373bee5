"""A ZeroMQ socket on the event loop."""

import asyncio
import dataclasses
from collections.abc import Callable

import zmq

# Bounds the time that one wake-up keeps the loop from other work.
MESSAGES_PER_WAKEUP = 64


@dataclasses.dataclass
class Traffic:
    """Messages that channels have carried, and bytes of their frames."""

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
        self._scheduled = False
        self._loop.add_reader(self._fd, self._drain)
        # The descriptor signals nothing before the events were read once.
        self._schedule()

    def send(self, frames: list[bytes]) -> bool:
        """Sends without blocking; returns False when it cannot."""
        if self._closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            # The file descriptor is edge-triggered: a send can consume the
            # edge of a message that has arrived meanwhile.
            self._schedule()
        self._traffic.sent_bytes += sum(map(len, frames))
        self._traffic.sent_count += 1
        return True

    def close(self, linger_ms: int = 0) -> None:
        """Closes the socket; unsent messages are sent within linger_ms."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._fd)
        self._socket.close(linger=linger_ms)

    def _schedule(self) -> None:
        if self._scheduled or self._closed:
            return
        if self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._scheduled = True
            self._loop.call_soon(self._drain)

    def _drain(self) -> None:
        self._scheduled = False
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
        self._schedule()
