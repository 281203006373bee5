"""Tests of mimosahaven.ledger."""

import testtools
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import matchers

from mimosahaven import codes
from mimosahaven import ledger as ledger_lib
from mimosahaven import messages
from mimosahaven import settings as settings_lib
from tests import identity_support as support

Begin = ledger_lib.Begin
Code = codes.Code
WINDOW_MS = 100
CALLS = st.sampled_from(["a/1", "b/1"])


def make(enabled=True, **ledger):
    ledger = {"action_window_ms": WINDOW_MS, **ledger}
    return ledger_lib.Ledger(
        support.settings(
            ledger=settings_lib.LedgerSettings(**ledger),
            mechanisms=settings_lib.MechanismSettings(ledger=enabled),
        )
    )


def result(code=Code.OK, body=b"", call_id="a/1"):
    return messages.Result(call_id, 0, int(code), body=body)


class LedgerTest(testtools.TestCase):
    def test_copy_gets_kept_answer_under_its_attempt(self):
        # A second copy must not run, and its answer must match its attempt.
        ledger = make()
        ledger.begin("a/1", 0, False, 0)
        self.assertIs(Begin.WAIT, ledger.begin("a/1", 1, False, 1).begin)
        ledger.finish("a/1", result(body=b"x"), 2)
        kept = ledger.begin("a/1", 2, False, 2 + WINDOW_MS).result
        self.assertThat(
            (kept.attempt, kept.code, kept.body),
            matchers.Equals((2, Code.OK_FROM_LEDGER, b"x")),
        )
        self.assertThat(
            ledger.inquire("a/1", 3).result.body, matchers.Equals(b"x")
        )

    def test_bounds_drop_answers_but_no_record(self):
        # A record dropped early would let a copy run again.
        ledger = make(records_max=2, answer_bytes_max=10)
        for call_id, code in (("a/1", Code.OK), ("b/1", Code.TIMEOUT)):
            ledger.begin(call_id, 0, False, 0)
            ledger.finish(call_id, result(code, b"12345678"), 0)
        verdict = ledger.begin("a/1", 1, False, 1)
        self.assertThat(
            verdict.result.code, matchers.Equals(Code.ANSWER_NOT_KEPT)
        )
        self.assertThat(ledger.answer_bytes, matchers.Equals(8))
        verdict = ledger.begin("c/1", 0, False, 1)
        self.assertIs(Code.LEDGER_FULL, verdict.code)
        # Without a tombstone a delayed copy could run: not "barred".
        self.assertThat(
            ledger.inquire("c/1", 1).state, matchers.Equals("running")
        )
        self.assertIs(Begin.RUN, ledger.begin("c/1", 0, True, 1).begin)
        ledger.sweep(WINDOW_MS + 1)
        self.assertThat(
            (len(ledger), ledger.answer_bytes), matchers.Equals((0, 0))
        )

    def test_not_run_outcome_leaves_no_record(self):
        ledger = make()
        ledger.begin("a/1", 0, False, 0)
        ledger.finish("a/1", result(Code.TARGET_REFUSED), 1)
        self.assertIs(Begin.RUN, ledger.begin("a/1", 1, False, 2).begin)


class CallMachine(stateful.RuleBasedStateMachine):
    """A router that never re-sends an unresolved call, and two guards.

    Copies are delivered late, twice or never, within their deadline.
    """

    enabled = True

    def __init__(self):
        super().__init__()
        self.guards = [make(self.enabled, records_max=3) for _ in range(2)]
        self.now_ms = 0.0
        self.copies = []
        self.open = {}  # Call id to the guard that may run it.
        self.not_run = set()  # (call id, guard) after "barred".
        self.executing = set()
        self.runs = {"a/1": 0, "b/1": 0}

    @stateful.rule(call_id=CALLS, guard=st.integers(0, 1))
    def send(self, call_id, guard):
        if call_id not in self.open and (call_id, guard) not in self.not_run:
            self.open[call_id] = guard
            self.copies.append((call_id, guard, self.now_ms + WINDOW_MS))

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(data=st.data())
    def deliver(self, data):
        call_id, guard, deadline_ms = data.draw(st.sampled_from(self.copies))
        if self.now_ms > deadline_ms:
            return
        verdict = self.guards[guard].begin(call_id, 0, False, self.now_ms)
        if verdict.begin is Begin.RUN:
            assert (call_id, guard) not in self.not_run, "ran after not-run"
            self.executing.add((call_id, guard))
            self.runs[call_id] += 1
            assert self.runs[call_id] <= 1, "ran twice"

    @stateful.precondition(lambda self: self.executing)
    @stateful.rule(dispatched=st.booleans(), data=st.data())
    def end(self, dispatched, data):
        call_id, guard = data.draw(st.sampled_from(sorted(self.executing)))
        self.executing.remove((call_id, guard))
        if dispatched:
            self.guards[guard].finish(
                call_id, result(call_id=call_id), self.now_ms
            )
        else:
            self.runs[call_id] -= 1
            self.guards[guard].release(call_id, self.now_ms)
            # The router learns of the refusal; links repeat no message.
            self.open.pop(call_id, None)
            self.copies = [c for c in self.copies if c[0] != call_id]

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data())
    def inquire(self, data):
        call_id = data.draw(st.sampled_from(sorted(self.open)))
        guard = self.open[call_id]
        state = self.guards[guard].inquire(call_id, self.now_ms).state
        if state == "barred":
            assert not self.runs[call_id], "barred after a run"
            self.not_run.add((call_id, guard))
            del self.open[call_id]

    @stateful.rule(ms=st.sampled_from([1, WINDOW_MS // 2, WINDOW_MS]))
    def wait(self, ms):
        # The action window ends all inquiries about calls of the action.
        if self.now_ms + ms <= WINDOW_MS:
            self.now_ms += ms


class WithoutLedger(CallMachine):
    enabled = False


class MachineTest(testtools.TestCase):
    def test_at_most_one_run(self):
        support.run_machine(CallMachine)

    def test_check_fails_without_ledger(self):
        error = support.failure_of(WithoutLedger)
        self.assertThat(error, matchers.MatchesRegex("ran|barred"))
