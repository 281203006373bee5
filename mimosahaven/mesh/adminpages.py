"""HTTP endpoints of the daemon itself: readiness and metrics."""

from collections.abc import Callable

from mimosahaven import codes
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import records


class AdminPage:
    """Serves a single path with the result of a render function.

    Args:
      path: Path to serve; any other path gets a 404.
      render: Returns the status and the text of the body.
    """

    def __init__(self, path: str, render: Callable[[], tuple[int, str]]):
        self._path = path.encode()
        self._render = render

    async def handle(
        self, request: callerserver.Request
    ) -> callerserver.Response:
        """Responds to a request."""
        if request.path.partition(b"?")[0] != self._path:
            return callerserver.Response(404)
        status, text = self._render()
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return callerserver.Response(status, headers, text.encode())

    def limits(self) -> records.CallerLimits:
        """Returns the default limits."""
        return records.CallerLimits()

    def should_close(self) -> bool:
        """Returns False: connections stay open."""
        return False

    def refuse(self, code: codes.Code) -> callerserver.Response:
        """Returns the response to a malformed request."""
        return callerserver.Response(codes.describe(code).http_status)

    def on_open(self, connection: callerserver.CallerConnection) -> None:
        """Ignores new connections; none are tracked."""

    def on_close(self, connection: callerserver.CallerConnection) -> None:
        """Ignores closed connections; none are tracked."""
