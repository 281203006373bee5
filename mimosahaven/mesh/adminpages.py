"""Pages that the daemon serves beside the requests: readiness and metrics."""

from collections.abc import Callable

from mimosahaven import codes
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import records


class AdminPage:
    """Serves one path from a function that gives status and text.

    Args:
      path: The path; any other one is 404.
      render: Returns the status and the text.
    """

    def __init__(self, path: str, render: Callable[[], tuple[int, str]]):
        self._path = path.encode()
        self._render = render

    async def handle(
        self, request: callerserver.Request
    ) -> callerserver.Response:
        """Answers a request."""
        if request.path.partition(b"?")[0] != self._path:
            return callerserver.Response(404)
        status, text = self._render()
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return callerserver.Response(status, headers, text.encode())

    def limits(self) -> records.CallerLimits:
        """Returns the default limits."""
        return records.CallerLimits()

    def should_close(self) -> bool:
        """Keeps connections open."""
        return False

    def refuse(self, code: codes.Code) -> callerserver.Response:
        """Answers what cannot be read."""
        return callerserver.Response(codes.describe(code).http_status)

    def on_open(self, connection: callerserver.CallerConnection) -> None:
        """Does nothing."""

    def on_close(self, connection: callerserver.CallerConnection) -> None:
        """Does nothing."""
