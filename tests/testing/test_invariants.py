"""Tests of mimosahaven.testing.invariants."""

import testtools
from testtools import matchers

from mimosahaven import load
from mimosahaven import loadplan
from mimosahaven.testing import deployments
from mimosahaven.testing import invariants
from mimosahaven.testing import runs as runs_lib

CHAIN = (("ordre", "/order"), ("proof", "/render"), ("presse", "/print"))
ORDER = loadplan.KindLoad(
    caller="shop", kind="order", method="POST", path="/ordre/order", share=1
)


def run(place, start_ms=100.0, outcome="ok", action="a"):
    service, path = place
    return runs_lib.Run(
        "a/1", action, service, "t", path, "1", start_ms, 200.0, outcome
    )


def told(run_state="ran", status=200, start_s=0.0, end_s=0.3, whole=True):
    return load.Send("a", start_s, end_s, status, 0, run_state, whole)


REFUSED = {"run_state": "not-run", "status": 503, "whole": False}


class CheckTest(testtools.TestCase):
    """Each check must find the fault that it is for, and only that."""

    def check(self, sends, runs):
        request = load.Request("1", ORDER, 0.0, sends=sends)
        seen = invariants.Observations(
            deployments.SKOVGAARD, [request], runs, 0.0
        )
        return [v.name for v in invariants.check(seen)]

    def expect(self, names, sends, runs):
        self.assertThat(self.check(sends, runs), matchers.Equals(names))

    def test_a_whole_run_is_clean(self):
        self.expect([], [told()], [run(place) for place in CHAIN])

    def test_second_run(self):
        runs = [run(place) for place in CHAIN] + [run(CHAIN[2], 150.0)]
        self.expect([invariants.AT_MOST_ONCE], [told()], runs)

    def test_not_run_that_ran(self):
        for start_ms in (100.0, 900.0):
            self.expect(
                [invariants.NOT_RUN],
                [told(**REFUSED)],
                [run(CHAIN[0], start_ms)],
            )

    def test_not_run_then_sent_again(self):
        runs = [run(place, 500.0) for place in CHAIN]
        later = told(start_s=0.4, end_s=0.6)
        self.expect([], [told(**REFUSED), later], runs)
        runs[0].start_ms = 50.0
        self.expect([invariants.NOT_RUN], [told(**REFUSED), later], runs)

    def test_foreign_answer(self):
        runs = [run(place) for place in CHAIN]
        self.expect([invariants.CORRECT_RESPONSE], [told(whole=False)], runs)
        runs[0].outcome = "nested: proof: foreign or truncated answer"
        self.expect([invariants.CORRECT_RESPONSE], [told(status=502)], runs)

    def test_success_without_a_run(self):
        runs = [run(place) for place in CHAIN[:2]]
        self.expect([invariants.SUCCESS_RAN], [told()], runs)

    def test_too_many_attempts(self):
        runs = [run(("presse", "/stock")) for _ in range(5)]
        self.expect([invariants.RETRY_BOUND], [told(status=502)], runs)
        self.expect([], [told(status=502)], runs[:4])
