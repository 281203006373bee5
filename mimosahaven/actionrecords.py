"""Storage and expiry of the records of actions that a daemon owns."""

import dataclasses
import heapq

from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import ledger as ledger_lib
from mimosahaven import messages
from mimosahaven import retrybudget as budget_lib
from mimosahaven import settings as settings_lib

RunState = codes.RunState

SUCCESS_CODES = frozenset({codes.Code.OK, codes.Code.OK_FROM_LEDGER})

_ISSUE_BUCKET_MS = 100


@dataclasses.dataclass(frozen=True)
class AttemptRef:
    """Identifies the last attempt of a run, for an inquiry.

    Attributes:
      target: Target that the attempt was sent to.
      incarnation: Incarnation of the target's daemon.
      attempt: Number of the attempt.
    """

    target: str
    incarnation: str
    attempt: int


@dataclasses.dataclass(slots=True)
class ActionRecord:
    """Record of one action that runs or ran at this daemon.

    Attributes:
      budget: Retry budget that all runs of the action share.
      key: Caller and idempotency key, or empty.
      identity_known: Whether the caller knew the action id or key when it
        sent the request.
      run: Number of the last run, from 1.
      running: Whether the last run, or an inquiry about it, is in progress.
      run_state: Run state of the last run, when it is not running.
      earlier_run_possible: Whether the target may have run the action in a run
        before the last one.
      attempt_ref: Last attempt of the last run.
      window_start_ms: Start of the window in which the record is kept: the
        issue of the action id or, for a key, the start of the last run, since
        a key may be sent again for the whole window.
    """

    action: identity.ActionId
    fingerprint: str
    idempotent: bool
    budget: budget_lib.ChainBudget
    key: str
    identity_known: bool
    run: int = 1
    running: bool = True
    run_state: RunState = RunState.UNKNOWN
    earlier_run_possible: bool = False
    attempt_ref: AttemptRef | None = None
    window_start_ms: float = dataclasses.field(init=False)

    def __post_init__(self):
        self.window_start_ms = self.action.issued_ms

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the action in a run that ended."""
        return (
            self.earlier_run_possible or self.run_state is not RunState.NOT_RUN
        )

    def overall_run_state(self) -> RunState:
        """Returns whether the target ran the action in any run, if known."""
        if self.earlier_run_possible and self.run_state is RunState.NOT_RUN:
            return RunState.UNKNOWN
        return self.run_state


class IssueLog:
    """Records which sequence numbers were issued, by time of issue.

    It stores one range of sequence numbers per time bucket.
    """

    def __init__(self, settings: settings_lib.Settings):
        window_ms = settings.ledger.action_window_ms
        self._buckets_kept = window_ms // _ISSUE_BUCKET_MS + 1
        self._ranges: dict[int, tuple[int, int]] = {}

    def add(self, action: identity.ActionId) -> None:
        """Adds a new action id and removes those older than the window."""
        bucket = action.issued_ms // _ISSUE_BUCKET_MS
        first, _ = self._ranges.get(bucket, (action.sequence, 0))
        self._ranges[bucket] = (first, action.sequence)
        while (
            oldest := next(iter(self._ranges))
        ) < bucket - self._buckets_kept:
            del self._ranges[oldest]

    def __contains__(self, action: identity.ActionId) -> bool:
        bucket = action.issued_ms // _ISSUE_BUCKET_MS
        # The default is an empty range.
        first, last = self._ranges.get(bucket, (1, 0))
        return first <= action.sequence <= last


class ActionRecords:
    """Records of actions, limited in number and in bytes of stored responses.

    A record stays for action_window_ms after its window_start_ms, and longer
    while the action runs. The record of an idempotent action whose identity the
    caller did not know is dropped as soon as the action has succeeded.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._window_ms = settings.ledger.action_window_ms
        self._records_max = settings.ledger.action_records_max
        self._records: dict[int, ActionRecord] = {}
        self._records_by_key: dict[str, ActionRecord] = {}
        self._idempotent_count = 0
        # Pairs of window_start_ms and sequence.
        self._expiry_heap: list[tuple[float, int]] = []
        self._results = ledger_lib.ResultStore(
            settings.ledger.action_answer_bytes_max
        )

    def __len__(self) -> int:
        return len(self._records)

    def get(self, action: identity.ActionId) -> ActionRecord | None:
        """Returns the record with the sequence number of an action id."""
        return self._records.get(action.sequence)

    def get_by_key(self, key: str) -> ActionRecord | None:
        """Returns the record of an idempotency key."""
        return self._records_by_key.get(key)

    def result(self, record: ActionRecord) -> messages.Result:
        """Returns the stored result of an action that is not running."""
        return self._results.get(record.action.sequence)

    def has_room(self, idempotent: bool) -> bool:
        """Returns whether a record can be added.

        Idempotent actions may use at most half of the records, so that
        read-only traffic cannot exhaust the space for other actions.
        """
        if idempotent and self._idempotent_count >= self._records_max // 2:
            return False
        return len(self._records) < self._records_max

    def is_expired(self, action: identity.ActionId, now_ms: float) -> bool:
        """Returns whether an action id is older than the window."""
        return now_ms - action.issued_ms > self._window_ms

    def add(self, record: ActionRecord) -> None:
        """Adds the record of an action that is about to run."""
        action = record.action
        self._records[action.sequence] = record
        self._idempotent_count += record.idempotent
        if record.key:
            self._records_by_key[record.key] = record
        heapq.heappush(
            self._expiry_heap, (record.window_start_ms, action.sequence)
        )

    def start_next_run(
        self, record: ActionRecord, idempotent: bool, now_ms: float
    ) -> None:
        """Starts the next run of an action that is not running."""
        record.earlier_run_possible = record.may_have_run
        record.run += 1
        record.running = True
        record.attempt_ref = None
        self._idempotent_count += idempotent - record.idempotent
        record.idempotent = idempotent
        if record.key:
            record.window_start_ms = now_ms
            heapq.heappush(self._expiry_heap, (now_ms, record.action.sequence))

    def settle(
        self,
        record: ActionRecord,
        result: messages.Result,
        run_state: RunState,
        now_ms: float,
    ) -> None:
        """Records a run's result; drops a record that is no longer needed."""
        record.running = False
        record.run_state = run_state
        self._results.put(record.action.sequence, result)
        disposable = (
            record.idempotent
            and not record.identity_known
            and result.code in SUCCESS_CODES
        )
        if disposable or now_ms - record.window_start_ms > self._window_ms:
            self._drop(record)

    def sweep(self, now_ms: float) -> None:
        """Removes records older than the window, except for running actions."""
        while (
            self._expiry_heap
            and now_ms - self._expiry_heap[0][0] > self._window_ms
        ):
            window_start_ms, sequence = heapq.heappop(self._expiry_heap)
            record = self._records.get(sequence)
            # The heap has one entry for each run that moved the window of a
            # record; only the latest one counts. A record whose window ends
            # during a run is dropped by settle().
            if record is not None and record.window_start_ms == window_start_ms:
                if not record.running:
                    self._drop(record)

    def _drop(self, record: ActionRecord) -> None:
        del self._records[record.action.sequence]
        self._idempotent_count -= record.idempotent
        self._results.remove(record.action.sequence)
        if self._records_by_key.get(record.key) is record:
            del self._records_by_key[record.key]
