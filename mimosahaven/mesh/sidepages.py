"""Pages that the daemon serves beside the requests: readiness and metrics."""

from collections.abc import Callable

from mimosahaven import codes
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import records


class Page:
    """Serves one path from a function that gives status and text.

    Args:
      path: The path; any other one is 404.
      render: Returns the status and the text.
    """

    def __init__(self, path: str, render: Callable[[], tuple[int, str]]):
        self._path = path.encode()
        self._render = render

    async def handle(self, request: callerserver.Request) -> callerserver.Reply:
        """Answers a request."""
        if request.path.partition(b"?")[0] != self._path:
            return callerserver.Reply(404)
        status, text = self._render()
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return callerserver.Reply(status, headers, text.encode())

    def limits(self) -> records.CallerLimits:
        """Returns the default limits."""
        return records.CallerLimits()

    def closing(self) -> bool:
        """Keeps connections open."""
        return False

    def refuse(self, code: codes.Code) -> callerserver.Reply:
        """Answers what cannot be read."""
        return callerserver.Reply(codes.describe(code).http_status)

    def on_open(self, connection: callerserver.CallerConnection) -> None:
        """Does nothing."""

    def on_close(self, connection: callerserver.CallerConnection) -> None:
        """Does nothing."""
