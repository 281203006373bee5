"""Checks of the promises of the platform's pages over what a soak has seen.

Checks without a time bound hold always. Those with one hold only where the
pages count a daemon as in touch: without a fault of its VM or of the store
since STABLE_S, and while the soak itself ran without a stall.
"""

import collections
import dataclasses

from tests.soak import seen as seen_lib
from tests.soak import world

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Bounds of the users' pages.
STABLE_S = 3.0
DRAIN_S = 2.0
APPLY_S = 2.0
RECOVER_S = 15.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACK = 47
# The pages ask for a quarter after RECOVER_S. Nothing is overloaded here, so
# that nearly all must be served; the rest allows for answers that targets lose.
SERVED_SHARE_MIN = 0.9


@dataclasses.dataclass(frozen=True)
class Violation:
    """One case in which a promise was not kept."""

    rule: str
    detail: str


def check(seen: seen_lib.Seen) -> list[Violation]:
    """Returns all violations."""
    return [
        *_at_most_once(seen),
        *_not_run(seen),
        *_own_answer(seen),
        *_nothing_invented(seen),
        *_targets_per_attempt(seen),
        *_drain(seen),
        *_tables(seen),
        *_planned_work(seen),
        *_retries(seen),
        *_recovery(seen),
    ]


def _is_calm(
    seen: seen_lib.Seen, start_s: float, end_s: float, vm: int | None = None
) -> bool:
    """Returns whether nothing unplanned concerned a VM, or any for None."""
    if any(start_s - STABLE_S < stall < end_s + 0.5 for stall in seen.stalls):
        return False
    return not any(
        not d.planned
        and (vm is None or d.vm is None or d.vm == vm)
        and d.start_s < end_s
        and start_s < d.end_s + STABLE_S
        for d in seen.disturbances
    )


def _at_most_once(seen):
    runs = collections.Counter(run.attempt for run in seen.runs)
    for ask in seen.asks:
        if world.KINDS[ask.kind].once and runs[ask.attempt] > 1:
            yield Violation("TWICE", f"{ask}: {runs[ask.attempt]} runs")


def _not_run(seen):
    ran = {run.attempt for run in seen.runs}
    for ask in seen.asks:
        refused = ask.status in NOT_RUN_STATUSES
        if world.KINDS[ask.kind].once and refused and ask.attempt in ran:
            yield Violation("REFUSED", f"{ask} has run")


def _own_answer(seen):
    for ask in seen.asks:
        if ask.status is not None and ask.status < 300 and not ask.whole:
            yield Violation("MIXED", f"{ask}")


def _nothing_invented(seen):
    asks = {ask.attempt: ask for ask in seen.asks}
    for run in seen.runs:
        if run.attempt in seen.calls:
            continue
        ask = asks.get(run.attempt)
        if ask is None:
            yield Violation("UNASKED", f"{run}")
            continue
        kind = world.KINDS[ask.kind]
        if (run.method, run.body) != (kind.method, kind.body(ask.attempt)):
            yield Violation("UNASKED", f"changed: {run}")
        if run.caller != world.service_of(ask.vm):
            yield Violation("UNASKED", f"caller of {run} from vm {ask.vm}")
        if kind.service and run.service != kind.service:
            yield Violation("ROUTE", f"{run}")


def _targets_per_attempt(seen):
    targets = collections.defaultdict(set)
    for run in seen.runs:
        targets[run.attempt].add(run.target_id)
    for attempt, used in targets.items():
        if len(used) > world.TARGETS_MAX:
            yield Violation("BUDGET", f"{attempt} ran at {len(used)} targets")


def _drain(seen):
    asks = {ask.attempt: ask for ask in seen.asks}
    for leaving in seen.leavings:
        for run in seen.runs:
            late_s = run.at_s - leaving.at_s
            if run.target_id != leaving.target_id or late_s <= DRAIN_S:
                continue
            if run.attempt in asks and _is_calm(seen, leaving.at_s, run.at_s):
                yield Violation("DRAIN", f"{late_s:.2f} s late: {run}")


def _tables(seen):
    """Probes of the newest route tell which table a daemon goes by."""
    newest: dict[tuple[int, int], int] = {}
    for ask in sorted(seen.asks, key=lambda ask: ask.sent_s):
        if ask.kind != world.PROBE_KIND:
            continue
        version = int(ask.attempt.split("-")[1])
        next_s = min(
            (at_s for at_s, v in seen.tables if v > version),
            default=float("inf"),
        )
        daemon = (ask.vm, ask.incarnation)
        if ask.status == 200:
            newest[daemon] = max(newest.get(daemon, 0), version)
        elif ask.status == 404 and ask.ended_s < next_s:
            # It does not know this table yet.
            if newest.get(daemon, 0) >= version:
                yield Violation("CONFIG", f"{ask} regressed")
            put_s = next(at_s for at_s, v in seen.tables if v == version)
            late_s = ask.sent_s - put_s
            if late_s > APPLY_S and _is_calm(seen, put_s, ask.ended_s, ask.vm):
                yield Violation("CONFIG", f"{late_s:.2f} s late: {ask}")


def _planned_work(seen):
    """Requests that a planned stop or a reload has broken off."""
    for ask in seen.asks:
        if ask.status is not None or ask.gave_up:
            continue
        if ask.ended_s - ask.sent_s < 0.2 and ask.kept:
            # It may have crossed the end of an idle connection, unread.
            continue
        if any(
            d.planned
            and d.vm == ask.vm
            and d.start_s - STABLE_S < ask.sent_s < d.start_s + 3
            for d in seen.disturbances
        ) and _is_calm(seen, ask.sent_s - STABLE_S, ask.ended_s):
            yield Violation("LOST", f"{ask}")


def _retries(seen):
    first: set[str] = set()
    fresh = collections.defaultdict(list)
    repeats = collections.defaultdict(list)
    for run in sorted(seen.runs, key=lambda run: run.at_s):
        kind = repeats if run.attempt in first else fresh
        kind[run.service].append(run.at_s)
        first.add(run.attempt)
    for service, times in repeats.items():
        for start_s in times:
            end_s = start_s + RETRY_WINDOW_S
            count = sum(start_s <= at_s < end_s for at_s in times)
            requests = sum(start_s <= at_s < end_s for at_s in fresh[service])
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield Violation(
                    "BUDGET", f"{service}: {count} repeats, {requests} requests"
                )
                break


def _recovery(seen):
    start_s = seen.calm_since_s + RECOVER_S
    asks = [
        ask
        for ask in seen.asks
        if ask.kind != world.PROBE_KIND
        and not ask.gave_up
        and start_s < ask.sent_s < seen.ended_s - 1
    ]
    if not asks:
        return
    served = sum(ask.status == 200 for ask in asks) / len(asks)
    if served < SERVED_SHARE_MIN:
        yield Violation("RECOVER", f"{served:.2f} of {len(asks)} served")
