"""What requests cost at the services below, learnt from answers.

Answers the pattern "one request at the top is many at the bottom": a repeat
near the top repeats all calls below it.
"""

# Weight of one answer in the mean.
SMOOTHING = 0.05
# Means below this are of services that a route no longer uses.
FORGET_RUNS = 0.01


class CallTreeCosts:
    """Mean runs at each service that a request of a route takes."""

    def __init__(self):
        self._runs: dict[tuple[str, str], dict[str, float]] = {}

    def record(self, route: str, service: str, tree: dict[str, float]) -> None:
        """Takes in the runs of one answered request.

        Args:
          route: Name of the route.
          service: Service that was called.
          tree: Runs at each service, the called one included.
        """
        known = self._runs.get((route, service))
        if known is None:
            self._runs[route, service] = dict(tree)
            return
        for name in known.keys() | tree.keys():
            mean = known.get(name, 0.0)
            mean += SMOOTHING * (tree.get(name, 0.0) - mean)
            if mean < FORGET_RUNS:
                known.pop(name, None)
            else:
                known[name] = mean

    def expected_runs(self, route: str, service: str) -> dict[str, float]:
        """Returns the expected runs at each service."""
        return self._runs.get((route, service)) or {service: 1.0}
