"""State of a mesh daemon for its metrics and its log."""

import typing

from mimosahaven import clock

if typing.TYPE_CHECKING:
    from mimosahaven.mesh import daemon as daemon_lib


def gauges(daemon: "daemon_lib.MeshDaemon") -> dict[str, float]:
    """Returns the current values of the gauges, by name."""
    admission = daemon.admission
    replica = daemon.replica
    contact_ms = daemon.store_watch.contact_ms
    rate_limit_per_s = daemon.admission.rate_limit_per_s
    age_ms = -1.0 if contact_ms is None else clock.monotonic_ms() - contact_ms
    return {
        "ready": float(daemon.ready),
        "target_running": admission.running,
        "target_waiting": admission.waiting,
        "target_limit": admission.usable_limit,
        "target_mean_ms": admission.mean_ms,
        "target_down": float(daemon.runner.health.down),
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
        "store_watching": float(daemon.store_watch.has_store),
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
