"""Planned stop of a mesh daemon."""

import asyncio
import typing

from mimosahaven import clock
from mimosahaven import codes

if typing.TYPE_CHECKING:
    from mimosahaven.mesh import daemon as daemon_lib

# Time after SIGTERM during which all requests are still served. Callers stop
# sending requests after two failed readiness checks, one second apart. From
# then on, the target is idle until its daemon has restarted; with a longer
# drain, a rolling restart would take out several targets of a service at once.
SERVE_AFTER_TERM_MS = 2_300.0
# Pings that precede an at-most-once run are refused from this long before the
# earliest end of the process, so that no run is on its way then.
RUN_AFTER_PING_MS = 100.0
# The drain ends this long before the process would be killed; closing all
# connections takes up to half a second on a busy VM.
KILL_MARGIN_MS = 900.0
# After SERVE_AFTER_TERM_MS, a drain ends once no request is in flight and the
# last request of a caller arrived longer ago than this.
DRAIN_IDLE_MS = 200.0
# Interval at which the end of the work is checked for.
CHECK_INTERVAL_MS = 50.0
# Time for callers to receive the responses to requests that have been ended.
FLUSH_MS = 300.0


def refuses_pings(daemon: "daemon_lib.MeshDaemon", now_ms: float) -> bool:
    """Returns whether the process may end before a run that follows a ping."""
    if daemon.term_ms is None:
        return False
    earliest_end_ms = min(
        daemon.term_ms + SERVE_AFTER_TERM_MS, daemon.runner.stop_ms
    )
    return now_ms > earliest_end_ms - RUN_AFTER_PING_MS


async def drain(daemon: "daemon_lib.MeshDaemon") -> None:
    """Finishes the work in flight of a stopping daemon.

    Returns within the grace period, counted from the daemon's `term_ms`.
    Requests that may last longer are refused from the start, before any work,
    so that their callers and other daemons send them elsewhere. Those that do
    last longer are ended with a response that leaves open whether they have
    run.
    """
    term_ms = daemon.term_ms
    daemon.log.event("stopping", f"{daemon.work_count} in flight")
    daemon.followers.publish(daemon.heartbeat())
    end_ms = term_ms + daemon.settings.bounds.grace_s * 1000 - KILL_MARGIN_MS
    daemon.outbound.stop_ms = daemon.runner.stop_ms = end_ms
    daemon.admission.stop_ms = end_ms
    while (now_ms := clock.monotonic_ms()) < end_ms:
        if now_ms - term_ms > SERVE_AFTER_TERM_MS:
            daemon.runner.refuse_code = codes.Code.LEAVING
            daemon.outbound.draining = True
            daemon.close_idle_connections()
            is_idle = now_ms - daemon.last_request_ms > DRAIN_IDLE_MS
            if is_idle and not (
                daemon.work_count or daemon.has_unsent_responses
            ):
                break
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
    else:
        daemon.log.event("ending requests", f"{daemon.work_count} in flight")
        daemon.end_exchanges()
    # What has been read by now is still answered.
    daemon.close_listeners()
    flushed_ms = clock.monotonic_ms() + FLUSH_MS
    while clock.monotonic_ms() < flushed_ms:
        if not daemon.caller_connection_count:
            break
        daemon.close_idle_connections()
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
