"""Summary of the statuses of many daemons."""

import collections

import msgspec

from mimosahaven import status as status_lib

TargetState = status_lib.TargetState


class TableInForce(msgspec.Struct, frozen=True):
    """A table that daemons have in force.

    Attributes:
      daemons: Number of daemons that have it in force.
      age_ms_min: Time since the last of them put it in force.
      age_ms_max: Time since the first of them put it in force.
    """

    version: int
    text_hash: str
    daemons: int
    age_ms_min: float
    age_ms_max: float


class RefusedTable(msgspec.Struct, frozen=True):
    """A table that daemons refused."""

    code: int
    text: str
    daemons: int


class ServiceView(msgspec.Struct, frozen=True):
    """Targets of a service as seen by the daemons of one failure domain.

    A target counts as suspect if most of these daemons suspect it, and as
    leaving if any of them knows that it is leaving.
    """

    service: str
    seen_from: str
    live: int
    leaving: int
    suspect: int


class UnavailableTarget(msgspec.Struct, frozen=True):
    """A target that at least one daemon of a failure domain sees as not live.

    Attributes:
      seen_from: Failure domain of the daemons.
      state: State by which ServiceView counts it.
      daemons: Number of these daemons that do not see it as live.
      asked: Number of these daemons that list it.
    """

    target: str
    service: str
    seen_from: str
    state: TargetState
    daemons: int
    asked: int


class QuarantinedFingerprint(msgspec.Struct, frozen=True):
    """A request fingerprint that is suspect or in quarantine.

    Attributes:
      suspecting: Number of daemons that treat it as suspect.
      holding: Number of daemons that refuse it.
    """

    fingerprint: str
    strikes: int
    suspecting: int
    holding: int
    remaining_ms: float


class FleetStatus(msgspec.Struct, frozen=True):
    """Summary over all daemons that responded."""

    daemons: int
    states: dict[str, int]
    tables: list[TableInForce]
    table_faults: list[RefusedTable]
    services: list[ServiceView]
    troubled: list[UnavailableTarget]
    rows: list[status_lib.RowStatus]
    guard_refusals: dict[str, int]
    retries: status_lib.RetryStatus
    quarantine: list[QuarantinedFingerprint]
    pauses: int

    @property
    def is_consistent(self) -> bool:
        """Whether all daemons have one table in force and none was refused."""
        return (
            len(self.tables) == 1
            and self.tables[0].version > 0
            and not self.table_faults
        )


def summarize(statuses: list[status_lib.DaemonStatus]) -> FleetStatus:
    """Summarizes the statuses of daemons."""
    services, unavailable = _summarize_targets(statuses)
    return FleetStatus(
        daemons=len(statuses),
        states=dict(collections.Counter(s.state for s in statuses)),
        tables=_summarize_tables(statuses),
        table_faults=_summarize_refused_tables(statuses),
        services=services,
        troubled=unavailable,
        rows=_summarize_rows(statuses),
        guard_refusals=_sum_counts(s.guard.refusals for s in statuses),
        retries=status_lib.RetryStatus(
            attempts=sum(s.retries.attempts for s in statuses),
            retries=sum(s.retries.retries for s in statuses),
            denied=sum(s.retries.denied for s in statuses),
        ),
        quarantine=_summarize_quarantine(statuses),
        pauses=sum(s.pauses.count for s in statuses),
    )


def _sum_counts(mappings) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for mapping in mappings:
        total.update(mapping)
    return dict(sorted(total.items()))


def _group_by(items, key) -> dict:
    groups = collections.defaultdict(list)
    for item in items:
        groups[key(item)].append(item)
    return dict(sorted(groups.items()))


def _summarize_tables(
    statuses: list[status_lib.DaemonStatus],
) -> list[TableInForce]:
    groups = _group_by(
        (s.table for s in statuses), lambda t: (t.version, t.text_hash)
    )
    return [
        TableInForce(
            version,
            text_hash,
            len(tables),
            min(t.age_ms for t in tables),
            max(t.age_ms for t in tables),
        )
        for (version, text_hash), tables in groups.items()
    ]


def _summarize_refused_tables(
    statuses: list[status_lib.DaemonStatus],
) -> list[RefusedTable]:
    groups = _group_by(
        (s.table for s in statuses if s.table.fault_code),
        lambda t: (t.fault_code, t.fault_text),
    )
    return [
        RefusedTable(code, text, len(tables))
        for (code, text), tables in groups.items()
    ]


def _summarize_targets(
    statuses: list[status_lib.DaemonStatus],
) -> tuple[list[ServiceView], list[UnavailableTarget]]:
    pairs = [(s.failure_domain, t) for s in statuses for t in s.targets]
    groups = _group_by(pairs, lambda p: (p[1].service, p[0], p[1].target))
    counts: dict[tuple[str, str], collections.Counter] = {}
    unavailable = []
    for (service, seen_from, target), seen in groups.items():
        states = [t.state for _, t in seen]
        state = _combine_states(states)
        counts.setdefault((service, seen_from), collections.Counter())[
            state
        ] += 1
        not_live = sum(s is not TargetState.LIVE for s in states)
        if not_live:
            unavailable.append(
                UnavailableTarget(
                    target, service, seen_from, state, not_live, len(states)
                )
            )
    views = [
        ServiceView(
            service,
            seen_from,
            count[TargetState.LIVE],
            count[TargetState.LEAVING],
            count[TargetState.SUSPECT],
        )
        for (service, seen_from), count in counts.items()
    ]
    return views, unavailable


def _combine_states(states: list[TargetState]) -> TargetState:
    if TargetState.LEAVING in states:
        return TargetState.LEAVING
    if 2 * states.count(TargetState.SUSPECT) > len(states):
        return TargetState.SUSPECT
    return TargetState.LIVE


def _summarize_rows(
    statuses: list[status_lib.DaemonStatus],
) -> list[status_lib.RowStatus]:
    groups = _group_by((r for s in statuses for r in s.rows), lambda r: r.row)
    return [
        status_lib.RowStatus(
            row,
            sum(r.calls for r in rows),
            sum(r.complete for r in rows),
            _sum_counts(r.refusals for r in rows),
            sum(r.retries for r in rows),
        )
        for row, rows in groups.items()
    ]


def _summarize_quarantine(
    statuses: list[status_lib.DaemonStatus],
) -> list[QuarantinedFingerprint]:
    groups = _group_by(
        (q for s in statuses for q in s.quarantine), lambda q: q.fingerprint
    )
    return [
        QuarantinedFingerprint(
            fingerprint,
            max(q.strikes for q in entries),
            sum(not q.held for q in entries),
            sum(q.held for q in entries),
            max(q.remaining_ms for q in entries),
        )
        for fingerprint, entries in groups.items()
    ]
