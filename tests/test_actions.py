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
Disposition = actions.Disposition
WINDOW_MS = 100
NAMES = st.sampled_from("abc")
STEPS_MS = st.sampled_from([5, 20, 60, 130])
ATTEMPT_REF = actions.AttemptRef("presse-1", "f" * 16, 0)


def make(target="a", switches=None, **fields):
    fields |= {"action_window_ms": WINDOW_MS, "list_lag_ms": 5}
    fields |= {"key_view_max_age_ms": 10}
    settings = support.settings(switches, ledger=fields)
    return actions.ActionRegistry(settings, target, "0" * 16)


def request(action_id="", **fields):
    fields = {"caller": "c", "fingerprint": "f", "retry_budget": 2, **fields}
    fields.setdefault("idempotent", False)
    return actions.ActionRequest(action_id=str(action_id), **fields)


def outcome(registry, sent, now_ms):
    """Returns the reason of a refusal, or the step."""
    decision = registry.decide(sent, now_ms)
    return decision.code or decision.disposition


def repeat(registry, code, idempotent=False, attempt_ref=ATTEMPT_REF):
    """Runs an action, ends it with the code and sends it again."""
    again = request(registry.issue(1), idempotent=idempotent)
    first = registry.decide(again, 1)
    assert outcome(registry, again, 2) is Disposition.WAIT
    registry.finish(first, result(code), 3, attempt_ref)
    return again, registry.decide(again, 4)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Three daemons on two sides read a changing list late or not at all."""

    settling = True

    def __init__(self):
        super().__init__()
        switches = {"key_settling": self.settling}
        self.daemons = {name: make(name, switches) for name in "abc"}
        self.history = [(-9, frozenset("abc"))]
        self.cut, self.now_ms, self.last_run_ms = set(), 0, -WINDOW_MS
        self.wait(200, 0)

    @stateful.rule(name=NAMES)
    def change(self, name):
        self.history.append((self.now_ms, self.history[-1][1] ^ {name}))

    @stateful.rule(side=st.sampled_from(["a", "bc"]), cut=st.booleans())
    def partition(self, side, cut):
        self.cut = self.cut | set(side) if cut else self.cut - set(side)

    @stateful.rule(ms=STEPS_MS, lag_ms=st.integers(0, 5))
    def wait(self, ms, lag_ms):
        for _ in range(0, ms, 5):
            self.now_ms += 5
            seen = [h for h in self.history if h[0] <= self.now_ms - lag_ms]
            for name in self.daemons.keys() - self.cut:
                view = self.daemons[name].key_ownership
                view.record_list(len(seen), seen[-1][1], self.now_ms)

    @stateful.rule(name=NAMES, ran=st.booleans())
    def send(self, name, ran):
        registry = self.daemons[name]
        sent = request(key="k", forwarded=True)
        decision = registry.decide(sent, self.now_ms)
        if decision.disposition is Disposition.RUN:
            assert self.now_ms >= self.last_run_ms + WINDOW_MS, "ran twice"
            self.last_run_ms = self.now_ms if ran else self.last_run_ms
            code = Code.TIMEOUT if ran else Code.SHED_AT_GUARD
            registry.finish(decision, result(code), self.now_ms)


class KeyTest(testtools.TestCase):
    def test_key_runs_once_within_the_window(self):
        support.run_machine(KeyMachine)
        self.assertIn("twice", support.failure_of(KeyMachine, settling=False))

    def test_window_of_a_key_starts_with_its_last_run(self):
        machine = KeyMachine()
        for ms, ran in ((0, False), (90, True), (15, True)):
            machine.wait(ms, 0)
            for name in "abc":
                machine.send(name, ran)

    def test_interrupted_ownership(self):
        registry, now_ms = make(), 500
        view = registry.key_ownership
        keys = map(str, range(20))
        owners = {keyowner.choose_owner("ab", f"c\0{k}"): k for k in keys}
        mine, theirs = (request(key=owners[name]) for name in "ab")
        for age_ms in range(500, 0, -5):
            view.record_list(1, "ab", now_ms - age_ms)
        view.record_list(2, "a", now_ms)
        # Neither an older contact nor an older list counts.
        view.record_list(2, "a", now_ms - 50)
        view.record_list(1, "ab", now_ms)
        first = registry.decide(mine, now_ms)
        self.assertIs(Disposition.RUN, first.disposition)
        # The daemon that went away may have run this key a moment ago.
        self.assertIs(Code.KEY_UNSETTLED, outcome(registry, theirs, now_ms))
        browse = dataclasses.replace(theirs, idempotent=True)
        self.assertIs(
            Disposition.RUN, registry.decide(browse, now_ms).disposition
        )
        registry.finish(first, result(Code.LEAVING), now_ms)
        self.assertIs(Code.KEY_UNSETTLED, outcome(registry, mine, now_ms + 11))
        # Another daemon may have run a key while this one was not listed, or
        # while its list was too old.
        view.record_list(3, "b", now_ms + 5)
        for version, at_ms in ((4, now_ms + 10), (4, now_ms + 400)):
            view.record_list(version, "ab", at_ms)
            self.assertFalse(view.may_run(f"c\0{mine.key}", at_ms + 9))
        self.assertEqual(WINDOW_MS + 2 * (10 + 5), view.settle_ms)


class ActionTest(testtools.TestCase):
    def test_second_copy_by_outcome(self):
        # A copy must not run when an earlier run may have run.
        for code, *steps in (
            (Code.OK, Disposition.ANSWER, Disposition.ANSWER),
            (Code.TARGET_ERROR, Disposition.ANSWER, Disposition.RUN),
            (Code.TIMEOUT, Disposition.INQUIRE, Disposition.RUN),
            (Code.SHED_AT_GUARD, Disposition.RUN, Disposition.RUN),
        ):
            got = [
                repeat(make(), code, i)[1].disposition for i in (False, True)
            ]
            self.assertEqual((code, steps), (code, got))
        off = make(switches={"ledger": False})
        first = off.decide(request(), 1)
        self.assertIs(
            Disposition.RUN, off.decide(request(first.action), 1).disposition
        )

    def test_re_sends_share_one_budget(self):
        registry = make()
        again, retry = repeat(registry, Code.SHED_AT_GUARD)
        for run, left in ((2, 1), (3, 0)):
            self.assertEqual(run, retry.run)
            self.assertEqual(left, retry.budget.remaining)
            late = dataclasses.replace(retry, run=1)
            registry.finish(late, result(Code.OK), 5)
            registry.finish(retry, result(Code.LEAVING), 5)
            retry = registry.decide(again, 6)
        got = (retry.result.code, retry.run_state)
        self.assertEqual((Code.LEAVING, RunState.NOT_RUN), got)
        off = make(switches={"chain_budget": False})
        _, second = repeat(off, Code.SHED_AT_GUARD)
        self.assertEqual(2, second.budget.remaining)

    def test_refused_retry_does_not_hide_an_earlier_run(self):
        registry = make()
        again, second = repeat(registry, Code.TIMEOUT, idempotent=True)
        state = registry.finish(second, result(Code.SHED_AT_GUARD), 5)
        self.assertIs(RunState.UNKNOWN, state)
        # The operators may make the row non-idempotent in the meantime.
        again = dataclasses.replace(again, idempotent=False)
        self.assertIs(Disposition.ANSWER, registry.decide(again, 6).disposition)

    def test_inquiry_settles_an_unknown_outcome(self):
        registry = make()
        again, asked = repeat(registry, Code.LINK_LOST)
        self.assertIs(ATTEMPT_REF, asked.attempt_ref)
        self.assertIs(Disposition.WAIT, registry.decide(again, 5).disposition)
        for code in (Code.BARRED, Code.OK):  # Only the first one counts.
            registry.finish(asked, result(code), 6)
        self.assertIs(Disposition.RUN, registry.decide(again, 7).disposition)
        _, second = repeat(make(), Code.LINK_LOST, attempt_ref=None)
        self.assertIs(RunState.UNKNOWN, second.run_state)

    def test_unused_ids_and_refusals(self):
        registry = make()
        unused = str(registry.issue(1))
        used = registry.decide(request(registry.issue(1)), 1).action
        foreign = unused.replace("a.", "b.")
        lost = unused.replace("0" * 16, "1" * 16)
        for action_id, code, fields in (
            ("x", Code.BAD_ACTION_ID, {}),
            (f"{unused}7", Code.BAD_ACTION_ID, {}),
            (unused.replace(".1.", ".2000."), Code.BAD_ACTION_ID, {}),
            (f"{str(used)[:-4]}.2.2", Code.BAD_ACTION_ID, {}),
            (foreign, Code.BAD_ACTION_ID, {"forwarded": True}),
            (lost, Code.OWNER_LOST, {}),
            (lost, Code.OWNER_LOST, {"forwarded": True, "idempotent": True}),
            (used, Code.MALFORMED, {"fingerprint": "g"}),
        ):
            sent = request(action_id, **fields)
            self.assertIs(code, outcome(registry, sent, 1))
        self.assertEqual("b", registry.decide(request(foreign), 1).owner)
        registry.key_ownership.record_list(1, "a", 1)
        got = outcome(registry, request(foreign), 1)
        self.assertIs(Code.OWNER_LOST, got)
        browse = registry.decide(request(foreign, idempotent=True), 1)
        self.assertEqual(0, browse.budget.remaining)
        # The id stays fresh up to the end of the window and no longer.
        got = [outcome(registry, request(unused), at) for at in (101, 102)]
        self.assertEqual([Disposition.RUN, Code.ACTION_EXPIRED], got)

    def test_bounds(self):
        # A full registry refuses; dropping a record would allow a second run.
        registry = make(action_records_max=6, action_answer_bytes_max=10)
        old, _ = repeat(registry, Code.OK)
        repeat(registry, Code.OK)
        kept = registry.decide(old, 5)
        self.assertEqual(Code.ANSWER_NOT_KEPT, kept.result.code)
        browse = [registry.decide(request(idempotent=True), 6) for _ in "1234"]
        got = [decision.budget.remaining for decision in browse]
        self.assertEqual([2, 2, 2, 0], got)
        got = [outcome(registry, request(), 7) for _ in "12"]
        self.assertEqual([Disposition.RUN, Code.LEDGER_FULL], got)
        # Running actions outlive the window; a success of an idempotent one
        # whose id the caller did not know needs no record.
        registry.sweep(202)
        self.assertEqual(4, len(registry))
        registry.finish(browse[0], result(Code.OK), 99)
        self.assertEqual(3, len(registry))
