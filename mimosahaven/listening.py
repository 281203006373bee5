"""Opens the addresses that a daemon listens on."""

import os
import socket

from mimosahaven import codes
from mimosahaven import errors

# Exit code of a daemon that cannot listen; see docs/CODES.md.
EXIT_CANNOT_LISTEN = 4


class ListenError(errors.MimosahavenError):
    """An address cannot be listened on.

    Args:
      host: IP number.
      port: Port.
      error_number: Number of the system's error, as in `errno`.
    """

    def __init__(self, host: str, port: int, error_number: int):
        reason = os.strerror(error_number).lower()
        super().__init__(
            codes.Code.CANNOT_LISTEN,
            f"cannot listen on {host}:{port}: {reason}",
        )


def bind(host: str, port: int) -> socket.socket:
    """Returns a TCP socket that is bound and does not listen yet.

    Raises:
      ListenError: The address is in use, or not one of this VM.
    """
    # asyncio turns off the Nagle algorithm only for sockets that name TCP;
    # with it, each answer waits 40 ms for a delayed acknowledgement.
    bound = socket.socket(proto=socket.IPPROTO_TCP)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise ListenError(host, port, error.errno or 0) from error
    return bound
