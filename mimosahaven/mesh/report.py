"""State of a mesh daemon for its peers, its metrics and its log."""

import typing

from mimosahaven import clock
from mimosahaven.mesh import frames

if typing.TYPE_CHECKING:
    from mimosahaven.mesh import daemon as daemon_lib


# Interval of the `state` events in the log.
STATE_LOG_MS = 1_000.0


class StatusLog:
    """Logs the state of the local target at intervals, and its rate limit.

    Args:
      daemon: The daemon.
      now_ms: Current time.
    """

    def __init__(self, daemon: "daemon_lib.MeshDaemon", now_ms: float):
        self._daemon = daemon
        self._state_logged_ms = now_ms
        self._rate_limit_per_s: float | None = None

    def tick(self, now_ms: float) -> None:
        """Logs what is due.

        The rate limit is compared at intervals, as a target may announce
        another one in each response.
        """
        log = self._daemon.log
        limit_per_s = self._daemon.admission.rate_limit_per_s
        if limit_per_s != self._rate_limit_per_s:
            self._rate_limit_per_s = limit_per_s
            limit = "none" if limit_per_s is None else f"{limit_per_s:g}/s"
            log.event(
                "target announces",
                f"rate limit {limit}, "
                f"{self._daemon.runner.sent_count} requests sent",
            )
        if now_ms - self._state_logged_ms >= STATE_LOG_MS:
            self._state_logged_ms = now_ms
            log.event("state", state_text(self._daemon))


def load(daemon: "daemon_lib.MeshDaemon", now_ms: float) -> frames.Load:
    """Returns the load of the local target for other daemons."""
    admission = daemon.admission
    thresholds = {
        service: value
        for service, value in daemon.thresholds.export_all(now_ms).items()
        if value[0]
    }
    return frames.Load(
        admission.running,
        admission.waiting,
        0 if daemon.runner.monitor.health.down else admission.usable_limit,
        admission.mean_ms,
        admission.threshold,
        thresholds,
        daemon.replica.table_version,
        daemon.replica.directory.revision,
    )


def gauges(daemon: "daemon_lib.MeshDaemon") -> dict[str, float]:
    """Returns the current values of the gauges, by name."""
    admission = daemon.admission
    replica = daemon.replica
    contact_ms = daemon.store_watch.contact.response_ms
    rate_limit_per_s = daemon.admission.rate_limit_per_s
    age_ms = -1.0 if contact_ms is None else clock.monotonic_ms() - contact_ms
    return {
        "ready": float(daemon.ready),
        "target_running": admission.running,
        "target_waiting": admission.waiting,
        "target_limit": admission.usable_limit,
        "target_mean_ms": admission.mean_ms,
        "target_down": float(daemon.runner.monitor.health.down),
        # -1 for no limit: a target may announce that it accepts nothing.
        "target_rate_limit_per_s": (
            -1.0 if rate_limit_per_s is None else rate_limit_per_s
        ),
        "target_requests_sent": daemon.runner.sent_count,
        "shed_threshold": admission.threshold,
        "requests_in_flight": daemon.outbound.in_flight_count,
        "target_connections_opened": daemon.runner.pool.opened_count,
        "table_version": replica.table_version,
        "list_revision": replica.directory.revision,
        "targets": len(replica.directory),
        "store_contact_age_ms": age_ms,
        "store_epoch": daemon.store_watch.epoch,
        "store_reads": daemon.store_watch.read_count,
        "store_checks": daemon.store_watch.check_count,
        "store_watching": float(daemon.store_watch.has_store),
        "store_sources": len(daemon.subscriptions.live_sources),
        "followers": len(daemon.followers),
        "unreachable_peers": len(daemon.balancer.unreachable_hosts()),
        "pauses": daemon.pause_detector.pause_count,
        "log_lines_dropped": daemon.log.dropped_count,
    }


def state_text(daemon: "daemon_lib.MeshDaemon") -> str:
    """Returns the state of the local target for the log."""
    admission = daemon.admission
    return (
        f"target {admission.running}/{admission.usable_limit} running, "
        f"{admission.waiting} waiting, "
        f"mean {admission.mean_ms:.0f} ms, threshold {admission.threshold}, "
        f"{daemon.outbound.in_flight_count} requests in flight, "
        f"{daemon.runner.sent_count} requests sent, "
        f"{daemon.runner.pool.opened_count} connections opened"
    )
