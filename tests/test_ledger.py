"""Tests of mimosahaven.ledger."""

import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from mimosahaven import codes
from mimosahaven import ledger as ledger_lib
from tests import identity_support as support

LedgerDisposition = ledger_lib.LedgerDisposition
Code = codes.Code
result = support.result
WINDOW_MS = 100
CALLS, GUARDS = st.sampled_from(["a/1", "b/1"]), st.integers(0, 1)


def make_ledger(enabled=True, **fields):
    fields = {"action_window_ms": WINDOW_MS, **fields}
    settings = support.make_settings({"ledger": enabled}, ledger=fields)
    return ledger_lib.Ledger(settings)


class CallMachine(stateful.RuleBasedStateMachine):
    """A router and two guards; calls are delayed, duplicated or lost."""

    enabled = True

    def __init__(self):
        super().__init__()
        self.guards = [
            make_ledger(self.enabled, records_max=3) for _ in range(2)
        ]
        self.copies, self.barred, self.executing = set(), set(), set()
        # Maps a call id to the guard that may run it.
        self.now_ms, self.open_calls = 0, {}
        self.runs = {"a/1": 0, "b/1": 0}

    @stateful.rule(call_id=CALLS, guard=GUARDS)
    def send(self, call_id, guard):
        if (
            call_id not in self.open_calls
            and (call_id, guard) not in self.barred
        ):
            self.open_calls[call_id] = guard
            self.copies.add((call_id, guard))

    @stateful.rule(call_id=CALLS, guard=GUARDS)
    def deliver(self, call_id, guard):
        args = (call_id, 0, False, self.now_ms)
        delivered = (call_id, guard) in self.copies
        if (
            delivered
            and self.guards[guard].begin(*args).disposition
            is LedgerDisposition.RUN
        ):
            assert (call_id, guard) not in self.barred, "ran after not-run"
            self.executing.add((call_id, guard))
            self.runs[call_id] += 1
            assert self.runs[call_id] <= 1, "ran twice"

    @stateful.rule(call_id=CALLS, guard=GUARDS, dispatched=st.booleans())
    def end(self, call_id, guard, dispatched):
        if (call_id, guard) not in self.executing:
            return
        self.executing.remove((call_id, guard))
        if dispatched:
            self.guards[guard].finish(call_id, result(Code.OK), self.now_ms)
            return
        self.guards[guard].release(call_id, self.now_ms)
        self.runs[call_id] -= 1
        # The router receives the refusal; links do not duplicate messages.
        self.open_calls.pop(call_id, None)
        self.copies -= {(call_id, 0), (call_id, 1)}

    @stateful.rule(call_id=CALLS)
    def inquire(self, call_id):
        guard = self.open_calls.get(call_id, 0)
        if self.guards[guard].inquire(call_id, self.now_ms).state == "barred":
            assert not self.runs[call_id], "barred after a run"
            self.barred.add((call_id, guard))
            self.open_calls.pop(call_id, None)

    @stateful.rule(ms=st.sampled_from([1, WINDOW_MS // 2, WINDOW_MS]))
    def wait(self, ms):
        # No copy can run after the window: its deadline has passed by then.
        self.now_ms = min(self.now_ms + ms, WINDOW_MS)


class LedgerTest(testtools.TestCase):
    def test_at_most_one_run(self):
        support.run_machine(CallMachine)
        error = support.failure_of(CallMachine, enabled=False)
        self.assertIn(error.split()[0], ("ran", "barred"))

    def test_copy_gets_stored_result_with_its_attempt_number(self):
        ledger = make_ledger()
        for attempt in range(3):
            # Neither a refusal nor a result of "not run" leaves a record.
            decision = ledger.begin("a/1", attempt, False, 0)
            self.assertIs(LedgerDisposition.RUN, decision.disposition)
            if attempt == 0:
                ledger.finish("a/1", result(Code.TARGET_REFUSED), 0)
            if attempt == 1:
                ledger.release("a/1", 0)
        self.assertIs(
            LedgerDisposition.WAIT, ledger.begin("a/1", 1, False, 1).disposition
        )
        ledger.finish("a/1", result(Code.OK), 2)
        stored = ledger.begin("a/1", 2, False, 2 + WINDOW_MS).result
        self.assertEqual(
            (2, Code.OK_FROM_LEDGER), (stored.attempt, stored.code)
        )
        self.assertEqual(b"12345678", ledger.inquire("a/1", 3).result.body)

    def test_limits_drop_response_bodies_but_no_record(self):
        # A record removed before the window ends would let a copy run again.
        ledger = make_ledger(records_max=2, answer_bytes_max=7)
        for call_id, code in (("a/1", Code.OK), ("b/1", Code.TIMEOUT)):
            ledger.begin(call_id, 0, False, 0)
            ledger.finish(call_id, result(code), 0)
        result_codes = [
            ledger.inquire(c, 1).result.code for c in ("a/1", "b/1")
        ]
        self.assertEqual([Code.ANSWER_NOT_KEPT, Code.TIMEOUT], result_codes)
        self.assertIs(Code.LEDGER_FULL, ledger.begin("c/1", 0, False, 1).code)
        # Without a tombstone a delayed copy could run, so not "barred".
        self.assertEqual("running", ledger.inquire("c/1", 1).state)
        self.assertIs(
            LedgerDisposition.RUN, ledger.begin("c/1", 0, True, 1).disposition
        )
        ledger.sweep(WINDOW_MS + 1)
        self.assertEqual((0, 0), (len(ledger), ledger.response_bytes))
