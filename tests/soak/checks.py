"""Checks of the specified guarantees against the observations of a soak.

Guarantees without a time bound always hold. Those with a time bound hold only
for daemons that are in contact with the fleet: no fault of their VM or of the
store in the last STABLE_S seconds, and no stall of the soak process itself.
"""

import collections
import dataclasses

from tests.soak import observations as observations_lib
from tests.soak import workload

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Bounds from the specification.
STABLE_S = 3.0
DRAIN_S = 2.0
APPLY_S = 2.0
RECOVER_S = 15.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACK = 47
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A daemon is bound by an announcement this long after it has passed it on.
LIMIT_KNOWN_S = 0.5
# Faults after which a daemon is not bound by what it passed on before.
FORGETTING = {"term", "kill", "power_loss", "term_then_kill", "pause"}
# The specification requires that a quarter succeed after RECOVER_S. As nothing
# is overloaded here, nearly all requests must succeed; the tolerance allows for
# responses that targets drop.
SUCCESS_SHARE_MIN = 0.9


@dataclasses.dataclass(frozen=True)
class Violation:
    """One violation of a guarantee."""

    rule: str
    detail: str


def check(observations: observations_lib.Observations) -> list[Violation]:
    """Returns all violations of the guarantees."""
    return [
        *_at_most_once(observations),
        *_refusals_not_run(observations),
        *_correct_responses(observations),
        *_requested_runs(observations),
        *_targets_per_attempt(observations),
        *_drained_targets(observations),
        *_announced_leaving(observations),
        *_announced_rate_limits(observations),
        *_table_propagation(observations),
        *_planned_disruptions(observations),
        *_retry_budget(observations),
        *_recovery(observations),
    ]


def _is_undisturbed(
    observations: observations_lib.Observations,
    start_s: float,
    end_s: float,
    vm: int | None = None,
) -> bool:
    """Returns whether no fault or stall affected a VM between two times.

    If `vm` is None, faults of all VMs count. The STABLE_S seconds before the
    start must also be free of faults.
    """
    if any(
        start_s - STABLE_S < stall < end_s + 0.5
        for stall in observations.stalls
    ):
        return False
    return not any(
        not d.planned
        and (vm is None or d.vm is None or d.vm == vm)
        and d.start_s < end_s
        and start_s < d.end_s + STABLE_S
        for d in observations.disruptions
    )


def _at_most_once(observations):
    runs = collections.Counter(run.attempt_id for run in observations.runs)
    for attempt in observations.attempts:
        if (
            workload.KINDS[attempt.kind].at_most_once
            and runs[attempt.attempt_id] > 1
        ):
            yield Violation(
                "TWICE", f"{attempt}: {runs[attempt.attempt_id]} runs"
            )


def _refusals_not_run(observations):
    ran = {run.attempt_id for run in observations.runs}
    for attempt in observations.attempts:
        refused = attempt.status in NOT_RUN_STATUSES
        if (
            workload.KINDS[attempt.kind].at_most_once
            and refused
            and attempt.attempt_id in ran
        ):
            yield Violation("REFUSED", f"{attempt} has run")


def _correct_responses(observations):
    for attempt in observations.attempts:
        if (
            attempt.status is not None
            and attempt.status < 300
            and not attempt.complete
        ):
            yield Violation("MIXED", f"{attempt}")


def _requested_runs(observations):
    attempts = {
        attempt.attempt_id: attempt for attempt in observations.attempts
    }
    for run in observations.runs:
        if run.attempt_id in observations.nested_call_ids:
            continue
        attempt = attempts.get(run.attempt_id)
        if attempt is None:
            yield Violation("UNASKED", f"{run}")
            continue
        kind = workload.KINDS[attempt.kind]
        if (run.method, run.body) != (
            kind.method,
            kind.body(attempt.attempt_id),
        ):
            yield Violation("UNASKED", f"changed: {run}")
        if run.caller != workload.service_of(attempt.vm):
            yield Violation("UNASKED", f"caller of {run} from vm {attempt.vm}")
        if kind.service and run.service != kind.service:
            yield Violation("ROUTE", f"{run}")


def _targets_per_attempt(observations):
    targets = collections.defaultdict(set)
    for run in observations.runs:
        targets[run.attempt_id].add(run.target_id)
    for attempt_id, target_ids in targets.items():
        if len(target_ids) > workload.TARGETS_MAX:
            yield Violation(
                "BUDGET", f"{attempt_id} ran at {len(target_ids)} targets"
            )


def _drained_targets(observations):
    attempts = {
        attempt.attempt_id: attempt for attempt in observations.attempts
    }
    for drain_start in observations.drain_starts:
        for run in observations.runs:
            late_s = run.started_s - drain_start.started_s
            if run.target_id != drain_start.target_id or late_s <= DRAIN_S:
                continue
            if run.attempt_id in attempts and _is_undisturbed(
                observations, drain_start.started_s, run.started_s
            ):
                yield Violation("DRAIN", f"{late_s:.2f} s late: {run}")


def _may_have_forgotten(
    observations: observations_lib.Observations,
    announcement: observations_lib.Announcement,
    until_s: float,
) -> bool:
    """Returns whether the daemon has restarted or paused since then."""
    return any(
        d.kind in FORGETTING
        and d.vm == announcement.vm
        and d.start_s < until_s
        and announcement.at_s < d.end_s
        for d in observations.disruptions
    ) or any(
        announcement.at_s < stall < until_s + 0.5
        for stall in observations.stalls
    )


def _announced_leaving(observations):
    """Checks that daemons do not use targets that have said that they leave."""
    attempts = {
        attempt.attempt_id: attempt for attempt in observations.attempts
    }
    for announcement in observations.announcements:
        if not announcement.leaving:
            continue
        for arrival in observations.arrivals:
            attempt = attempts.get(arrival.attempt_id)
            if (
                attempt is not None
                and arrival.target_id == announcement.target_id
                and attempt.vm == announcement.vm
                and attempt.sent_s > announcement.at_s + DRAIN_S
                and not _may_have_forgotten(
                    observations, announcement, arrival.at_s
                )
            ):
                yield Violation("DRAIN", f"{arrival} after {announcement}")


def _announced_rate_limits(observations):
    """Checks the requests in each window at targets that announce a limit."""
    attempt_vms = {a.attempt_id: a.vm for a in observations.attempts}
    for limit in observations.rate_limits:
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.limit_per_s
        arrivals = [
            (a.at_s, workload.origin_vm(a.attempt_id, attempt_vms))
            for a in observations.arrivals
            if a.target_id == limit.target_id
            and limit.start_s + STABLE_S <= a.at_s < limit.end_s
        ]
        for start_s, _ in arrivals:
            end_s = start_s + LIMIT_WINDOW_S
            bound_vms = {
                announcement.vm
                for announcement in observations.announcements
                if announcement.limited
                and announcement.target_id == limit.target_id
                and announcement.at_s <= start_s - LIMIT_KNOWN_S
                and not _may_have_forgotten(observations, announcement, end_s)
            }
            count = sum(
                start_s <= at_s < end_s and vm in bound_vms
                for at_s, vm in arrivals
            )
            if count > allowed + LIMIT_SLACK:
                yield Violation("LIMIT", f"{count} requests, {limit}")
                break


def _table_propagation(observations):
    """Checks by probes of the newest route which table each daemon uses."""
    newest: dict[tuple[int, int], int] = {}
    for attempt in sorted(
        observations.attempts, key=lambda attempt: attempt.sent_s
    ):
        if attempt.kind != workload.PROBE_KIND:
            continue
        version = int(attempt.attempt_id.split("-")[1])
        next_s = min(
            (at_s for at_s, v in observations.tables if v > version),
            default=float("inf"),
        )
        daemon = (attempt.vm, attempt.incarnation)
        if attempt.status == 200:
            newest[daemon] = max(newest.get(daemon, 0), version)
        elif attempt.status == 404 and attempt.ended_s < next_s:
            # The daemon does not use this table yet.
            if newest.get(daemon, 0) >= version:
                yield Violation("CONFIG", f"{attempt} regressed")
            put_s = next(
                at_s for at_s, v in observations.tables if v == version
            )
            late_s = attempt.sent_s - put_s
            if late_s > APPLY_S and _is_undisturbed(
                observations, put_s, attempt.ended_s, attempt.vm
            ):
                yield Violation("CONFIG", f"{late_s:.2f} s late: {attempt}")


def _planned_disruptions(observations):
    """Checks that no planned stop or reload interrupted a request."""
    ran = {run.attempt_id for run in observations.runs}
    for attempt in observations.attempts:
        if attempt.status is not None or attempt.abandoned:
            continue
        if not attempt.ended_s:
            # In progress when the soak ended all processes.
            continue
        if attempt.pipelined and attempt.attempt_id not in ran:
            # Its caller sends it again, as it has not been passed on.
            continue
        if attempt.ended_s - attempt.sent_s < 0.2 and attempt.connection_reused:
            # The daemon may have closed the idle connection before it read the
            # request.
            continue
        if any(
            d.planned
            and d.vm == attempt.vm
            and d.start_s - STABLE_S < attempt.sent_s < d.start_s + 3
            for d in observations.disruptions
        ) and _is_undisturbed(
            observations, attempt.sent_s - STABLE_S, attempt.ended_s
        ):
            yield Violation("LOST", f"{attempt}")


def _retry_budget(observations):
    seen_attempt_ids: set[str] = set()
    first_runs = collections.defaultdict(list)
    retries = collections.defaultdict(list)
    for run in sorted(observations.runs, key=lambda run: run.started_s):
        starts = retries if run.attempt_id in seen_attempt_ids else first_runs
        starts[run.service].append(run.started_s)
        seen_attempt_ids.add(run.attempt_id)
    for service, times in retries.items():
        for start_s in times:
            end_s = start_s + RETRY_WINDOW_S
            count = sum(start_s <= at_s < end_s for at_s in times)
            requests = sum(
                start_s <= at_s < end_s for at_s in first_runs[service]
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield Violation(
                    "BUDGET", f"{service}: {count} retries, {requests} requests"
                )
                break


def _recovery(observations):
    start_s = observations.faults_ended_s + RECOVER_S
    attempts = [
        attempt
        for attempt in observations.attempts
        if attempt.kind != workload.PROBE_KIND
        and not attempt.abandoned
        and start_s < attempt.sent_s < observations.ended_s - 1
    ]
    if not attempts:
        return
    success_share = sum(attempt.status == 200 for attempt in attempts) / len(
        attempts
    )
    if success_share < SUCCESS_SHARE_MIN:
        yield Violation(
            "RECOVER", f"{success_share:.2f} of {len(attempts)} served"
        )
