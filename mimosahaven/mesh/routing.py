"""Maps requests to routes and services."""

from mimosahaven.mesh import records


class RouteIndex:
    """Finds routes by host and path prefix and splits traffic by weight.

    Attributes:
      table: The route table.
      top_rank: Rank of the most important routes.
    """

    def __init__(self, table: records.RouteTable):
        self.table = table
        self.top_rank = min((route.rank for route in table.routes), default=0)
        self._by_host: dict[str, dict[str, records.Route]] = {}
        for route in table.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._credits: dict[str, list[float]] = {}

    def match(self, host: str, path: str) -> records.Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
          host: Value of the Host header, with or without a port.
          path: Path, with or without a query string.
        """
        prefixes = self._by_host.get(_without_port(host).lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose_service(self, route: records.Route) -> str:
        """Returns the service for the next request of a route.

        Uses smooth weighted round robin, which keeps close to the weights even
        over a few requests.
        """
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        credit = self._credits.setdefault(route.name, [0.0] * len(shares))
        total = 0.0
        best = 0
        for index, share in enumerate(shares):
            credit[index] += share.weight
            total += share.weight
            if credit[index] > credit[best]:
                best = index
        credit[best] -= total
        return shares[best].service


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
