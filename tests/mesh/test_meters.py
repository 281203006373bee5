import testtools
from testtools import matchers

from mimosahaven.mesh import meters as meters_lib


class MetersTest(testtools.TestCase):
    def test_counters_gauges_and_quantiles_are_rendered(self):
        meters = meters_lib.Meters()
        meters.count("refusals", "SHED_AT_ENTRY")
        meters.count("refusals", "SHED_AT_ENTRY")
        for took_ms in range(1, 101):
            meters.record_latency("r", took_ms)
        text = meters.render({"running": 3})
        for line in (
            "mimosahaven_running 3",
            'mimosahaven_refusals_total{of="SHED_AT_ENTRY"} 2',
            'mimosahaven_latency_ms{route="r",quantile="0.5"} 50',
            'mimosahaven_latency_ms_count{route="r"} 100',
        ):
            self.assertThat(text, matchers.Contains(line))

    def test_routes_are_bounded(self):
        meters = meters_lib.Meters()
        for number in range(meters_lib.ROUTES_MAX + 5):
            meters.record_latency(f"r{number}", 1.0)
        count = meters.render({}).count("latency_ms_count")
        self.assertEqual(meters_lib.ROUTES_MAX, count)
