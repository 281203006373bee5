"""The owner's records of actions and what a repeated request does."""

import dataclasses
import enum

from mimosahaven import actionrecords
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import keyowner
from mimosahaven import messages
from mimosahaven import retrybudget as budget_lib
from mimosahaven import settings as settings_lib

Code = codes.Code
RunState = codes.RunState
AttemptRef = actionrecords.AttemptRef


class Disposition(enum.Enum):
    """What the entry does with a request."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"
    INQUIRE = "inquire"
    FORWARD = "forward"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class ActionRequest:
    """A request as far as its identity matters.

    Attributes:
      action_id: Action id of the caller, or empty. It precedes the key.
      key: Idempotency key of the caller, or empty.
      retry_budget: retry_budget of the row.
      forwarded: True when another entry took the request for its owner.
    """

    caller: str
    fingerprint: str
    idempotent: bool
    retry_budget: int
    action_id: str = ""
    key: str = ""
    forwarded: bool = False


@dataclasses.dataclass(frozen=True)
class Decision:
    """What to do with a request.

    Attributes:
      action: The action, except for FORWARD and some refusals.
      run: Number of the run, from 1; part of the call id.
      budget: Retry budget of the action, for RUN.
      code: Reason of a refusal.
      owner: Target whose daemon owns the action or key, for FORWARD.
      result: Kept outcome, for ANSWER.
      run_state: Whether any run of the action ran, for ANSWER; the result
        only tells of the last run.
      attempt_ref: Attempt to inquire about, for INQUIRE.
    """

    disposition: Disposition
    action: identity.ActionId | None = None
    run: int = 1
    budget: budget_lib.ChainBudget | None = None
    code: Code | None = None
    owner: str = ""
    result: messages.Result | None = None
    run_state: RunState | None = None
    attempt_ref: AttemptRef | None = None

    @property
    def call_id(self) -> str:
        """Identity of the entry's call in this run."""
        return f"{self.action}/{self.run}"


class ActionRegistry:
    """Records of the actions that this daemon owns.

    A record stays for action_window_ms after its action id was issued, and
    longer while the action runs. Records are never dropped early, so an id
    that was issued here within the window and has no record was never used.
    """

    def __init__(
        self, settings: settings_lib.Settings, target: str, incarnation: str
    ):
        self._mechanisms = settings.mechanisms
        self._target = target
        self._incarnation = incarnation
        self._issuer = identity.ActionIdIssuer(target, incarnation)
        self._issue_log = actionrecords.IssueLog(settings)
        self._records = actionrecords.ActionRecords(settings)
        self.key_ownership = keyowner.KeyOwnership(settings, target)

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, now_ms: float) -> identity.ActionId:
        """Returns a new action id."""
        action = self._issuer.issue(now_ms)
        self._issue_log.add(action)
        return action

    def decide(self, request: ActionRequest, now_ms: float) -> Decision:
        """Decides what a request does; RUN and INQUIRE need a finish()."""
        self.sweep(now_ms)
        if not self._mechanisms.ledger:
            return self._run_unrecorded(request, request.retry_budget, now_ms)
        if request.action_id:
            return self._decide_action(request, now_ms)
        if request.key:
            return self._decide_key(request, now_ms)
        return self._start(request, now_ms)

    def decide_without_owner(
        self, request: ActionRequest, code: Code, now_ms: float
    ) -> Decision:
        """Decides about a request whose owner does not answer for it.

        The entry also calls it when the owner cannot be reached or refuses a
        forwarded request. An idempotent request runs at the entry, as an
        action of its own without retries.

        Args:
          request: The request.
          code: OWNER_LOST or KEY_UNSETTLED.
          now_ms: Present time.
        """
        if request.forwarded or not request.idempotent:
            return Decision(Disposition.REFUSE, code=code)
        return self._start(dataclasses.replace(request, retry_budget=0), now_ms)

    def finish(
        self,
        decision: Decision,
        result: messages.Result,
        now_ms: float,
        attempt_ref: AttemptRef | None = None,
    ) -> RunState:
        """Takes in the outcome of a run or an inquiry.

        A late result may replace an unknown outcome of the same run.

        Args:
          decision: The decision RUN or INQUIRE.
          result: The outcome; BARRED when an inquiry barred the call.
          now_ms: Present time.
          attempt_ref: Last attempt of the run.

        Returns:
          Whether any run of the action ran, as the caller is told.
        """
        state = result.reported_run_state()
        record = self._records.get(decision.action)
        if record is None or record.run != decision.run:
            return state
        if record.running or record.state is RunState.UNKNOWN:
            record.attempt_ref = attempt_ref or record.attempt_ref
            self._records.settle(record, result, state, now_ms)
        return record.overall_state()

    def sweep(self, now_ms: float) -> None:
        """Drops the records past the window; running ones stay."""
        self._records.sweep(now_ms)

    def _decide_action(self, request: ActionRequest, now_ms: float) -> Decision:
        try:
            action = identity.parse_action_id(request.action_id)
        except identity.BadActionIdError as error:
            return Decision(Disposition.REFUSE, code=error.code)
        if action.target != self._target:
            return self._decide_foreign(request, action, now_ms)
        if action.incarnation != self._incarnation:
            return self.decide_without_owner(request, Code.OWNER_LOST, now_ms)
        if self._records.is_expired(action, now_ms):
            return Decision(Disposition.REFUSE, code=Code.ACTION_EXPIRED)
        if action not in self._issue_log:
            return Decision(Disposition.REFUSE, code=Code.BAD_ACTION_ID)
        record = self._records.get(action)
        if record is None:
            return self._start(request, now_ms, action=action)
        if record.action != action:
            return Decision(Disposition.REFUSE, code=Code.BAD_ACTION_ID)
        return self._repeat(record, request, now_ms)

    def _decide_foreign(
        self, request: ActionRequest, action: identity.ActionId, now_ms: float
    ) -> Decision:
        if request.forwarded:
            return Decision(Disposition.REFUSE, code=Code.BAD_ACTION_ID)
        if not self.key_ownership.is_listed(action.target):
            return self.decide_without_owner(request, Code.OWNER_LOST, now_ms)
        return Decision(Disposition.FORWARD, owner=action.target)

    def _decide_key(self, request: ActionRequest, now_ms: float) -> Decision:
        key = f"{request.caller}\0{request.key}"
        owner = self.key_ownership.owner(key)
        here = request.forwarded or owner == self._target
        record = self._records.get_by_key(key)
        if record and (here or record.running or record.may_have_run):
            return self._repeat(record, request, now_ms)
        if owner is not None and not here:
            return Decision(Disposition.FORWARD, owner=owner)
        if not self.key_ownership.may_run(key, now_ms):
            return self.decide_without_owner(
                request, Code.KEY_UNSETTLED, now_ms
            )
        return self._start(request, now_ms, key=key)

    def _start(
        self,
        request: ActionRequest,
        now_ms: float,
        action: identity.ActionId | None = None,
        key: str = "",
    ) -> Decision:
        if not self._records.has_room(request.idempotent):
            if not request.idempotent:
                return Decision(Disposition.REFUSE, code=Code.LEDGER_FULL)
            # Without a record re-sends could not share a budget.
            return self._run_unrecorded(request, 0, now_ms)
        budget = self._budget(request, request.retry_budget)
        record = actionrecords.ActionRecord(
            action or self.issue(now_ms),
            request.fingerprint,
            request.idempotent,
            budget,
            key,
            identity_known=bool(action or key),
        )
        self._records.add(record)
        return self._decision(record, Disposition.RUN, budget=budget)

    def _repeat(
        self,
        record: actionrecords.ActionRecord,
        request: ActionRequest,
        now_ms: float,
    ) -> Decision:
        if record.fingerprint != request.fingerprint:
            return Decision(Disposition.REFUSE, code=Code.MALFORMED)
        if record.running:
            return self._decision(record, Disposition.WAIT)
        result = self._records.outcome(record)
        done = result.code in actionrecords.SUCCESS_CODES
        # The table may have changed what is idempotent between two runs.
        repeatable = record.idempotent and request.idempotent
        if not done and (repeatable or not record.may_have_run):
            return self._run_again(record, request, result, now_ms)
        # Runs of idempotent calls have no record at a guard to ask for.
        unknown = record.state is RunState.UNKNOWN and not record.idempotent
        if unknown and record.attempt_ref is not None:
            record.running = True
            return self._decision(
                record, Disposition.INQUIRE, attempt_ref=record.attempt_ref
            )
        return self._decision(record, Disposition.ANSWER, result=result)

    def _run_again(
        self,
        record: actionrecords.ActionRecord,
        request: ActionRequest,
        result: messages.Result,
        now_ms: float,
    ) -> Decision:
        settled = not record.key or self.key_ownership.may_run(
            record.key, now_ms
        )
        if not settled and not request.idempotent:
            return Decision(Disposition.REFUSE, code=Code.KEY_UNSETTLED)
        if not self._mechanisms.chain_budget:
            record.budget = self._budget(request, 0)
        elif not record.budget.take():
            return self._decision(record, Disposition.ANSWER, result=result)
        self._records.start_next_run(record, request.idempotent, now_ms)
        return self._decision(record, Disposition.RUN, budget=record.budget)

    def _run_unrecorded(
        self, request: ActionRequest, retry_budget: int, now_ms: float
    ) -> Decision:
        budget = self._budget(request, retry_budget)
        return Decision(
            Disposition.RUN, action=self.issue(now_ms), budget=budget
        )

    def _budget(
        self, request: ActionRequest, total: int
    ) -> budget_lib.ChainBudget:
        return budget_lib.budget_for_call(
            self._mechanisms, total, request.retry_budget
        )

    def _decision(
        self,
        record: actionrecords.ActionRecord,
        disposition: Disposition,
        **fields,
    ) -> Decision:
        if disposition is Disposition.ANSWER:
            fields["run_state"] = record.overall_state()
        return Decision(
            disposition, action=record.action, run=record.run, **fields
        )
