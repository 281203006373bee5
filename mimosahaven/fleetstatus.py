"""Summary of the statuses of many daemons."""

import collections

import msgspec

from mimosahaven import status as status_lib

TargetState = status_lib.TargetState


class TableInForce(msgspec.Struct, frozen=True):
    """A table that daemons have in force.

    Attributes:
      daemons: Number of daemons that have it in force.
      age_ms_min: Time since the last of them took it over.
      age_ms_max: Time since the first of them took it over.
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
    """Targets of a service as the daemons of a failure domain see them.

    A target is counted as suspect when most of these daemons suspect it, and
    as leaving when any of them knows that it is leaving.
    """

    service: str
    seen_from: str
    live: int
    leaving: int
    suspect: int


class UnavailableTarget(msgspec.Struct, frozen=True):
    """A target that some daemon does not see as live.

    Attributes:
      seen_from: Failure domain of the daemons.
      state: Their majority's state.
      daemons: Number of daemons there that do not see it as live.
      asked: Number of daemons there that list it.
    """

    target: str
    service: str
    seen_from: str
    state: TargetState
    daemons: int
    asked: int


class QuarantinedFingerprint(msgspec.Struct, frozen=True):
    """A request content that is suspect or in quarantine.

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
    """Summary over all daemons that answered."""

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
        """Whether one table is in force everywhere and none was refused."""
        return (
            len(self.tables) == 1
            and self.tables[0].version > 0
            and not self.table_faults
        )


def summarize(statuses: list[status_lib.DaemonStatus]) -> FleetStatus:
    """Summarises the statuses of daemons."""
    services, troubled = _views(statuses)
    return FleetStatus(
        daemons=len(statuses),
        states=dict(collections.Counter(s.state for s in statuses)),
        tables=_tables(statuses),
        table_faults=_faults(statuses),
        services=services,
        troubled=troubled,
        rows=_rows(statuses),
        guard_refusals=_added(s.guard.refusals for s in statuses),
        retries=status_lib.RetryStatus(
            attempts=sum(s.retries.attempts for s in statuses),
            retries=sum(s.retries.retries for s in statuses),
            denied=sum(s.retries.denied for s in statuses),
        ),
        quarantine=_quarantine(statuses),
        pauses=sum(s.pauses.count for s in statuses),
    )


def _added(mappings) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for mapping in mappings:
        total.update(mapping)
    return dict(sorted(total.items()))


def _grouped(items, key) -> dict:
    groups = collections.defaultdict(list)
    for item in items:
        groups[key(item)].append(item)
    return dict(sorted(groups.items()))


def _tables(statuses: list[status_lib.DaemonStatus]) -> list[TableInForce]:
    groups = _grouped(
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


def _faults(statuses: list[status_lib.DaemonStatus]) -> list[RefusedTable]:
    groups = _grouped(
        (s.table for s in statuses if s.table.fault_code),
        lambda t: (t.fault_code, t.fault_text),
    )
    return [
        RefusedTable(code, text, len(tables))
        for (code, text), tables in groups.items()
    ]


def _views(
    statuses: list[status_lib.DaemonStatus],
) -> tuple[list[ServiceView], list[UnavailableTarget]]:
    pairs = [(s.failure_domain, t) for s in statuses for t in s.targets]
    groups = _grouped(pairs, lambda p: (p[1].service, p[0], p[1].target))
    counts: dict[tuple[str, str], collections.Counter] = {}
    troubled = []
    for (service, seen_from, target), seen in groups.items():
        states = [t.state for _, t in seen]
        state = _majority(states)
        counts.setdefault((service, seen_from), collections.Counter())[
            state
        ] += 1
        not_live = sum(s is not TargetState.LIVE for s in states)
        if not_live:
            troubled.append(
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
    return views, troubled


def _majority(states: list[TargetState]) -> TargetState:
    if TargetState.LEAVING in states:
        return TargetState.LEAVING
    if 2 * states.count(TargetState.SUSPECT) > len(states):
        return TargetState.SUSPECT
    return TargetState.LIVE


def _rows(
    statuses: list[status_lib.DaemonStatus],
) -> list[status_lib.RowStatus]:
    groups = _grouped((r for s in statuses for r in s.rows), lambda r: r.row)
    return [
        status_lib.RowStatus(
            row,
            sum(r.calls for r in rows),
            sum(r.complete for r in rows),
            _added(r.refusals for r in rows),
            sum(r.retries for r in rows),
        )
        for row, rows in groups.items()
    ]


def _quarantine(
    statuses: list[status_lib.DaemonStatus],
) -> list[QuarantinedFingerprint]:
    groups = _grouped(
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
