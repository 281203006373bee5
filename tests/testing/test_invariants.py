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


def make_run(endpoint, start_ms=100.0, outcome="ok", action="a"):
    service, path = endpoint
    return runs_lib.Run(
        "a/1", action, service, "t", path, "1", start_ms, 200.0, outcome
    )


def make_attempt(
    run_state="ran", status=200, start_s=0.0, end_s=0.3, complete=True
):
    return load.Attempt("a", start_s, end_s, status, 0, run_state, complete)


NOT_RUN_RESPONSE = {"run_state": "not-run", "status": 503, "complete": False}


class CheckTest(testtools.TestCase):
    """A violation must be reported under its invariant and under no other."""

    def find_violations(self, attempts, runs):
        request = load.Request("1", ORDER, 0.0, attempts=attempts)
        observations = invariants.Observations(
            deployments.SKOVGAARD, [request], runs, 0.0
        )
        return [v.name for v in invariants.check(observations)]

    def assert_violations(self, names, attempts, runs):
        self.assertThat(
            self.find_violations(attempts, runs), matchers.Equals(names)
        )

    def test_complete_chain_has_no_violations(self):
        self.assert_violations(
            [], [make_attempt()], [make_run(endpoint) for endpoint in CHAIN]
        )

    def test_repeated_run_is_a_violation(self):
        runs = [make_run(endpoint) for endpoint in CHAIN] + [
            make_run(CHAIN[2], 150.0)
        ]
        self.assert_violations(
            [invariants.AT_MOST_ONCE], [make_attempt()], runs
        )

    def test_run_despite_not_run_response(self):
        # One run starts before the response at 300 ms, the other after it.
        for start_ms in (100.0, 900.0):
            self.assert_violations(
                [invariants.NOT_RUN],
                [make_attempt(**NOT_RUN_RESPONSE)],
                [make_run(CHAIN[0], start_ms)],
            )

    def test_run_after_retry_is_allowed(self):
        runs = [make_run(endpoint, 500.0) for endpoint in CHAIN]
        retry = make_attempt(start_s=0.4, end_s=0.6)
        self.assert_violations(
            [], [make_attempt(**NOT_RUN_RESPONSE), retry], runs
        )
        runs[0].start_ms = 50.0
        self.assert_violations(
            [invariants.NOT_RUN],
            [make_attempt(**NOT_RUN_RESPONSE), retry],
            runs,
        )

    def test_incomplete_or_foreign_response(self):
        runs = [make_run(endpoint) for endpoint in CHAIN]
        self.assert_violations(
            [invariants.CORRECT_RESPONSE], [make_attempt(complete=False)], runs
        )
        runs[0].outcome = "nested: proof: foreign or truncated answer"
        self.assert_violations(
            [invariants.CORRECT_RESPONSE], [make_attempt(status=502)], runs
        )

    def test_success_without_a_nested_run(self):
        runs = [make_run(endpoint) for endpoint in CHAIN[:2]]
        self.assert_violations([invariants.SUCCESS_RAN], [make_attempt()], runs)

    def test_more_attempts_than_the_retry_budget(self):
        runs = [make_run(("presse", "/stock")) for _ in range(5)]
        self.assert_violations(
            [invariants.RETRY_BOUND], [make_attempt(status=502)], runs
        )
        self.assert_violations([], [make_attempt(status=502)], runs[:4])
