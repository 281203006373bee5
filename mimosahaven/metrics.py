"""Metrics, aggregated in the process and sent to statsd over UDP."""

import dataclasses
import enum

import statsd

from mimosahaven import settings as settings_lib


@dataclasses.dataclass(frozen=True)
class MetricInfo:
    """Description of a metric.

    Attributes:
      name: Name without the prefix.
      kind: "counter", "gauge" or "peak" (maximum within an interval).
      unit: Unit of the value.
      meaning: What is measured.
      alert_when: Condition that an operator should investigate.
    """

    name: str
    kind: str
    unit: str
    meaning: str
    alert_when: str


class Metric(enum.Enum):
    """The metrics of a daemon."""

    RESULTS = MetricInfo(
        "results",
        "counter",
        "calls",
        "Results of callers' requests; the code name is appended.",
        "`UNKNOWN` run states grow, or important rows are refused.",
    )
    ATTEMPTS = MetricInfo(
        "attempts",
        "counter",
        "attempts",
        "Calls sent to targets, retries included.",
        "It grows faster than the results.",
    )
    RETRIES = MetricInfo(
        "retries",
        "counter",
        "attempts",
        "Attempts after the first.",
        "More than a tenth of the attempts for minutes.",
    )
    RETRIES_DENIED = MetricInfo(
        "retries_denied",
        "counter",
        "attempts",
        "Retries that a budget or the retry ratio did not allow.",
        "It grows outside of an overload: a service keeps failing.",
    )
    REFUSALS = MetricInfo(
        "refusals",
        "counter",
        "calls",
        "Calls refused by this guard; the code name is appended.",
        "`LEDGER_FULL`, `QUARANTINED` or `KEY_UNSETTLED` appears.",
    )
    LIMIT = MetricInfo(
        "guard.limit",
        "gauge",
        "calls",
        "Concurrency limit of the local target.",
        "It stays near 1: the target answers slowly or fails.",
    )
    RUNNING = MetricInfo(
        "guard.running",
        "gauge",
        "calls",
        "Calls that the local target is running.",
        "It equals the limit for minutes.",
    )
    WAITING = MetricInfo(
        "guard.waiting",
        "gauge",
        "calls",
        "Calls in the queue of the guard.",
        "It stays above 0 for minutes: capacity is short.",
    )
    THRESHOLD = MetricInfo(
        "guard.threshold",
        "gauge",
        "priority",
        "Shed threshold; 65536 is one unit of weight.",
        "It exceeds 65536 times the important weight of the table.",
    )
    LEDGER_RECORDS = MetricInfo(
        "ledger.records",
        "gauge",
        "records",
        "Records in the ledger.",
        "Above 80% of `ledger.records_max`.",
    )
    OUT_TARGETS = MetricInfo(
        "routing.out_targets",
        "gauge",
        "targets",
        "Targets that are ejected or out of reach for this router.",
        "The same target is out for many daemons.",
    )
    SPILLS = MetricInfo(
        "routing.spills",
        "counter",
        "attempts",
        "Choices that left the own failure domain.",
        "It grows in one failure domain only.",
    )
    LINKS_LOST = MetricInfo(
        "links.lost",
        "counter",
        "links",
        "Links that fell silent or were closed by the peer.",
        "It grows without restarts of VMs: look at the network.",
    )
    RESULTS_UNMATCHED = MetricInfo(
        "links.results_unmatched",
        "counter",
        "results",
        "Duplicate, late and foreign results that were dropped.",
        "It grows without timeouts or lost links.",
    )
    TABLE_VERSION = MetricInfo(
        "table.version",
        "gauge",
        "version",
        "Version of the table in force.",
        "Daemons differ for more than 5 s.",
    )
    TABLE_FAULTS = MetricInfo(
        "table.faults",
        "counter",
        "tables",
        "Tables refused; the code name is appended.",
        "Any `TABLE_CONFLICT` or `TABLE_INVALID`.",
    )
    PLATFORM_AGE = MetricInfo(
        "platform.contact_age_ms",
        "gauge",
        "ms",
        "Age of the newest platform contact known here.",
        "Above 10,000: the platform is down or this domain is cut off.",
    )
    PAUSES = MetricInfo(
        "pauses",
        "counter",
        "pauses",
        "Pauses of the own process.",
        "Any: the VM is stopped or starved.",
    )
    LOOP_LAG = MetricInfo(
        "loop.lag_ms",
        "peak",
        "ms",
        "How late the tick of the event loop ran.",
        "Above 50 in many intervals: the daemon is short of processor time.",
    )
    LOG_DROPPED = MetricInfo(
        "log.dropped",
        "counter",
        "lines",
        "Log lines dropped because standard error was full.",
        "Any: the reader of the log does not keep up.",
    )


class _NonBlockingClient(statsd.StatsClient):
    """A statsd client that drops datagrams if the send buffer is full."""

    def __init__(self, settings: settings_lib.MetricsSettings, target: str):
        endpoint = settings.endpoint
        super().__init__(
            endpoint.host,
            endpoint.port,
            prefix=f"{settings.prefix}.{target}",
            ipv6=":" in endpoint.host,
        )
        self._sock.setblocking(False)


class Metrics:
    """Aggregates metrics and sends them once per interval.

    Names are `<prefix>.<target>.<name>`, so that gauges of different daemons
    do not overwrite each other. Without an endpoint, nothing is recorded or
    sent.
    """

    def __init__(self, settings: settings_lib.MetricsSettings, target: str):
        self._interval_ms = settings.interval_ms
        self._client = None
        if settings.endpoint is not None:
            self._client = _NonBlockingClient(settings, target)
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._peaks: dict[str, float] = {}
        self._totals: dict[str, int] = {}
        self._next_send_ms = 0.0

    def count(self, metric: Metric, amount: int = 1, suffix: str = "") -> None:
        """Increments a counter; the suffix is the name of a result code."""
        if self._client is not None:
            name = metric.value.name
            if suffix:
                name = f"{name}.{suffix}"
            self._counts[name] = self._counts.get(name, 0) + amount

    def set_total(self, metric: Metric, value: int) -> None:
        """Sets a counter to a total that is counted elsewhere."""
        name = metric.value.name
        self.count(metric, value - self._totals.get(name, 0))
        self._totals[name] = value

    def gauge(self, metric: Metric, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._gauges[metric.value.name] = value

    def record_peak(self, metric: Metric, value: float) -> None:
        """Records a value; the maximum of the interval is sent."""
        if self._client is not None:
            name = metric.value.name
            self._peaks[name] = max(value, self._peaks.get(name, value))

    def due(self, now_ms: float) -> bool:
        """Returns whether the next tick sends the metrics."""
        return self._client is not None and now_ms >= self._next_send_ms

    def tick(self, now_ms: float) -> bool:
        """Sends the aggregated metrics if the interval has elapsed.

        Returns:
          Whether they were sent.
        """
        if not self.due(now_ms):
            return False
        self._next_send_ms = now_ms + self._interval_ms
        with self._client.pipeline() as batch:
            for name, amount in self._counts.items():
                batch.incr(name, amount)
            for name, value in (*self._gauges.items(), *self._peaks.items()):
                batch.gauge(name, round(value, 3))
        self._counts.clear()
        self._peaks.clear()
        return True

    def close(self) -> None:
        """Closes the socket."""
        if self._client is not None:
            self._client.close()


def reference_lines() -> list[str]:
    """Returns the lines of the reference table in docs/METRICS.md."""
    lines = [
        "| Name | Kind | Unit | Meaning | When to worry |",
        "|---|---|---|---|---|",
    ]
    for metric in Metric:
        info = metric.value
        lines.append(
            f"| `{info.name}` | {info.kind} | {info.unit} | {info.meaning} "
            f"| {info.alert_when} |"
        )
    return lines
