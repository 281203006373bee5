"""Cost of a request at the services below, measured from responses.

One request near the top of the call graph causes many at the bottom, and a
retry near the top repeats all calls below it.
"""

import dataclasses
from collections.abc import Mapping

# Weight of one response in the moving averages.
SMOOTHING = 0.05
# A service whose mean is below this is no longer used by the route.
MEAN_RUNS_MIN = 0.01


@dataclasses.dataclass(slots=True)
class _MeanCosts:
    """Means per request of one route, by service.

    Attributes:
      runs: Number of runs.
      slot_ms: Time in ms for which they occupy slots.
    """

    runs: dict[str, float]
    slot_ms: dict[str, float]


class CallTreeCosts:
    """Mean cost at each service per request of a route."""

    def __init__(self):
        self._means: dict[tuple[str, str], _MeanCosts] = {}

    def record(
        self,
        route: str,
        service: str,
        tree: Mapping[str, float],
        slot_ms: Mapping[str, float],
    ) -> None:
        """Records the runs of one successful request.

        Args:
          route: Name of the route.
          service: Service that was called.
          tree: Runs at each service, including the called one.
          slot_ms: Time in ms for which they occupied slots of each service.
        """
        means = self._means.get((route, service))
        if means is None:
            self._means[route, service] = _MeanCosts(dict(tree), dict(slot_ms))
            return
        _update_means(means.slot_ms, slot_ms)
        _update_means(means.runs, tree)
        for name in [n for n, v in means.runs.items() if v < MEAN_RUNS_MIN]:
            del means.runs[name]
            means.slot_ms.pop(name, None)

    def expected_runs(self, route: str, service: str) -> dict[str, float]:
        """Returns the expected number of runs at each service."""
        means = self._means.get((route, service))
        return means.runs if means and means.runs else {service: 1.0}

    def expected_slot_ms(
        self, route: str, service: str, at_service: str
    ) -> float | None:
        """Returns the time in ms for which a request occupies slots.

        Args:
          route: Name of the route.
          service: Service that is called.
          at_service: Service whose slots are meant.

        Returns:
          The expected time, or None if nothing is known.
        """
        means = self._means.get((route, service))
        return means.slot_ms.get(at_service) if means else None


def _update_means(means: dict[str, float], sample: Mapping[str, float]) -> None:
    for name in means.keys() | sample.keys():
        mean = means.get(name, 0.0)
        means[name] = mean + SMOOTHING * (sample.get(name, 0.0) - mean)
