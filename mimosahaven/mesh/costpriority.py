"""Orders root requests of one rank by what they cost the limiting service.

When a service deep in the call graph has too few slots, the time for which it
has them can serve a few expensive requests or several times as many cheap ones.
Among requests of equal rank, the expensive ones are therefore shed earlier, in
proportion to their cost; none is shed altogether before the others are.
"""

import dataclasses

from mimosahaven import identity
from mimosahaven import shedding
from mimosahaven.mesh import calltreecosts
from mimosahaven.mesh import records

# Weight of one request in the mean cost of its rank.
SMOOTHING = 0.02
# Bounds of the cost relative to the mean, so that a rare route or a few
# unusually long runs do not exclude a route from service.
RELATIVE_COST_MIN = 0.25
RELATIVE_COST_MAX = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCost:
    """What a request is expected to cost.

    Attributes:
      rank: Rank of its route.
      service: Service that limits it.
      slot_ms: Expected time in ms for which it occupies slots of that service.
    """

    rank: int
    service: str
    slot_ms: float


class CostPriority:
    """Adjusts shedding priorities within a rank to the cost of the requests."""

    def __init__(self):
        self._mean_slot_ms: dict[tuple[int, str], float] = {}

    def adjust(self, priority: int, cost: RequestCost) -> int:
        """Returns the shedding priority of a root request, adjusted to cost.

        The lower part of a priority is uniformly distributed. Raised to the
        power of the relative cost c, the share of the requests that is above a
        threshold at the share t of the range is 1 - t ** (1 / c).

        Args:
          priority: Shedding priority from the rank and a hash of the request.
          cost: Expected cost of the request.
        """
        key = cost.rank, cost.service
        mean_ms = self._mean_slot_ms.get(key, cost.slot_ms)
        mean_ms += SMOOTHING * (cost.slot_ms - mean_ms)
        self._mean_slot_ms[key] = mean_ms
        relative = min(
            RELATIVE_COST_MAX, max(RELATIVE_COST_MIN, cost.slot_ms / mean_ms)
        )
        weight, part = divmod(priority, identity.WEIGHT_STEP)
        part = int(
            (identity.WEIGHT_STEP - 1)
            * (part / identity.WEIGHT_STEP) ** relative
        )
        return weight * identity.WEIGHT_STEP + part


class RoutePriorities:
    """Adjusts the priorities of root requests by the costs of their routes.

    Args:
      thresholds: Shed thresholds, which tell the service that limits a route.
      costs: Costs of the routes.
    """

    def __init__(
        self,
        thresholds: shedding.ThresholdMap,
        costs: calltreecosts.CallTreeCosts,
    ):
        self._thresholds = thresholds
        self._costs = costs
        self._order = CostPriority()
        # For each route, the service that has limited it last.
        self._limiting_services: dict[str, str] = {}

    def adjust(
        self, priority: int, route: records.Route, service: str, now_ms: float
    ) -> int:
        """Returns the shedding priority of a root request, adjusted to cost.

        Args:
          priority: Shedding priority from the rank and a hash of the request.
          route: Route of the request.
          service: Service that runs it.
          now_ms: Current time.
        """
        limiting = self._thresholds.highest_service(service, route.name, now_ms)
        if limiting is None:
            limiting = self._limiting_services.get(route.name)
            if limiting is None:
                return priority
        self._limiting_services[route.name] = limiting
        slot_ms = self._costs.expected_slot_ms(route.name, service, limiting)
        if not slot_ms:
            return priority
        cost = RequestCost(route.rank, limiting, slot_ms)
        return self._order.adjust(priority, cost)
