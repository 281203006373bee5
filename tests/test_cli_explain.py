"""Tests of mimosahaven.cli_explain."""

import json
import os
import tempfile

import testtools
from testtools import matchers

from mimosahaven import balancing
from mimosahaven import cli_explain
from mimosahaven import decisions
from tests import fakedaemons

ACTION = "a.0123456789abcdef.5.7"
Component = decisions.Component


def make_decision(at_ms, component, call_number, choice, reason, **fields):
    return decisions.Decision(
        at_ms=at_ms,
        part=component,
        call_id=f"{ACTION}/{call_number}",
        choice=choice,
        reason=reason,
        **fields,
    )


class ExplainTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        weighed = (
            balancing.ScoredTarget("b", 1.0),
            balancing.ScoredTarget("c", 2.0),
        )
        other = fakedaemons.FakeDaemon(
            self,
            [
                make_decision(
                    2_000, Component.GUARD, "1", "refused", "full", code=2006
                )
            ],
        )
        other.status = fakedaemons.make_status("b")
        self.first = fakedaemons.FakeDaemon(
            self,
            [
                make_decision(
                    3_000, Component.ROUTE, "1", "to c", "retry", attempt=1
                ),
                make_decision(
                    1_000,
                    Component.ROUTE,
                    "1",
                    "to b",
                    "own domain",
                    weighed=weighed,
                ),
            ],
        )
        self.first.status = fakedaemons.make_status(
            "a", targets=[fakedaemons.make_target_status("b", port=other.port)]
        )

    def run_explain(self, *arguments):
        return fakedaemons.run_main(
            cli_explain.main, *arguments, "--daemon", self.first.address
        )

    def test_decisions_are_printed_by_time(self):
        code, out, err = self.run_explain(ACTION)
        self.assertThat((code, err), matchers.Equals((0, "")))
        self.assertThat(
            out.splitlines(),
            matchers.Equals(
                [
                    "00:00:01.000 a (route), call 1: to b. Reason: own domain. "
                    "Weighed: b 1.0, c 2.0.",
                    "00:00:02.000 b (guard), call 1: refused. Reason: full. "
                    "Code 2006 QUEUE_FULL (not-run): The queue of the target "
                    "is full.",
                    "00:00:03.000 a (route), call 1, attempt 2: to c. "
                    "Reason: retry.",
                ]
            ),
        )

    def test_json(self):
        _, out, _ = self.run_explain(ACTION, "--json")
        self.assertThat(
            [item["target"] for item in json.loads(out)],
            matchers.Equals(["a", "b", "a"]),
        )

    def test_unknown_action(self):
        code, _, err = self.run_explain(f"{ACTION}99")
        self.assertThat(code, matchers.Equals(1))
        self.assertThat(err.splitlines(), matchers.HasLength(1))

    def test_malformed_id(self):
        code, _, err = self.run_explain("order-17")
        self.assertThat(code, matchers.Equals(2))
        self.assertThat(err, matchers.Contains("Mimosahaven-Action"))

    def test_code_of_a_newer_daemon(self):
        daemon_decision = cli_explain.DaemonDecision(
            "a",
            make_decision(0, Component.ENTRY, "1", "refused", "new", code=2999),
        )
        self.assertThat(
            cli_explain.format_decision(daemon_decision),
            matchers.Contains("Code 2999, which"),
        )


class ExplainLogsTest(testtools.TestCase):
    def run_explain(self, request_id):
        path = tempfile.mkstemp()[1]
        self.addCleanup(os.remove, path)
        with open(path, "w") as log:
            log.write('{"at_ms":5,"vm":"v","event":"shed","id":"r1"}\n')
        return fakedaemons.run_main(cli_explain.main, request_id, "--log", path)

    def test_a_request_is_found_in_a_log(self):
        result = self.run_explain("r1")
        self.assertThat(result[0], matchers.Equals(0))
        self.assertThat(result[1], matchers.Contains("v: shed"))

    def test_an_unknown_request_has_exit_code_1(self):
        self.assertThat(self.run_explain("r9")[0], matchers.Equals(1))
