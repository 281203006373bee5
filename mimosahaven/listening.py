"""Binding of the addresses that a daemon listens on."""

import os
import socket

from mimosahaven import codes
from mimosahaven import errors

# Exit code of a daemon that cannot bind an address; see docs/CODES.md.
EXIT_CANNOT_LISTEN = 4


class ListenError(errors.MimosahavenError):
    """An address cannot be bound.

    Args:
      host: IP address.
      port: Port.
      error_number: Error number of the system call, as in `errno`.
    """

    def __init__(self, host: str, port: int, error_number: int):
        reason = os.strerror(error_number).lower()
        super().__init__(
            codes.Code.CANNOT_LISTEN,
            f"cannot listen on {host}:{port}: {reason}",
        )


def bind(host: str, port: int) -> socket.socket:
    """Returns a TCP socket that is bound but not yet listening.

    Raises:
      ListenError: The address is in use or not local to this VM.
    """
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP. With
    # Nagle's algorithm, each response waits 40 ms for a delayed ACK.
    bound = socket.socket(proto=socket.IPPROTO_TCP)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise ListenError(host, port, error.errno or 0) from error
    return bound
