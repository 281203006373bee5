"""Tests of mimosahaven.quarantine."""

import testtools
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import matchers

from mimosahaven import messages
from mimosahaven import quarantine
from mimosahaven import settings as settings_lib
from tests import identity_support as support

Admittance = quarantine.Admittance
EVIL, INNOCENT = ("e1", "e2"), ("p", "q")


def make(target="t-0", enabled=True, **fields):
    settings = support.settings(
        quarantine=settings_lib.QuarantineSettings(**fields),
        mechanisms=settings_lib.MechanismSettings(quarantine=enabled),
    )
    return quarantine.Quarantine(settings, target, "0" * 16)


class Fleet:
    """Guards of one service; strikes reach all of them before a re-send."""

    def __init__(self, enabled=True):
        self.guards = [make(f"t-{i}", enabled) for i in range(3)]
        self.flights = [[], [], []]

    def start(self, index, fingerprint, now_ms=0):
        verdict = self.guards[index].admit(fingerprint, now_ms)
        if verdict in (Admittance.ALLOW, Admittance.ALLOW_ALONE):
            self.guards[index].start(fingerprint, now_ms)
            self.flights[index].append(fingerprint)
        return verdict

    def succeed(self, index, fingerprint):
        self.flights[index].remove(fingerprint)
        return self.guards[index].succeed(fingerprint, 0)

    def crash(self, index):
        self.flights[index] = []
        strikes = self.guards[index].crash(0)
        for guard in self.guards:
            for strike in strikes:
                guard.learn(strike, 0)
        return strikes

    def held(self):
        names = (*EVIL, *INNOCENT)
        return {n for g in self.guards for n in names if g.is_held(n, 0)}


class QuarantineTest(testtools.TestCase):
    def test_popular_request_at_two_crashes(self):
        # A request that is always in flight must not be held with the cause.
        fleet = Fleet()
        for index in (0, 1):
            fleet.start(index, "p")
        fleet.start(0, "e1")
        fleet.crash(0)
        # "p" became suspect in flight: two suspects must not run together.
        self.assertIs(Admittance.BUSY, fleet.start(1, "e1"))
        fleet.succeed(1, "p")
        self.assertIs(Admittance.ALLOW_ALONE, fleet.start(1, "e1"))
        fleet.start(1, "p")
        self.assertThat(len(fleet.crash(1)), matchers.Equals(2))
        self.assertThat(fleet.held(), matchers.Equals({"e1"}))
        self.assertIs(Admittance.REFUSE, fleet.start(2, "e1"))

    def test_alone_at_a_crash_of_another_cause(self):
        # One success here, or a later one anywhere, is proof of innocence.
        for proof in (True, False):
            fleet = Fleet()
            if proof:
                fleet.start(1, "p")
                fleet.succeed(1, "p")
            fleet.start(2, "p")
            fleet.start(0, "p")
            fleet.crash(0)
            self.assertIs(Admittance.ALLOW_ALONE, fleet.start(1, "p"))
            fleet.crash(1)
            self.assertThat("p" in fleet.held(), matchers.Equals(not proof))
            clear = fleet.succeed(2, "p")
            self.assertTrue(fleet.guards[0].learn_clear(clear))
            self.assertIs(Admittance.ALLOW, fleet.start(0, "p"))

    def test_order_and_copies_of_strikes(self):
        first = messages.Strike("e1", "t-1.0.1", False)
        second = messages.Strike("e1", "t-2.0.1", True)
        for strikes in ([first, second], [second, first]):
            guard = make()
            got = [guard.learn(s, 0) for s in (strikes[0], *strikes)]
            self.assertThat(got, matchers.Equals([True, False, True]))
            self.assertTrue(guard.is_held("e1", 0))
            # Strikes from before a success do not count again.
            guard.learn_clear(messages.Clear("e1"))
            self.assertFalse(guard.learn(first, 0))
            self.assertIs(Admittance.ALLOW, guard.admit("e1", 0))

    def test_expiry_and_bound(self):
        guard = make(hold_ms=100, suspect_ms=50, cases_max=2)
        for number, now_ms in ((1, 0), (2, 49)):
            guard.learn(messages.Strike("e1", str(number), True), now_ms)
        verdicts = [guard.admit("e1", t) for t in (148, 149, 198, 199)]
        self.assertThat(
            [v.name for v in verdicts],
            matchers.Equals(["REFUSE", "ALLOW_ALONE", "ALLOW_ALONE", "ALLOW"]),
        )
        for name in "abc":
            guard.learn(messages.Strike(name, name, False), 150)
        self.assertThat(len(guard), matchers.Equals(2))
        guard.sweep(300)
        self.assertThat(len(guard), matchers.Equals(0))


class CrashMachine(stateful.RuleBasedStateMachine):
    """Two contents crash every target; two popular ones never do."""

    enabled = True

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(self.enabled)
        self.crashes = dict.fromkeys(EVIL, 0)
        self.news = []
        for index in range(3):
            for name in INNOCENT:
                self.fleet.start(index, name)
                self.fleet.succeed(index, name)

    @stateful.rule(
        index=st.integers(0, 2), name=st.sampled_from(EVIL + INNOCENT)
    )
    def start(self, index, name):
        # The caller sends a content again after it has got an answer.
        if name in INNOCENT or not any(name in f for f in self.fleet.flights):
            self.fleet.start(index, name)

    @stateful.rule(index=st.integers(0, 2), name=st.sampled_from(EVIL))
    def crash(self, index, name):
        self.start(index, name)
        if name in self.fleet.flights[index]:
            self.crashes[name] += 1
            self.news += self.fleet.crash(index)

    @stateful.rule(index=st.integers(0, 2), name=st.sampled_from(INNOCENT))
    def succeed(self, index, name):
        if name in self.fleet.flights[index]:
            clear = self.fleet.succeed(index, name)
            self.news += [clear] if clear else []

    @stateful.precondition(lambda self: self.news)
    @stateful.rule(index=st.integers(0, 2), data=st.data())
    def gossip(self, index, data):
        news = data.draw(st.sampled_from(self.news))
        guard = self.fleet.guards[index]
        if isinstance(news, messages.Clear):
            guard.learn_clear(news)
        else:
            guard.learn(news, 0)

    @stateful.invariant()
    def bounds(self):
        assert max(self.crashes.values()) <= 2, "more than two targets down"
        assert not self.fleet.held() & set(INNOCENT), "innocent one held"


class UnguardedMachine(CrashMachine):
    enabled = False


class MachineTest(testtools.TestCase):
    def test_two_targets_at_most_and_no_innocent_held(self):
        support.run_machine(CrashMachine, steps=50)

    def test_check_fails_without_quarantine(self):
        error = support.failure_of(UnguardedMachine)
        self.assertThat(error, matchers.StartsWith("more than two"))
