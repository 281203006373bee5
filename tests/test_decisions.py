"""Tests of mimosahaven.decisions."""

import msgspec
import testtools
from testtools import matchers

from mimosahaven import balancing
from mimosahaven import decisions
from mimosahaven import settings as settings_lib

Component = decisions.Component
ACTION = "t0.0123456789abcdef.5.7"


class DecisionLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.texts = []

    def make_log(self, **settings) -> decisions.DecisionLog:
        return decisions.DecisionLog(
            settings_lib.LogSettings(**settings),
            self.texts.append,
            lambda: 1_780_545_853_123.0,
        )

    def test_text_line(self):
        weighed = (
            balancing.ScoredTarget("a", 1.25),
            balancing.ScoredTarget("b", 30),
        )
        log = self.make_log()
        log.record(
            Component.ROUTE,
            f"{ACTION}/1",
            "to a",
            "own failure domain",
            0,
            weighed,
        )
        log.record(Component.GUARD, f"{ACTION}/1", "refused", "full", 2006)
        self.assertThat(self.texts, matchers.Equals([]))
        log.flush()
        self.assertThat(
            "".join(self.texts),
            matchers.Equals(
                f"04:04:13.123 route: {ACTION}/1#0 to a: own failure domain; "
                "weighed a 1.2, b 30.0\n"
                f"04:04:13.123 guard: {ACTION}/1#0 refused: full; "
                "2006 QUEUE_FULL\n"
            ),
        )

    def test_json_line(self):
        log = self.make_log(format="json")
        log.record(
            Component.TABLE, "", "kept {}", "conflict", 5004, level="ERROR"
        )
        decoded = msgspec.json.decode(
            self.texts[0].encode(), type=decisions.Decision
        )
        self.assertThat(decoded, matchers.Equals(log.find("")[0]))

    def test_level_does_not_affect_retained_decisions(self):
        log = self.make_log(level="WARNING")
        log.record(Component.ROUTE, ACTION, "to a", "own failure domain")
        log.flush()
        self.assertThat(self.texts, matchers.Equals([]))
        self.assertThat(log.find(ACTION), matchers.HasLength(1))

    def test_full_batch_is_written_without_a_tick(self):
        log = self.make_log()
        for _ in range(64):
            log.record(Component.ROUTE, ACTION, "to a", "own failure domain")
        self.assertThat("".join(self.texts).count("\n"), matchers.Equals(64))

    def test_find_includes_nested_calls_but_no_other_action(self):
        log = self.make_log(kept_decisions=5)
        log.record(Component.ENTRY, f"{ACTION}/9", "dropped from record", "")
        for call_id in (
            ACTION,
            f"{ACTION}/1",
            f"{ACTION}/1.2",
            f"{ACTION}0/1",
            f"{ACTION}/12",
        ):
            log.record(Component.ENTRY, call_id, "to a", "")
        found = [d.call_id for d in log.find(ACTION)]
        self.assertThat(
            found,
            matchers.Equals(
                [ACTION, f"{ACTION}/1", f"{ACTION}/1.2", f"{ACTION}/12"]
            ),
        )
        found = [d.call_id for d in log.find(f"{ACTION}/1")]
        self.assertThat(
            found, matchers.Equals([f"{ACTION}/1", f"{ACTION}/1.2"])
        )

    def test_callers_cannot_forge_lines(self):
        log = self.make_log()
        log.record(Component.ENTRY, "", "refused\nroute: forged", "x")
        log.flush()
        self.assertThat("".join(self.texts).splitlines(), matchers.HasLength(1))
