"""Tests of mimosahaven.quarantine."""

import itertools

import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from mimosahaven import messages
from mimosahaven import quarantine
from tests import identity_support as support

EVIL, INNOCENT = ("e1", "e2"), ("p", "q")
GUARDS = st.integers(0, 2)


def make(target="t-0", enabled=True, **fields):
    settings = support.settings({"quarantine": enabled}, quarantine=fields)
    return quarantine.Quarantine(settings, target, "0" * 16)


class CrashMachine(stateful.RuleBasedStateMachine):
    """Two contents crash every target; strikes precede each re-send."""

    enabled = warm = True

    def __init__(self):
        super().__init__()
        self.guards = [make(f"t-{i}", self.enabled) for i in range(3)]
        self.flights, self.news = [[], [], []], []
        self.crashes = dict.fromkeys(EVIL, 0)
        for index, name in itertools.product(range(3), INNOCENT):
            if self.warm:
                self.start(index, name)
                self.succeed(index, name)

    @stateful.rule(index=GUARDS, name=st.sampled_from(EVIL + INNOCENT))
    def start(self, index, name):
        # The caller sends a content again after it has got an answer.
        if name in INNOCENT or not any(name in f for f in self.flights):
            self.verdict = self.guards[index].admit(name, 0).value
            if self.verdict.startswith("allow"):
                self.guards[index].record_start(name, 0)
                self.flights[index].append(name)

    @stateful.rule(index=GUARDS, name=st.sampled_from(EVIL))
    def crash(self, index, name):
        self.start(index, name)
        if name in self.flights[index]:
            self.crashes[name] += 1
            self.go_down(index)

    def go_down(self, index):
        self.flights[index] = []
        strikes = self.guards[index].record_crash(0)
        for guard, strike in itertools.product(self.guards, strikes):
            guard.record_strike(strike, 0)
        self.news += strikes

    @stateful.rule(index=GUARDS, name=st.sampled_from(INNOCENT))
    def succeed(self, index, name):
        if name in self.flights[index]:
            self.flights[index].remove(name)
            clear = self.guards[index].record_success(name, 0)
            self.news += [clear] if clear else []

    @stateful.rule(index=GUARDS, number=st.integers(0, 20))
    def gossip(self, index, number):
        for news in self.news[number : number + 1]:
            if isinstance(news, messages.Clear):
                self.guards[index].record_clear(news)
            else:
                self.guards[index].record_strike(news, 0)

    def held(self):
        names = EVIL + INNOCENT
        return {n for g in self.guards for n in names if g.is_quarantined(n, 0)}

    @stateful.invariant()
    def bounds(self):
        assert max(self.crashes.values()) <= 2, "more than two targets down"
        assert not self.held() & set(INNOCENT), "innocent one held"


class QuarantineTest(testtools.TestCase):
    def test_two_targets_at_most_and_no_innocent_held(self):
        support.run_machine(CrashMachine)
        self.assertIn("two", support.failure_of(CrashMachine, enabled=False))

    def test_popular_request_at_two_crashes(self):
        # A request that is always in flight must not be held with the cause.
        fleet = CrashMachine()
        fleet.start(0, "p")
        fleet.start(1, "p")
        fleet.crash(0, "e1")
        self.assertFalse(any(strike.alone for strike in fleet.news))
        # "p" became suspect in flight: two suspects must not run together.
        fleet.start(1, "e1")
        self.assertEqual("busy", fleet.verdict)
        fleet.succeed(1, "p")
        fleet.start(1, "e1")
        self.assertEqual("allow-alone", fleet.verdict)
        fleet.start(1, "p")
        fleet.crash(1, "e1")
        self.assertEqual({"e1"}, fleet.held())
        self.assertEqual("refuse", fleet.guards[2].admit("e1", 0).value)

    def test_alone_at_a_crash_of_another_cause(self):
        # A success here counts once, a later one anywhere clears.
        for warm in (True, False):
            fleet = type("Fleet", (CrashMachine,), {"warm": warm})()
            fleet.start(2, "p")
            for index, held in ((0, False), (1, not warm), (1, True)):
                fleet.start(index, "p")
                fleet.go_down(index)
                self.assertEqual(held, bool(fleet.held()))
            fleet.succeed(2, "p")
            self.assertTrue(fleet.guards[0].record_clear(fleet.news[-1]))
            self.assertEqual("allow", fleet.guards[0].admit("p", 0).value)

    def test_order_and_copies_of_strikes(self):
        first = messages.Strike("e1", "t-1.0.1", False)
        second = messages.Strike("e1", "t-2.0.1", True)
        for one, two in ((first, second), (second, first)):
            guard = make()
            got = [
                (guard.record_strike(strike, 0), guard.is_quarantined("e1", 0))
                for strike in (one, one, two)
            ]
            self.assertEqual([(True, False), (False, False), (True, True)], got)
            self.assertEqual([one, two], guard.active_strikes(1, 9))
            # Strikes from before a success do not count again.
            guard.record_clear(messages.Clear("e1"))
            self.assertFalse(guard.record_strike(first, 0))
            self.assertEqual([], guard.active_strikes(1, 9))
            self.assertEqual("allow", guard.admit("e1", 0).value)

    def test_expiry_and_bound(self):
        guard = make(hold_ms=100, suspect_ms=50, cases_max=2)
        for crash_id, now_ms in (("1", 0), ("2", 49)):
            guard.record_strike(messages.Strike("e1", crash_id, True), now_ms)
        got = [guard.admit("e1", at).value for at in (148, 149, 198, 199)]
        self.assertEqual(["refuse", "allow-alone", "allow-alone", "allow"], got)
        for name in "abc":
            guard.record_strike(messages.Strike(name, name, False), 150)
        self.assertEqual(2, len(guard))
        guard.sweep(300)
        self.assertEqual(0, len(guard))
