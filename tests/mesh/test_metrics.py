import testtools
from testtools import matchers

from mimosahaven.mesh import metrics as metrics_lib


class MetricsRegistryTest(testtools.TestCase):
    def test_counters_gauges_and_quantiles_are_rendered(self):
        metrics = metrics_lib.MetricsRegistry()
        metrics.count("refusals", "SHED_AT_ENTRY")
        metrics.count("refusals", "SHED_AT_ENTRY")
        for latency_ms in range(1, 101):
            metrics.record_latency("r", latency_ms)
        text = metrics.render({"running": 3})
        for line in (
            "mimosahaven_running 3",
            'mimosahaven_refusals_total{of="SHED_AT_ENTRY"} 2',
            'mimosahaven_latency_ms{route="r",quantile="0.5"} 50',
            'mimosahaven_latency_ms_count{route="r"} 100',
        ):
            self.assertThat(text, matchers.Contains(line))

    def test_the_number_of_routes_is_bounded(self):
        metrics = metrics_lib.MetricsRegistry()
        for number in range(metrics_lib.ROUTES_MAX + 5):
            metrics.record_latency(f"r{number}", 1.0)
        count = metrics.render({}).count("latency_ms_count")
        self.assertEqual(metrics_lib.ROUTES_MAX, count)
