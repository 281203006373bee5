"""Cost of a request in runs at the services below, measured from responses.

One request near the top of the call graph causes many at the bottom, and a
retry near the top repeats all calls below it.
"""

# Weight of one response in the moving average.
SMOOTHING = 0.05
# A service whose mean is below this is no longer used by the route.
MEAN_RUNS_MIN = 0.01


class CallTreeCosts:
    """Mean number of runs at each service per request of a route."""

    def __init__(self):
        self._mean_runs: dict[tuple[str, str], dict[str, float]] = {}

    def record(self, route: str, service: str, tree: dict[str, float]) -> None:
        """Records the runs of one successful request.

        Args:
          route: Name of the route.
          service: Service that was called.
          tree: Runs at each service, including the called one.
        """
        means = self._mean_runs.get((route, service))
        if means is None:
            self._mean_runs[route, service] = dict(tree)
            return
        for name in means.keys() | tree.keys():
            mean = means.get(name, 0.0)
            mean += SMOOTHING * (tree.get(name, 0.0) - mean)
            if mean < MEAN_RUNS_MIN:
                means.pop(name, None)
            else:
                means[name] = mean

    def expected_runs(self, route: str, service: str) -> dict[str, float]:
        """Returns the expected number of runs at each service."""
        return self._mean_runs.get((route, service)) or {service: 1.0}
