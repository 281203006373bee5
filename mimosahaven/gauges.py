"""Gauges that are sampled from the status of a daemon."""

from mimosahaven import metrics as metrics_lib
from mimosahaven import status as status_lib
from mimosahaven import statuspage

Metric = metrics_lib.Metric


def sample(daemon, now_ms: float) -> None:
    """Updates the gauges of a daemon; called once per interval."""
    metrics = daemon.metrics
    status = statuspage.build_status(daemon, now_ms)
    metrics.gauge(Metric.LIMIT, status.guard.limit)
    metrics.gauge(Metric.RUNNING, status.guard.running)
    metrics.gauge(Metric.WAITING, status.guard.waiting)
    metrics.gauge(Metric.THRESHOLD, status.guard.threshold)
    metrics.gauge(Metric.LEDGER_RECORDS, status.guard.ledger_records)
    metrics.gauge(Metric.OUT_TARGETS, _count_suspects(status))
    metrics.gauge(Metric.TABLE_VERSION, status.table.version)
    if status.platform_contact_age_ms is not None:
        metrics.gauge(Metric.PLATFORM_AGE, status.platform_contact_age_ms)
    metrics.set_total(Metric.RESULTS_UNMATCHED, status.results_unmatched)
    metrics.set_total(Metric.LOG_DROPPED, status.log_lines_dropped)


def _count_suspects(status: status_lib.DaemonStatus) -> int:
    suspect = status_lib.TargetState.SUSPECT
    return sum(target.state is suspect for target in status.targets)
