"""Tests of mimosahaven.actions, actionrecords and keyowner."""

import testtools
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import matchers

from mimosahaven import actions
from mimosahaven import codes
from mimosahaven import keyowner
from mimosahaven import messages
from mimosahaven import settings as settings_lib
from tests import identity_support as support

Code = codes.Code
RunState = codes.RunState
Step = actions.Step
WINDOW_MS = 100
PLACE = actions.Place("presse-1", "f" * 16, 0)


def make(target="a", mechanisms=None, **ledger):
    ledger = {
        "action_window_ms": WINDOW_MS,
        "key_view_max_age_ms": 10,
        "list_lag_ms": 5,
        **ledger,
    }
    settings = support.settings(
        ledger=settings_lib.LedgerSettings(**ledger),
        mechanisms=settings_lib.MechanismSettings(**mechanisms or {}),
    )
    return actions.ActionRegistry(settings, target, "0" * 16)


def request(action_id="", key="", idempotent=False, **fields):
    fields = {"caller": "c", "fingerprint": "f", "retry_budget": 1, **fields}
    return actions.ActionRequest(
        idempotent=idempotent, action_id=str(action_id), key=key, **fields
    )


def result(code, body=b""):
    return messages.Result("x/1", 0, int(code), body=body)


class ActionTest(testtools.TestCase):
    def repeat(self, registry, code, idempotent=False, place=PLACE):
        """Runs an action once, ends it with the code and sends it again."""
        again = request(registry.issue(1), idempotent=idempotent)
        first = registry.decide(again, 1)
        self.assertIs(Step.WAIT, registry.decide(again, 2).step)
        registry.finish(first, result(code, b"12345678"), 3, place)
        return again, registry.decide(again, 4)

    def test_second_copy_by_outcome(self):
        # A copy must not run when an earlier run may have run.
        for code, idempotent, step in (
            (Code.OK, False, Step.ANSWER),
            (Code.TARGET_ERROR, False, Step.ANSWER),
            (Code.TIMEOUT, False, Step.INQUIRE),
            (Code.SHED_AT_GUARD, False, Step.RUN),
            (Code.OK, True, Step.ANSWER),
            (Code.TARGET_ERROR, True, Step.RUN),
            (Code.TIMEOUT, True, Step.RUN),
        ):
            _, decision = self.repeat(make(), code, idempotent)
            self.assertThat(
                (code, decision.step), matchers.Equals((code, step))
            )
        registry = make()
        browse = registry.decide(request(idempotent=True), 1)
        registry.finish(browse, result(Code.OK), 2)
        self.assertThat(len(registry), matchers.Equals(0))
        off = make(mechanisms={"ledger": False})
        first = off.decide(request(), 1)
        self.assertIs(Step.RUN, off.decide(request(first.action), 1).step)

    def test_re_sends_share_one_budget(self):
        registry = make()
        again, second = self.repeat(registry, Code.SHED_AT_GUARD)
        self.assertThat(
            (second.run, second.budget.remaining), matchers.Equals((2, 0))
        )
        registry.finish(second, result(Code.LEAVING), 5)
        third = registry.decide(again, 6)
        self.assertThat(
            (third.step, third.result.code, third.run_state),
            matchers.Equals((Step.ANSWER, Code.LEAVING, RunState.NOT_RUN)),
        )
        off = make(mechanisms={"chain_budget": False})
        for _ in range(3):
            _, second = self.repeat(off, Code.SHED_AT_GUARD)
            self.assertThat(second.budget.remaining, matchers.Equals(1))

    def test_refused_retry_does_not_hide_an_earlier_run(self):
        # "Not run" is only told when no run of the action ran.
        registry = make()
        _, second = self.repeat(registry, Code.TIMEOUT, idempotent=True)
        state = registry.finish(second, result(Code.SHED_AT_GUARD), 5)
        self.assertIs(RunState.UNKNOWN, state)

    def test_inquiry_settles_an_unknown_outcome(self):
        registry = make()
        again, asked = self.repeat(registry, Code.LINK_LOST)
        self.assertIs(PLACE, asked.place)
        self.assertIs(Step.WAIT, registry.decide(again, 5).step)
        registry.finish(asked, result(Code.BARRED), 6)
        self.assertIs(Step.RUN, registry.decide(again, 7).step)
        _, decision = self.repeat(make(), Code.LINK_LOST, place=None)
        self.assertIs(RunState.UNKNOWN, decision.run_state)

    def test_unused_ids_and_refusals(self):
        registry = make()
        unused = registry.issue(1)
        used = registry.decide(request(registry.issue(1)), 1).action
        text = str(unused)
        for action_id, code, fields in (
            ("x", Code.BAD_ACTION_ID, {}),
            (f"{text}7", Code.BAD_ACTION_ID, {}),
            (text.replace(".1.", ".2000."), Code.BAD_ACTION_ID, {}),
            (f"{str(used)[:-4]}.2.2", Code.BAD_ACTION_ID, {}),
            (text.replace("a.", "b."), Code.BAD_ACTION_ID, {"forwarded": True}),
            (text.replace("0" * 16, "1" * 16), Code.OWNER_LOST, {}),
            (used, Code.MALFORMED, {"fingerprint": "g"}),
        ):
            decision = registry.decide(request(action_id, **fields), 1)
            self.assertThat(decision.code, matchers.Equals(code))
        other = request(text.replace("a.", "b."))
        self.assertThat(registry.decide(other, 1).owner, matchers.Equals("b"))
        registry.keys.observe(1, "a", 1)
        self.assertIs(Code.OWNER_LOST, registry.decide(other, 1).code)
        lost = registry.decide(request(other.action_id, idempotent=True), 1)
        self.assertThat(lost.budget.remaining, matchers.Equals(0))
        # The id stays fresh up to the end of the window and no longer.
        self.assertIs(Step.RUN, registry.decide(request(unused), 101).step)
        expired = registry.decide(request(unused), 102)
        self.assertIs(Code.ACTION_EXPIRED, expired.code)

    def test_bounds(self):
        # A full registry refuses; dropping a record would allow a second run.
        registry = make(action_records_max=4, action_answer_bytes_max=10)
        old, _ = self.repeat(registry, Code.OK)
        self.repeat(registry, Code.OK)
        kept = registry.decide(old, 5)
        self.assertThat(kept.result.code, matchers.Equals(Code.ANSWER_NOT_KEPT))
        for _ in range(4):
            browse = registry.decide(request(idempotent=True), 6)
        self.assertThat(
            (len(registry), browse.budget.remaining), matchers.Equals((4, 0))
        )
        self.assertIs(Code.LEDGER_FULL, registry.decide(request(), 7).code)
        self.assertIs(Step.RUN, registry.decide(request(), WINDOW_MS + 2).step)
        # Running actions outlive the window.
        self.assertThat(len(registry), matchers.Equals(3))


class KeyTest(testtools.TestCase):
    def test_removed_owner_and_old_list(self):
        registry = make()
        settle_ms = registry.keys.settle_ms
        mine, theirs = (
            next(
                key
                for key in map(str, range(99))
                if keyowner.choose_owner("ab", f"c\0{key}") == name
            )
            for name in "ab"
        )
        for now_ms in range(0, 5 * int(settle_ms), 5):
            registry.keys.observe(1, "ab", now_ms)
        registry.keys.observe(2, "a", now_ms)
        entry = request(key=mine)
        self.assertIs(Step.RUN, registry.decide(entry, now_ms).step)
        # The daemon that went away may have run this key a moment ago.
        decision = registry.decide(request(key=theirs), now_ms)
        self.assertIs(Code.KEY_UNSETTLED, decision.code)
        browse = registry.decide(request(key=theirs, idempotent=True), now_ms)
        self.assertIs(Step.RUN, browse.step)
        decision = registry.decide(request(key="late"), now_ms + 11)
        self.assertIs(Code.KEY_UNSETTLED, decision.code)
        self.assertIs(Step.WAIT, registry.decide(entry, now_ms + 11).step)
        # While the list was too old another daemon may have owned the key.
        late_ms = now_ms + 1_000
        registry.keys.observe(2, "a", late_ms)
        decision = registry.decide(entry, late_ms)
        self.assertIs(Step.WAIT, decision.step)
        decision = registry.decide(request(key=f"{mine}x"), late_ms)
        self.assertIs(Code.KEY_UNSETTLED, decision.code)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Three daemons on two sides read a changing list late or not at all."""

    mechanisms = {}

    def __init__(self):
        super().__init__()
        self.daemons = {n: make(n, self.mechanisms) for n in "abc"}
        self.history = [(0, frozenset("abc"))]
        self.cut = set()
        self.now_ms = 0
        self.last_run_ms = {}
        self.wait(200, 0)

    @stateful.rule(name=st.sampled_from("abc"))
    def change(self, name):
        names = self.history[-1][1] ^ {name}
        self.history.append((self.now_ms, names))

    @stateful.rule(side=st.sampled_from(["a", "bc"]), cut=st.booleans())
    def partition(self, side, cut):
        self.cut = self.cut | set(side) if cut else self.cut - set(side)

    @stateful.rule(
        ms=st.sampled_from([5, 20, 60, 130]), lag_ms=st.integers(0, 5)
    )
    def wait(self, ms, lag_ms):
        for _ in range(0, ms, 5):
            self.now_ms += 5
            for name in self.daemons.keys() - self.cut:
                self.read(name, lag_ms)

    def read(self, name, lag_ms):
        seen = [h for h in self.history if h[0] <= self.now_ms - lag_ms]
        self.daemons[name].keys.observe(
            len(seen), seen[-1][1] if seen else "abc", self.now_ms
        )

    @stateful.rule(name=st.sampled_from("abc"), key=st.sampled_from("xyz"))
    def send(self, name, key):
        registry = self.daemons[name]
        decision = registry.decide(
            request(key=key, forwarded=True), self.now_ms
        )
        if decision.step is Step.RUN:
            last_ms = self.last_run_ms.get(key, -WINDOW_MS)
            assert self.now_ms - last_ms >= WINDOW_MS, "key ran twice"
            self.last_run_ms[key] = self.now_ms
            registry.finish(decision, result(Code.TIMEOUT), self.now_ms)


class UnsettledKeyMachine(KeyMachine):
    mechanisms = {"key_settling": False}


class MachineTest(testtools.TestCase):
    def test_key_runs_once_within_the_window(self):
        support.run_machine(KeyMachine, steps=40)

    def test_check_fails_without_settling(self):
        error = support.failure_of(UnsettledKeyMachine)
        self.assertThat(error, matchers.StartsWith("key ran twice"))
