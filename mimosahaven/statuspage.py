"""HTTP resources for the status and the decisions of a daemon."""

import falcon

import mimosahaven
from mimosahaven import clock
from mimosahaven import decisions
from mimosahaven import fleet as fleet_lib
from mimosahaven import status as status_lib


class StatusResource:
    """Serves `GET /-/status`."""

    def __init__(self, daemon):
        self._daemon = daemon

    async def on_get(self, req, resp) -> None:
        """Responds with the status of the daemon as JSON."""
        del req
        resp.content_type = "application/json"
        resp.data = status_lib.encode(
            build_status(self._daemon, clock.monotonic_ms())
        )


class DecisionsResource:
    """Serves `GET /-/decisions?action=ID`."""

    def __init__(self, target: str, log: decisions.DecisionLog):
        self._target = target
        self._log = log

    async def on_get(self, req, resp) -> None:
        """Responds with the retained decisions on an action or a call."""
        identity = req.get_param("action")
        if not identity:
            raise falcon.HTTPMissingParam("action")
        resp.content_type = "application/json"
        resp.data = decisions.encode_page(
            decisions.DecisionPage(self._target, self._log.find(identity))
        )


def build_status(daemon, now_ms: float) -> status_lib.DaemonStatus:
    """Returns the status of a daemon.

    Args:
      daemon: The daemon.
      now_ms: Current time of the monotonic clock.
    """
    local_target = daemon.settings.target
    membership = daemon.membership
    age_ms = membership.fleet_view.platform_age_ms(now_ms)
    pause = daemon.lifecycle.pause_detector
    return status_lib.DaemonStatus(
        target=local_target.name,
        service=local_target.service,
        failure_domain=local_target.failure_domain,
        region=local_target.region,
        incarnation=daemon.incarnation,
        program_version=mimosahaven.__version__,
        state=daemon.lifecycle.state(now_ms).value,
        uptime_ms=now_ms - daemon.started_ms,
        table=_table_status(daemon, now_ms),
        list_version=membership.fleet_view.version,
        list_age_ms=now_ms - daemon.list_changed_ms,
        platform_contact_age_ms=None if age_ms < 0 else age_ms,
        targets=_target_statuses(daemon, now_ms),
        rows=daemon.entry_stats.status(),
        guard=daemon.guard.status(now_ms),
        retries=status_lib.RetryStatus(
            attempts=daemon.router.attempt_count,
            retries=daemon.router.retry_count,
            denied=daemon.router.denied_retry_count,
        ),
        quarantine=daemon.quarantine.statuses(now_ms),
        pauses=status_lib.PauseStatus(
            count=pause.pause_count, last_gap_ms=pause.last_gap_ms
        ),
        results_unmatched=daemon.attempt_sender.unmatched_count,
        messages_malformed=daemon.link_manager.malformed_count,
        bytes_sent=daemon.link_manager.traffic.sent_bytes,
        bytes_received=daemon.link_manager.traffic.received_bytes,
        messages_sent=daemon.link_manager.traffic.sent_count,
        messages_received=daemon.link_manager.traffic.received_count,
        links=len(daemon.link_manager.links()),
        routes=len(daemon.link_manager.inbound_peers()),
        log_lines_dropped=daemon.sink.dropped_count,
    )


def _table_status(daemon, now_ms: float) -> status_lib.TableStatus:
    store = daemon.membership.store
    fault = store.faults[-1] if store.faults else None
    return status_lib.TableStatus(
        version=store.version,
        text_hash=store.hash,
        age_ms=now_ms - daemon.table_changed_ms,
        source=store.source,
        fault_code=fault.fault.code if fault else 0,
        fault_text=fault.describe() if fault else "",
    )


def _target_statuses(daemon, now_ms: float) -> list[status_lib.TargetStatus]:
    states = {s.member.target: s for s in daemon.target_selector.states()}
    fleet_view = daemon.membership.fleet_view
    return [
        _target_status(
            member,
            states.get(member.target),
            fleet_view.is_leaving(member.target),
            now_ms,
        )
        for member in fleet_view.members.values()
    ]


def _target_status(
    member: fleet_lib.Member, router_state, leaving: bool, now_ms: float
) -> status_lib.TargetStatus:
    state = status_lib.TargetState.LIVE
    out_for_ms = 0.0
    if router_state is not None and router_state.ejection_state.is_unavailable(
        now_ms
    ):
        state = status_lib.TargetState.SUSPECT
        out_for_ms = router_state.ejection_state.unavailable_until_ms() - now_ms
    if leaving:
        state = status_lib.TargetState.LEAVING
    return status_lib.TargetStatus(
        target=member.target,
        service=member.service,
        failure_domain=member.failure_domain,
        host=member.host,
        entry_port=member.entry_port,
        state=state,
        out_for_ms=out_for_ms,
        outstanding=router_state.outstanding if router_state else 0,
        latency_ms=router_state.latency_ms if router_state else None,
        threshold=int(router_state.threshold) if router_state else 0,
    )
