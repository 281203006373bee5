"""Tests of mimosahaven.metrics."""

import pathlib
import socket

import testtools
from testtools import matchers

from mimosahaven import metrics
from mimosahaven import settings as settings_lib

Metric = metrics.Metric
DOCUMENT = pathlib.Path(__file__).parent.parent / "docs" / "METRICS.md"


class MetricsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.receiver.close)
        self.receiver.bind(("127.0.0.1", 0))
        self.receiver.settimeout(10)
        host, port = self.receiver.getsockname()
        self.metrics = metrics.Metrics(
            settings_lib.MetricsSettings(endpoint={"host": host, "port": port}),
            "t0",
        )
        self.addCleanup(self.metrics.close)

    def test_counts_are_aggregated(self):
        # Sending one datagram per call would cost more than its log line.
        for _ in range(3):
            self.metrics.count(Metric.RESULTS, suffix="OK")
        self.metrics.gauge(Metric.LIMIT, 7)
        self.metrics.gauge(Metric.LIMIT, 8)
        self.metrics.record_peak(Metric.LOOP_LAG, 5.0)
        self.metrics.record_peak(Metric.LOOP_LAG, 2.0)
        self.assertTrue(self.metrics.tick(10_000.0))
        self.assertThat(
            self.receiver.recv(2_000).decode().splitlines(),
            matchers.Equals(
                [
                    "mimosahaven.t0.results.OK:3|c",
                    "mimosahaven.t0.guard.limit:8|g",
                    "mimosahaven.t0.loop.lag_ms:5.0|g",
                ]
            ),
        )
        self.assertFalse(self.metrics.tick(10_999.0))
        self.metrics.count(Metric.RETRIES, 2)
        self.metrics.tick(11_000.0)
        self.assertThat(
            self.receiver.recv(2_000).decode().splitlines()[0],
            matchers.Equals("mimosahaven.t0.retries:2|c"),
        )

    def test_without_receiver(self):
        # An unreachable statsd server must not affect the daemon.
        self.receiver.close()
        for now_ms in (0.0, 1_000.0, 2_000.0):
            self.metrics.count(Metric.RETRIES)
            self.assertTrue(self.metrics.tick(now_ms))

    def test_without_endpoint(self):
        disabled = metrics.Metrics(settings_lib.MetricsSettings(), "t0")
        disabled.count(Metric.RETRIES)
        self.assertFalse(disabled.tick(10_000.0))


class DocumentTest(testtools.TestCase):
    def test_document_lists_every_metric(self):
        text = DOCUMENT.read_text(encoding="utf-8")
        self.assertThat(
            text, matchers.Contains("\n".join(metrics.reference_lines()))
        )
