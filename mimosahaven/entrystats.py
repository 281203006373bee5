"""Counters and decision log lines for requests received by the entry."""

import collections
import dataclasses

from mimosahaven import actions as actions_lib
from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven import messages
from mimosahaven import metrics as metrics_lib
from mimosahaven import status as status_lib
from mimosahaven import table as table_lib

Code = codes.Code
Metric = metrics_lib.Metric
ActionDisposition = actions_lib.ActionDisposition

_SUCCESS_CODES = frozenset({Code.OK, Code.OK_FROM_LEDGER})


@dataclasses.dataclass
class _RowCounts:
    calls: int = 0
    complete: int = 0
    retries: int = 0
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class EntryStats:
    """Counts the results of requests by row and logs entry decisions."""

    def __init__(
        self, log: decisions.DecisionLog, metrics: metrics_lib.Metrics
    ):
        self._log = log
        self._metrics = metrics
        self._rows: dict[str, _RowCounts] = {}

    def log_decision(self, decision: actions_lib.ActionDecision, call) -> None:
        """Logs a decision about an action, except for a first run."""
        if decision.disposition is ActionDisposition.RUN and decision.run == 1:
            return
        self._log.record(
            decisions.Component.ENTRY,
            decision.call_id if decision.action else call.action_id,
            decision.disposition.value,
            f"{call.caller}/{call.kind} sent again or refused",
            decision.code or 0,
        )

    def log_refusal(self, call_id: str, code: Code) -> None:
        """Logs the refusal of a call before it was routed."""
        self._log.record(
            decisions.Component.ENTRY,
            call_id,
            "refused",
            codes.describe(code).text,
            code,
        )

    def count_refusal(self, code: Code) -> None:
        """Counts the refusal of a request that belongs to no row."""
        self._metrics.count(Metric.RESULTS, suffix=code.name)

    def count_result(self, row: table_lib.Row, result: messages.Result) -> None:
        """Counts the result of a request."""
        counts = self._rows.setdefault(row.row_id, _RowCounts())
        code = Code(result.code)
        counts.calls += 1
        if code in _SUCCESS_CODES:
            counts.complete += 1
        else:
            counts.refusals[code.name] += 1
        self._metrics.count(Metric.RESULTS, suffix=code.name)

    def count_retries(self, row: table_lib.Row, retries: int) -> None:
        """Counts the retries of one action."""
        if retries:
            counts = self._rows.setdefault(row.row_id, _RowCounts())
            counts.retries += retries

    def status(self) -> list[status_lib.RowStatus]:
        """Returns the counts by row."""
        return [
            status_lib.RowStatus(
                row=row_id,
                calls=counts.calls,
                complete=counts.complete,
                refusals=dict(counts.refusals),
                retries=counts.retries,
            )
            for row_id, counts in sorted(self._rows.items())
        ]
