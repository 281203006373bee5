"""Tests of mimosahaven.actions, actionrecords and keyowner."""

import dataclasses

import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from mimosahaven import actions
from mimosahaven import codes
from mimosahaven import keyowner
from tests import identity_support as support

Code = codes.Code
RunState = codes.RunState
result = support.result
ActionDisposition = actions.ActionDisposition
WINDOW_MS = 100
NAMES = st.sampled_from("abc")
WAITS_MS = st.sampled_from([5, 20, 60, 130])
ATTEMPT_REF = actions.AttemptRef("presse-1", "f" * 16, 0)


def make_registry(target="a", mechanisms=None, **fields):
    fields |= {"action_window_ms": WINDOW_MS, "list_lag_ms": 5}
    fields |= {"key_view_max_age_ms": 10}
    settings = support.make_settings(mechanisms, ledger=fields)
    return actions.ActionRegistry(settings, target, "0" * 16)


def make_request(action_id="", **fields):
    fields = {"caller": "c", "fingerprint": "f", "retry_budget": 2, **fields}
    fields.setdefault("idempotent", False)
    return actions.ActionRequest(action_id=str(action_id), **fields)


def refusal_or_disposition(registry, request, now_ms):
    """Returns the refusal code of a request, or its disposition."""
    decision = registry.decide(request, now_ms)
    return decision.code or decision.disposition


def run_and_repeat(registry, code, idempotent=False, attempt_ref=ATTEMPT_REF):
    """Runs an action, ends it with a result code and repeats the request."""
    repeated = make_request(registry.issue(1), idempotent=idempotent)
    first = registry.decide(repeated, 1)
    assert (
        refusal_or_disposition(registry, repeated, 2) is ActionDisposition.WAIT
    )
    registry.finish(first, result(code), 3, attempt_ref)
    return repeated, registry.decide(repeated, 4)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Three daemons on two sides of a partition read a changing list.

    A read may be delayed, and disconnected daemons do not read at all.
    """

    key_settling = True

    def __init__(self):
        super().__init__()
        mechanisms = {"key_settling": self.key_settling}
        self.daemons = {name: make_registry(name, mechanisms) for name in "abc"}
        self.list_history = [(-9, frozenset("abc"))]
        self.disconnected, self.now_ms, self.last_run_ms = set(), 0, -WINDOW_MS
        self.wait(200, 0)

    @stateful.rule(name=NAMES)
    def change(self, name):
        self.list_history.append(
            (self.now_ms, self.list_history[-1][1] ^ {name})
        )

    @stateful.rule(side=st.sampled_from(["a", "bc"]), disconnect=st.booleans())
    def partition(self, side, disconnect):
        self.disconnected = (
            self.disconnected | set(side)
            if disconnect
            else self.disconnected - set(side)
        )

    @stateful.rule(ms=WAITS_MS, lag_ms=st.integers(0, 5))
    def wait(self, ms, lag_ms):
        for _ in range(0, ms, 5):
            self.now_ms += 5
            seen = [
                h for h in self.list_history if h[0] <= self.now_ms - lag_ms
            ]
            for name in self.daemons.keys() - self.disconnected:
                ownership = self.daemons[name].key_ownership
                ownership.record_list(len(seen), seen[-1][1], self.now_ms)

    @stateful.rule(name=NAMES, ran=st.booleans())
    def send(self, name, ran):
        registry = self.daemons[name]
        request = make_request(key="k", forwarded=True)
        decision = registry.decide(request, self.now_ms)
        if decision.disposition is ActionDisposition.RUN:
            assert self.now_ms >= self.last_run_ms + WINDOW_MS, "ran twice"
            self.last_run_ms = self.now_ms if ran else self.last_run_ms
            code = Code.TIMEOUT if ran else Code.SHED_AT_GUARD
            registry.finish(decision, result(code), self.now_ms)


class KeyOwnershipTest(testtools.TestCase):
    def test_key_runs_once_within_the_window(self):
        support.run_machine(KeyMachine)
        self.assertIn(
            "twice",
            support.failure_of(KeyMachine, key_settling=False),
        )

    def test_window_of_a_key_starts_with_its_last_run(self):
        machine = KeyMachine()
        for ms, ran in ((0, False), (90, True), (15, True)):
            machine.wait(ms, 0)
            for name in "abc":
                machine.send(name, ran)

    def test_interrupted_ownership(self):
        registry, now_ms = make_registry(), 500
        ownership = registry.key_ownership
        keys = map(str, range(20))
        key_by_owner = {keyowner.choose_owner("ab", f"c\0{k}"): k for k in keys}
        local_key_request, remote_key_request = (
            make_request(key=key_by_owner[name]) for name in "ab"
        )
        for age_ms in range(500, 0, -5):
            ownership.record_list(1, "ab", now_ms - age_ms)
        ownership.record_list(2, "a", now_ms)
        # Neither an older confirmation nor an older list has an effect.
        ownership.record_list(2, "a", now_ms - 50)
        ownership.record_list(1, "ab", now_ms)
        first = registry.decide(local_key_request, now_ms)
        self.assertIs(ActionDisposition.RUN, first.disposition)
        # The removed daemon may have run a request with this key just before.
        self.assertIs(
            Code.KEY_UNSETTLED,
            refusal_or_disposition(registry, remote_key_request, now_ms),
        )
        idempotent = dataclasses.replace(remote_key_request, idempotent=True)
        self.assertIs(
            ActionDisposition.RUN,
            registry.decide(idempotent, now_ms).disposition,
        )
        registry.finish(first, result(Code.LEAVING), now_ms)
        self.assertIs(
            Code.KEY_UNSETTLED,
            refusal_or_disposition(registry, local_key_request, now_ms + 11),
        )
        # Another daemon may have run a request with a key while this one was
        # not listed, or while its list was too old.
        ownership.record_list(3, "b", now_ms + 5)
        for version, at_ms in ((4, now_ms + 10), (4, now_ms + 400)):
            ownership.record_list(version, "ab", at_ms)
            self.assertFalse(
                ownership.may_run(f"c\0{local_key_request.key}", at_ms + 9)
            )
        self.assertEqual(WINDOW_MS + 2 * (10 + 5), ownership.settle_ms)


class ActionTest(testtools.TestCase):
    def test_disposition_of_a_repeated_request_by_result(self):
        # A non-idempotent request must not run again if the target may have
        # executed it before.
        for code, *expected in (
            (Code.OK, ActionDisposition.ANSWER, ActionDisposition.ANSWER),
            (
                Code.TARGET_ERROR,
                ActionDisposition.ANSWER,
                ActionDisposition.RUN,
            ),
            (Code.TIMEOUT, ActionDisposition.INQUIRE, ActionDisposition.RUN),
            (Code.SHED_AT_GUARD, ActionDisposition.RUN, ActionDisposition.RUN),
        ):
            observed = [
                run_and_repeat(make_registry(), code, i)[1].disposition
                for i in (False, True)
            ]
            self.assertEqual((code, expected), (code, observed))
        unprotected = make_registry(mechanisms={"ledger": False})
        first = unprotected.decide(make_request(), 1)
        self.assertIs(
            ActionDisposition.RUN,
            unprotected.decide(make_request(first.action), 1).disposition,
        )

    def test_retries_share_one_budget(self):
        registry = make_registry()
        repeated, decision = run_and_repeat(registry, Code.SHED_AT_GUARD)
        for run, left in ((2, 1), (3, 0)):
            self.assertEqual(run, decision.run)
            self.assertEqual(left, decision.budget.remaining)
            earlier_run = dataclasses.replace(decision, run=1)
            registry.finish(earlier_run, result(Code.OK), 5)
            registry.finish(decision, result(Code.LEAVING), 5)
            decision = registry.decide(repeated, 6)
        observed = (decision.result.code, decision.run_state)
        self.assertEqual((Code.LEAVING, RunState.NOT_RUN), observed)
        unprotected = make_registry(mechanisms={"chain_budget": False})
        _, second = run_and_repeat(unprotected, Code.SHED_AT_GUARD)
        self.assertEqual(2, second.budget.remaining)

    def test_refused_retry_does_not_hide_an_earlier_run(self):
        registry = make_registry()
        repeated, second = run_and_repeat(
            registry, Code.TIMEOUT, idempotent=True
        )
        state = registry.finish(second, result(Code.SHED_AT_GUARD), 5)
        self.assertIs(RunState.UNKNOWN, state)
        # A table change may make the row non-idempotent between two runs.
        repeated = dataclasses.replace(repeated, idempotent=False)
        self.assertIs(
            ActionDisposition.ANSWER, registry.decide(repeated, 6).disposition
        )

    def test_inquiry_settles_an_unknown_outcome(self):
        registry = make_registry()
        repeated, inquiry = run_and_repeat(registry, Code.LINK_LOST)
        self.assertIs(ATTEMPT_REF, inquiry.attempt_ref)
        self.assertIs(
            ActionDisposition.WAIT, registry.decide(repeated, 5).disposition
        )
        for code in (Code.BARRED, Code.OK):  # Only the first result counts.
            registry.finish(inquiry, result(code), 6)
        self.assertIs(
            ActionDisposition.RUN, registry.decide(repeated, 7).disposition
        )
        _, second = run_and_repeat(
            make_registry(), Code.LINK_LOST, attempt_ref=None
        )
        self.assertIs(RunState.UNKNOWN, second.run_state)

    def test_unused_ids_and_refusals(self):
        registry = make_registry()
        unused = str(registry.issue(1))
        used = registry.decide(make_request(registry.issue(1)), 1).action
        remote = unused.replace("a.", "b.")
        restarted = unused.replace("0" * 16, "1" * 16)
        for action_id, code, fields in (
            ("x", Code.BAD_ACTION_ID, {}),
            (f"{unused}7", Code.BAD_ACTION_ID, {}),
            # More digits than int() converts.
            (f"{unused}{'7' * 5_000}", Code.BAD_ACTION_ID, {}),
            (unused.replace(".1.", ".2000."), Code.BAD_ACTION_ID, {}),
            (f"{str(used)[:-4]}.2.2", Code.BAD_ACTION_ID, {}),
            (remote, Code.BAD_ACTION_ID, {"forwarded": True}),
            (restarted, Code.OWNER_LOST, {}),
            (
                restarted,
                Code.OWNER_LOST,
                {"forwarded": True, "idempotent": True},
            ),
            (used, Code.MALFORMED, {"fingerprint": "g"}),
        ):
            request = make_request(action_id, **fields)
            self.assertIs(code, refusal_or_disposition(registry, request, 1))
        self.assertEqual("b", registry.decide(make_request(remote), 1).owner)
        registry.key_ownership.record_list(1, "a", 1)
        observed = refusal_or_disposition(registry, make_request(remote), 1)
        self.assertIs(Code.OWNER_LOST, observed)
        idempotent = registry.decide(make_request(remote, idempotent=True), 1)
        self.assertEqual(0, idempotent.budget.remaining)
        # The id is valid up to the end of the window and no longer.
        observed = [
            refusal_or_disposition(registry, make_request(unused), at)
            for at in (101, 102)
        ]
        self.assertEqual([ActionDisposition.RUN, Code.ACTION_EXPIRED], observed)

    def test_limits_of_records_and_responses(self):
        # A full registry refuses new actions, since dropping a record would
        # allow a second run.
        registry = make_registry(
            action_records_max=6, action_answer_bytes_max=10
        )
        first, _ = run_and_repeat(registry, Code.OK)
        run_and_repeat(registry, Code.OK)
        repeated = registry.decide(first, 5)
        self.assertEqual(Code.ANSWER_NOT_KEPT, repeated.result.code)
        idempotent = [
            registry.decide(make_request(idempotent=True), 6) for _ in "1234"
        ]
        observed = [decision.budget.remaining for decision in idempotent]
        self.assertEqual([2, 2, 2, 0], observed)
        observed = [
            refusal_or_disposition(registry, make_request(), 7) for _ in "12"
        ]
        self.assertEqual([ActionDisposition.RUN, Code.LEDGER_FULL], observed)
        # Records of running actions stay beyond the window. A successful
        # idempotent action whose id the caller did not know needs no record.
        registry.sweep(202)
        self.assertEqual(4, len(registry))
        registry.finish(idempotent[0], result(Code.OK), 99)
        self.assertEqual(3, len(registry))
