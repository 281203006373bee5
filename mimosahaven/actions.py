"""Decides whether a request runs, gets a stored result or is forwarded."""

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


class ActionDisposition(enum.Enum):
    """How the entry handles a request.

    Attributes:
      RUN: Starts a run of the action.
      WAIT: Waits for the run or inquiry in progress.
      ANSWER: Returns the stored result.
      INQUIRE: Inquires about the last attempt, whose outcome is unknown.
      FORWARD: Forwards the request to the daemon that owns the action or key.
      REFUSE: Responds with the code of a refusal.
    """

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"
    INQUIRE = "inquire"
    FORWARD = "forward"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class ActionRequest:
    """The properties of a request that identify and limit its action.

    Attributes:
      action_id: Action id sent by the caller, or empty. It takes precedence
        over the key.
      key: Idempotency key sent by the caller, or empty.
      retry_budget: retry_budget of the row.
      forwarded: True when another daemon's entry received the request and
        forwarded it to this daemon as its owner.
    """

    caller: str
    fingerprint: str
    idempotent: bool
    retry_budget: int
    action_id: str = ""
    key: str = ""
    forwarded: bool = False


@dataclasses.dataclass(frozen=True)
class ActionDecision:
    """How to handle a request.

    Attributes:
      action: The action, except for FORWARD and some refusals.
      run: Number of the run, from 1; part of the call id. A run is the
        entry's call with its retries; a retry by the caller may start another
        run.
      budget: Retry budget of the action, for RUN.
      code: Reason for the refusal, for REFUSE.
      owner: Target whose daemon owns the action or key, for FORWARD.
      result: Stored result, for ANSWER.
      run_state: Whether the target ran the action in any run, for ANSWER; the
        result covers only the last run.
      attempt_ref: Attempt to inquire about, for INQUIRE.
    """

    disposition: ActionDisposition
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

    A record is kept for action_window_ms after its action id was issued, and
    longer while the action runs. Only records of idempotent actions may be
    missing or dropped early, so an id that this daemon issued within the window
    and that has no record was never used for a non-idempotent action.
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

    def decide(self, request: ActionRequest, now_ms: float) -> ActionDecision:
        """Decides how to handle a request.

        After RUN and INQUIRE, finish() must be called.
        """
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
    ) -> ActionDecision:
        """Decides how to handle a request whose owner is not available.

        The entry also calls this when the owner cannot be reached or refuses
        a forwarded request. An idempotent request runs from this entry as a
        new action without retries.

        Args:
          request: The request.
          code: OWNER_LOST or KEY_UNSETTLED.
          now_ms: Current time.
        """
        if request.forwarded or not request.idempotent:
            return ActionDecision(ActionDisposition.REFUSE, code=code)
        return self._start(dataclasses.replace(request, retry_budget=0), now_ms)

    def finish(
        self,
        decision: ActionDecision,
        result: messages.Result,
        now_ms: float,
        attempt_ref: AttemptRef | None = None,
    ) -> RunState:
        """Records the result of a run or an inquiry.

        A late result may replace an unknown outcome of the same run.

        Args:
          decision: The RUN or INQUIRE decision that was carried out.
          result: The result; its code is BARRED when an inquiry barred the
            call.
          now_ms: Current time.
          attempt_ref: Last attempt of the run.

        Returns:
          Whether the target ran the action in any run, for the caller.
        """
        run_state = result.reported_run_state()
        record = self._records.get(decision.action)
        if record is None or record.run != decision.run:
            return run_state
        if record.running or record.run_state is RunState.UNKNOWN:
            record.attempt_ref = attempt_ref or record.attempt_ref
            self._records.settle(record, result, run_state, now_ms)
        return record.overall_run_state()

    def sweep(self, now_ms: float) -> None:
        """Removes records older than the window, except for running actions."""
        self._records.sweep(now_ms)

    def _decide_action(
        self, request: ActionRequest, now_ms: float
    ) -> ActionDecision:
        try:
            action = identity.parse_action_id(request.action_id)
        except identity.BadActionIdError as error:
            return ActionDecision(ActionDisposition.REFUSE, code=error.code)
        if action.target != self._target:
            return self._decide_remote_action(request, action, now_ms)
        if action.incarnation != self._incarnation:
            return self.decide_without_owner(request, Code.OWNER_LOST, now_ms)
        if self._records.is_expired(action, now_ms):
            return ActionDecision(
                ActionDisposition.REFUSE, code=Code.ACTION_EXPIRED
            )
        if action not in self._issue_log:
            return ActionDecision(
                ActionDisposition.REFUSE, code=Code.BAD_ACTION_ID
            )
        record = self._records.get(action)
        if record is None:
            return self._start(request, now_ms, action=action)
        if record.action != action:
            # An issued sequence number with another time of issue.
            return ActionDecision(
                ActionDisposition.REFUSE, code=Code.BAD_ACTION_ID
            )
        return self._decide_retry(record, request, now_ms)

    def _decide_remote_action(
        self, request: ActionRequest, action: identity.ActionId, now_ms: float
    ) -> ActionDecision:
        if request.forwarded:
            return ActionDecision(
                ActionDisposition.REFUSE, code=Code.BAD_ACTION_ID
            )
        if not self.key_ownership.is_listed(action.target):
            return self.decide_without_owner(request, Code.OWNER_LOST, now_ms)
        return ActionDecision(ActionDisposition.FORWARD, owner=action.target)

    def _decide_key(
        self, request: ActionRequest, now_ms: float
    ) -> ActionDecision:
        key = f"{request.caller}\0{request.key}"
        owner = self.key_ownership.owner(key)
        is_local = request.forwarded or owner == self._target
        record = self._records.get_by_key(key)
        # Even after another daemon has become the owner of the key, this one
        # decides while a run that it started is in progress or may have
        # reached the target.
        if record and (is_local or record.running or record.may_have_run):
            return self._decide_retry(record, request, now_ms)
        if owner is not None and not is_local:
            return ActionDecision(ActionDisposition.FORWARD, owner=owner)
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
    ) -> ActionDecision:
        if not self._records.has_room(request.idempotent):
            if not request.idempotent:
                return ActionDecision(
                    ActionDisposition.REFUSE, code=Code.LEDGER_FULL
                )
            # Without a record, retries by the caller could not share a budget.
            return self._run_unrecorded(request, 0, now_ms)
        budget = self._make_budget(request, request.retry_budget)
        record = actionrecords.ActionRecord(
            action or self.issue(now_ms),
            request.fingerprint,
            request.idempotent,
            budget,
            key,
            identity_known=bool(action or key),
        )
        self._records.add(record)
        return self._make_decision(record, ActionDisposition.RUN, budget=budget)

    def _decide_retry(
        self,
        record: actionrecords.ActionRecord,
        request: ActionRequest,
        now_ms: float,
    ) -> ActionDecision:
        if record.fingerprint != request.fingerprint:
            # The id or key belongs to a request with other content.
            return ActionDecision(ActionDisposition.REFUSE, code=Code.MALFORMED)
        if record.running:
            return self._make_decision(record, ActionDisposition.WAIT)
        result = self._records.result(record)
        succeeded = result.code in actionrecords.SUCCESS_CODES
        # A table change may have made the row idempotent or non-idempotent
        # between two runs.
        repeatable = record.idempotent and request.idempotent
        if not succeeded and (repeatable or not record.may_have_run):
            return self._run_again(record, request, result, now_ms)
        # Guards keep no record of idempotent calls, so an inquiry could not
        # find out whether one ran.
        can_inquire = (
            record.run_state is RunState.UNKNOWN and not record.idempotent
        )
        if can_inquire and record.attempt_ref is not None:
            record.running = True
            return self._make_decision(
                record,
                ActionDisposition.INQUIRE,
                attempt_ref=record.attempt_ref,
            )
        return self._make_decision(
            record, ActionDisposition.ANSWER, result=result
        )

    def _run_again(
        self,
        record: actionrecords.ActionRecord,
        request: ActionRequest,
        result: messages.Result,
        now_ms: float,
    ) -> ActionDecision:
        ownership_settled = not record.key or self.key_ownership.may_run(
            record.key, now_ms
        )
        if not ownership_settled and not request.idempotent:
            return ActionDecision(
                ActionDisposition.REFUSE, code=Code.KEY_UNSETTLED
            )
        if not self._mechanisms.chain_budget:
            record.budget = self._make_budget(request, 0)
        elif not record.budget.try_acquire():
            # The retry budget is spent: the caller gets the last result.
            return self._make_decision(
                record, ActionDisposition.ANSWER, result=result
            )
        self._records.start_next_run(record, request.idempotent, now_ms)
        return self._make_decision(
            record, ActionDisposition.RUN, budget=record.budget
        )

    def _run_unrecorded(
        self, request: ActionRequest, retry_budget: int, now_ms: float
    ) -> ActionDecision:
        budget = self._make_budget(request, retry_budget)
        return ActionDecision(
            ActionDisposition.RUN, action=self.issue(now_ms), budget=budget
        )

    def _make_budget(
        self, request: ActionRequest, total: int
    ) -> budget_lib.ChainBudget:
        return budget_lib.budget_for_call(
            self._mechanisms, total, request.retry_budget
        )

    def _make_decision(
        self,
        record: actionrecords.ActionRecord,
        disposition: ActionDisposition,
        **fields,
    ) -> ActionDecision:
        if disposition is ActionDisposition.ANSWER:
            fields["run_state"] = record.overall_run_state()
        return ActionDecision(
            disposition, action=record.action, run=record.run, **fields
        )
