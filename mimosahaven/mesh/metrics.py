"""Counters and latency histograms of a mesh daemon."""

import collections

from hdrh import histogram

LATENCY_MAX_MS = 60_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
# Bounds the histograms, as configuration changes add and remove routes.
ROUTES_MAX = 1_000


class MetricsRegistry:
    """Counters by name and label, and latency histograms by route."""

    def __init__(self):
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latencies: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str) -> None:
        """Increments a counter."""
        self._counts[name, label] += 1

    def record_latency(self, route: str, took_ms: float) -> None:
        """Records the time from reading a request to its response."""
        latency = self._latencies.get(route)
        if latency is None:
            if len(self._latencies) >= ROUTES_MAX:
                return
            latency = self._latencies[route] = histogram.HdrHistogram(
                1, LATENCY_MAX_MS, SIGNIFICANT_DIGITS
            )
        latency.record_value(min(LATENCY_MAX_MS, max(1, int(took_ms))))

    def render(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in the Prometheus text format.

        Args:
          gauges: Current values by name.
        """
        lines = [
            f"mimosahaven_{name} {value:g}" for name, value in gauges.items()
        ]
        for (name, label), count in sorted(self._counts.items()):
            lines.append(f'mimosahaven_{name}_total{{of="{label}"}} {count}')
        for route, latency in sorted(self._latencies.items()):
            for quantile in QUANTILES:
                value = latency.get_value_at_percentile(quantile)
                lines.append(
                    f'mimosahaven_latency_ms{{route="{route}",'
                    f'quantile="{quantile / 100:g}"}} {value}'
                )
            lines.append(
                f'mimosahaven_latency_ms_count{{route="{route}"}} '
                f"{latency.get_total_count()}"
            )
        return "\n".join(lines) + "\n"
