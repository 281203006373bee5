"""Counts and log lines of the requests that entered at this daemon."""

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
Disposition = actions_lib.Disposition

_COMPLETE = frozenset({Code.OK, Code.OK_FROM_LEDGER})


@dataclasses.dataclass
class _RowCount:
    calls: int = 0
    complete: int = 0
    retries: int = 0
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class EntryStats:
    """What became of the requests of each row."""

    def __init__(
        self, log: decisions.DecisionLog, metrics: metrics_lib.Metrics
    ):
        self._log = log
        self._metrics = metrics
        self._rows: dict[str, _RowCount] = {}

    def log_decision(self, decision: actions_lib.Decision, call) -> None:
        """Writes the line of a decision about an action."""
        if decision.disposition is Disposition.RUN and decision.run == 1:
            return
        self._log.decide(
            decisions.Part.ENTRY,
            decision.call_id if decision.action else call.action_id,
            decision.disposition.value,
            f"{call.caller}/{call.kind} sent again or refused",
            decision.code or 0,
        )

    def log_refusal(self, call_id: str, code: Code) -> None:
        """Writes the line of a refusal before the call was routed."""
        self._log.decide(
            decisions.Part.ENTRY,
            call_id,
            "refused",
            codes.describe(code).text,
            code,
        )

    def count_refusal(self, code: Code) -> None:
        """Counts the refusal of a request that belongs to no row."""
        self._metrics.count(Metric.RESULTS, suffix=code.name)

    def count_result(self, row: table_lib.Row, result: messages.Result) -> None:
        """Counts the outcome of a request."""
        counts = self._rows.setdefault(row.row_id, _RowCount())
        code = Code(result.code)
        counts.calls += 1
        if code in _COMPLETE:
            counts.complete += 1
        else:
            counts.refusals[code.name] += 1
        self._metrics.count(Metric.RESULTS, suffix=code.name)

    def count_retries(self, row: table_lib.Row, retries: int) -> None:
        """Counts the attempts after the first of one action."""
        if retries:
            counts = self._rows.setdefault(row.row_id, _RowCount())
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
