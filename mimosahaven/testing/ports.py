"""Ports for the programs of one run."""

import socket


class PortAllocator:
    """Ports that nobody else gets while a run goes on.

    A port that is picked and released at once can become the local port of
    any connection before its program binds it. Here the port stays bound by a
    socket that does not listen. The kernel then gives it to nobody who does
    not ask for it, and a program that sets SO_REUSEADDR can still listen on
    it, also after a restart.
    """

    def __init__(self):
        self._sockets: list[socket.socket] = []

    def allocate(self, host: str, count: int = 1) -> list[int]:
        """Returns free ports of an address, as the kernel picks them."""
        return [self._allocate_one(host) for _ in range(count)]

    def release(self) -> None:
        """Gives the ports back."""
        for held in self._sockets:
            held.close()
        self._sockets.clear()

    def _allocate_one(self, host: str) -> int:
        held = socket.socket()
        self._sockets.append(held)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((host, 0))
        return held.getsockname()[1]
