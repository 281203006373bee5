"""Context of a request: route, importance, deadline and parent request."""

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

# Weight of rank 0; each further rank has a weight lower by one.
TOP_WEIGHT = 100


class RequestContext(typing.NamedTuple):
    """A request with its context.

    Attributes:
      request: The request as sent by the caller.
      attempt_id: ID assigned by the caller.
      route: Route of the request.
      service: Service that runs it.
      priority: Shedding priority of the root request; higher runs first.
      deadline_ms: Deadline on the clock of this daemon.
      root_ms: Start time of the root request on the same clock.
      parent: Request on the local target that made this call, or None.
    """

    request: callerserver.Request
    attempt_id: str
    route: records.Route
    service: str
    priority: int
    deadline_ms: float
    root_ms: float
    parent: inflight_lib.ParentRequest | None


class ContextReader:
    """Derives the context of requests.

    Args:
      headers: Names of the mesh's headers.
      in_flight: Requests on the local target, which may be parent requests.
    """

    def __init__(
        self,
        headers: settings_lib.HeaderNames,
        in_flight: inflight_lib.InFlightRequests,
    ):
        self._attempt_header = headers.attempt_id.lower().encode()
        self._deadline_header = headers.deadline_ms.lower().encode()
        self._in_flight = in_flight

    def read(
        self, request: callerserver.Request, index: routing.RouteIndex
    ) -> RequestContext | Code:
        """Returns the context of a request, or the code to refuse it with.

        A call made by the local target inherits the importance and age of its
        parent request, and its deadline is no later than the parent's.
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
        deadline_value = http1.find_header(
            request.headers, self._deadline_header
        )
        if deadline_value is not None:
            try:
                deadline_ms = min(
                    deadline_ms, request.read_ms + float(deadline_value)
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
            parent.record_call(service)
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
        """Returns the ID assigned by the caller, or an empty string."""
        value = http1.find_header(request.headers, self._attempt_header) or b""
        return value.decode("latin-1")
