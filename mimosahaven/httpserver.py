"""Uvicorn server for the HTTP entry."""

import contextlib

import uvicorn


class Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Does not install uvicorn's signal handlers."""
        yield


def make_server(app, host: str, port: int, protocol: type) -> Server:
    """Returns the server of an ASGI application.

    Args:
      app: The application.
      host: Address to listen on.
      port: Port to listen on.
      protocol: Protocol class for the connections.
    """
    return Server(
        uvicorn.Config(
            app,
            host=host,
            port=port,
            http=protocol,
            loop="none",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            # The entry does not use the address of the client.
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
    )
