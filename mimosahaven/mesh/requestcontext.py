"""What the mesh knows of a request: route, importance, deadline and parent."""

import typing

from mimosahaven import codes
from mimosahaven import identity
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import http1
from mimosahaven.mesh import inflight as inflight_lib
from mimosahaven.mesh import records
from mimosahaven.mesh import routing
from mimosahaven.mesh import settings as settings_lib

Code = codes.Code

# Weight of rank 0; lower ranks count down from it.
TOP_WEIGHT = 100


class RequestContext(typing.NamedTuple):
    """A request with what the mesh knows of it.

    Attributes:
      request: As the caller sent it.
      attempt_id: Identity that the caller gave it.
      route: Its route.
      service: Service that runs it.
      priority: Shedding priority of the root request; higher goes first.
      deadline_ms: Deadline on the clock of this daemon.
      root_ms: When the root request began, on the same clock.
      parent: Request of the local target that it is a call of, or None.
    """

    request: callerserver.Request
    attempt_id: str
    route: records.Route
    service: str
    priority: int
    deadline_ms: float
    root_ms: float
    parent: inflight_lib.Parent | None


class ContextReader:
    """Reads the context of requests.

    Args:
      headers: Names of the mesh's headers.
      in_flight: Requests of the local target, whose calls these may be.
    """

    def __init__(
        self,
        headers: settings_lib.HeaderNames,
        in_flight: inflight_lib.InFlight,
    ):
        self._attempt_header = headers.attempt_id.lower().encode()
        self._deadline_header = headers.deadline_ms.lower().encode()
        self._in_flight = in_flight

    def read(
        self, request: callerserver.Request, index: routing.RouteIndex
    ) -> RequestContext | Code:
        """Returns the context of a request, or why it cannot be served.

        A call takes over importance and age from the request that the local
        target makes it for, and ends with it at the latest.
        """
        host = http1.find_header(request.headers, b"host") or b""
        route = index.match(
            host.decode("latin-1"), request.path.decode("latin-1")
        )
        if route is None:
            return Code.UNKNOWN_ROUTE
        attempt_id = self.attempt_id(request)
        if not attempt_id:
            return Code.MALFORMED
        deadline_ms = request.read_ms + route.timeout_ms
        raw_deadline = http1.find_header(request.headers, self._deadline_header)
        if raw_deadline is not None:
            try:
                deadline_ms = min(
                    deadline_ms, request.read_ms + float(raw_deadline)
                )
            except ValueError:
                return Code.MALFORMED
        service = index.choose_service(route)
        parent = self._in_flight.parent_of(attempt_id)
        root_ms = request.read_ms
        if parent is None:
            weight = max(0, TOP_WEIGHT - route.rank)
            priority = identity.priority(weight, attempt_id)
        else:
            parent.add_need(service)
            priority = parent.priority
            root_ms = parent.root_ms
            deadline_ms = min(deadline_ms, parent.deadline_ms)
        return RequestContext(
            request,
            attempt_id,
            route,
            service,
            priority,
            deadline_ms,
            root_ms,
            parent,
        )

    def attempt_id(self, request: callerserver.Request) -> str:
        """Returns the identity that the caller gave, empty for none."""
        raw = http1.find_header(request.headers, self._attempt_header) or b""
        return raw.decode("latin-1")
