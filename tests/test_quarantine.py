"""Tests of mimosahaven.quarantine."""

import itertools

import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from mimosahaven import messages
from mimosahaven import quarantine
from tests import identity_support as support

CRASHING, HARMLESS = ("e1", "e2"), ("p", "q")
GUARD_INDEXES = st.integers(0, 2)


def make_quarantine(target="t-0", enabled=True, **fields):
    settings = support.make_settings({"quarantine": enabled}, quarantine=fields)
    return quarantine.Quarantine(settings, target, "0" * 16)


class CrashMachine(stateful.RuleBasedStateMachine):
    """Two requests crash every target; strikes arrive before each retry."""

    enabled = warm = True

    def __init__(self):
        super().__init__()
        self.quarantines = [
            make_quarantine(f"t-{i}", self.enabled) for i in range(3)
        ]
        self.in_flight, self.published = [[], [], []], []
        self.crashes = dict.fromkeys(CRASHING, 0)
        for index, name in itertools.product(range(3), HARMLESS):
            if self.warm:
                self.start(index, name)
                self.succeed(index, name)

    @stateful.rule(
        index=GUARD_INDEXES, name=st.sampled_from(CRASHING + HARMLESS)
    )
    def start(self, index, name):
        # A caller retries a request only after it has received a result.
        if name in HARMLESS or not any(name in f for f in self.in_flight):
            self.decision = self.quarantines[index].admit(name, 0).value
            if self.decision.startswith("allow"):
                self.quarantines[index].record_start(name, 0)
                self.in_flight[index].append(name)

    @stateful.rule(index=GUARD_INDEXES, name=st.sampled_from(CRASHING))
    def crash(self, index, name):
        self.start(index, name)
        if name in self.in_flight[index]:
            self.crashes[name] += 1
            self.take_down(index)

    def take_down(self, index):
        self.in_flight[index] = []
        strikes = self.quarantines[index].record_crash(0)
        for tracker, strike in itertools.product(self.quarantines, strikes):
            tracker.record_strike(strike, 0)
        self.published += strikes

    @stateful.rule(index=GUARD_INDEXES, name=st.sampled_from(HARMLESS))
    def succeed(self, index, name):
        if name in self.in_flight[index]:
            self.in_flight[index].remove(name)
            clear = self.quarantines[index].record_success(name, 0)
            self.published += [clear] if clear else []

    @stateful.rule(index=GUARD_INDEXES, number=st.integers(0, 20))
    def gossip(self, index, number):
        for message in self.published[number : number + 1]:
            if isinstance(message, messages.Clear):
                self.quarantines[index].record_clear(message)
            else:
                self.quarantines[index].record_strike(message, 0)

    def quarantined(self):
        names = CRASHING + HARMLESS
        return {
            n for g in self.quarantines for n in names if g.is_quarantined(n, 0)
        }

    @stateful.invariant()
    def bounds(self):
        assert max(self.crashes.values()) <= 2, "more than two targets down"
        assert not self.quarantined() & set(HARMLESS), (
            "harmless request quarantined"
        )


class QuarantineTest(testtools.TestCase):
    def test_two_targets_at_most_and_no_harmless_request_quarantined(self):
        support.run_machine(CrashMachine)
        self.assertIn("two", support.failure_of(CrashMachine, enabled=False))

    def test_popular_request_at_two_crashes(self):
        # A request that is always in flight must not be quarantined along with
        # the request that causes the crashes.
        machine = CrashMachine()
        machine.start(0, "p")
        machine.start(1, "p")
        machine.crash(0, "e1")
        self.assertFalse(any(strike.alone for strike in machine.published))
        # "p" became suspect in flight; two suspects must not run together.
        machine.start(1, "e1")
        self.assertEqual("busy", machine.decision)
        machine.succeed(1, "p")
        machine.start(1, "e1")
        self.assertEqual("allow-alone", machine.decision)
        machine.start(1, "p")
        machine.crash(1, "e1")
        self.assertEqual({"e1"}, machine.quarantined())
        self.assertEqual("refuse", machine.quarantines[2].admit("e1", 0).value)

    def test_only_suspect_at_a_crash_of_another_cause(self):
        # A success at a daemon exempts the request from the next crash there.
        # A later success at any daemon clears the request.
        for warm in (True, False):
            machine = type("Fleet", (CrashMachine,), {"warm": warm})()
            machine.start(2, "p")
            for index, quarantined in ((0, False), (1, not warm), (1, True)):
                machine.start(index, "p")
                machine.take_down(index)
                self.assertEqual(quarantined, bool(machine.quarantined()))
            machine.succeed(2, "p")
            self.assertTrue(
                machine.quarantines[0].record_clear(machine.published[-1])
            )
            self.assertEqual(
                "allow", machine.quarantines[0].admit("p", 0).value
            )

    def test_order_and_duplicates_of_strikes(self):
        first = messages.Strike("e1", "t-1.0.1", False)
        second = messages.Strike("e1", "t-2.0.1", True)
        for one, two in ((first, second), (second, first)):
            tracker = make_quarantine()
            results = [
                (
                    tracker.record_strike(strike, 0),
                    tracker.is_quarantined("e1", 0),
                )
                for strike in (one, one, two)
            ]
            self.assertEqual(
                [(True, False), (False, False), (True, True)], results
            )
            self.assertEqual([one, two], tracker.active_strikes(1, 9))
            # Strikes from before a success are ignored.
            tracker.record_clear(messages.Clear("e1"))
            self.assertFalse(tracker.record_strike(first, 0))
            self.assertEqual([], tracker.active_strikes(1, 9))
            self.assertEqual("allow", tracker.admit("e1", 0).value)

    def test_expiry_and_bound(self):
        tracker = make_quarantine(hold_ms=100, suspect_ms=50, cases_max=2)
        for crash_id, now_ms in (("1", 0), ("2", 49)):
            tracker.record_strike(messages.Strike("e1", crash_id, True), now_ms)
        results = [tracker.admit("e1", at).value for at in (148, 149, 198, 199)]
        self.assertEqual(
            ["refuse", "allow-alone", "allow-alone", "allow"], results
        )
        for name in "abc":
            tracker.record_strike(messages.Strike(name, name, False), 150)
        self.assertEqual(2, len(tracker))
        tracker.sweep(300)
        self.assertEqual(0, len(tracker))
