"""Listening sockets of a mesh daemon: callers, peers, readiness, metrics."""

import asyncio
import typing

from mimosahaven import listening
from mimosahaven.mesh import adminpages
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import peerserver
from mimosahaven.mesh import settings as settings_lib

if typing.TYPE_CHECKING:
    from mimosahaven.mesh import daemon as daemon_lib

# Length of the accept queue; a burst of callers opens hundreds of connections.
BACKLOG = 1024
METRICS_PATH = "/metrics"


async def open_all(daemon: "daemon_lib.MeshDaemon") -> list[asyncio.Server]:
    """Opens all servers of a daemon.

    Raises:
      ListenError: Listening on an address failed.
    """
    listen = daemon.settings.listen
    readiness = adminpages.AdminPage(
        listen.readiness_path, lambda: (200 if daemon.ready else 503, "")
    )
    metrics = adminpages.AdminPage(
        METRICS_PATH, lambda: (200, daemon.metrics_text())
    )
    listeners = [
        (lambda: callerserver.CallerConnection(daemon), listen.callers),
        (lambda: peerserver.PeerServerConnection(daemon), listen.peers),
        (lambda: callerserver.CallerConnection(readiness), listen.readiness),
    ]
    if listen.metrics_port:
        address = settings_lib.Address(
            host=daemon.settings.target.host, port=listen.metrics_port
        )
        listeners.append(
            (lambda: callerserver.CallerConnection(metrics), address)
        )
    loop = asyncio.get_running_loop()
    return [
        await loop.create_server(
            factory,
            sock=listening.bind(address.host, address.port),
            backlog=BACKLOG,
        )
        for factory, address in listeners
    ]
