"""Allocation of ports for programs under test."""

import socket


class PortAllocator:
    """Allocates free ports and keeps them reserved until `release`.

    A port that is released before its program binds it can become the local
    port of any other connection. Here each port stays bound by a socket that
    does not listen. The kernel then assigns it to no other socket, while a
    program that sets SO_REUSEADDR can still listen on it, also after a
    restart.
    """

    def __init__(self):
        self._sockets: list[socket.socket] = []

    def allocate(self, host: str, count: int = 1) -> list[int]:
        """Returns free ports of an address, as assigned by the kernel."""
        return [self._allocate_one(host) for _ in range(count)]

    def release(self) -> None:
        """Releases all ports."""
        for bound_socket in self._sockets:
            bound_socket.close()
        self._sockets.clear()

    def _allocate_one(self, host: str) -> int:
        bound_socket = socket.socket()
        self._sockets.append(bound_socket)
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind((host, 0))
        return bound_socket.getsockname()[1]
