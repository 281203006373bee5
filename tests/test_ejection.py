"""Tests of mimosahaven.ejection."""

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from testtools import matchers

from mimosahaven import codes
from mimosahaven import ejection
from tests import samples

Code = codes.Code
TARGETS = ["t0", "t1", "t2", "t3"]


def ejector(targets=TARGETS, **parts) -> ejection.Ejector:
    made = ejection.Ejector(samples.settings(**parts))
    made.set_targets("presse", targets, 0.0)
    return made


def fail(made, target, count=5, code=Code.TARGET_LOST, now_ms=10.0):
    for _ in range(count):
        made.record_result(target, code, now_ms)


class EjectorTest(testtools.TestCase):
    def test_consecutive_failures_eject(self):
        made = ejector()
        fail(made, "t0", 4)
        made.record_result("t0", Code.OK, 10.0)
        fail(made, "t0", 4)
        self.assertThat(made.ejected("presse", 10.0), matchers.Equals([]))
        fail(made, "t0", 1)
        self.assertThat(made.ejected("presse", 10.0), matchers.Equals(["t0"]))
        # Results of calls sent before the ejection do not lengthen it.
        fail(made, "t0", 20)
        self.assertThat(made.ejected("presse", 1_011.0), matchers.Equals([]))

    def test_switched_off(self):
        made = ejector(mechanisms={"ejection": False})
        fail(made, "t0")
        self.assertThat(made.ejected("presse", 10.0), matchers.Equals([]))

    def test_refusals_are_not_failures(self):
        # To eject loaded targets moves their load to the others.
        made = ejector()
        for code in Code:
            if codes.describe(code).run_state is codes.RunState.NOT_RUN:
                if code is not Code.TARGET_DOWN:
                    fail(made, "t0", 20, code)
        self.assertThat(made.ejected("presse", 10.0), matchers.Equals([]))

    def test_slow_service_below_ejects_nobody(self):
        # All targets in front of a slow service time out together.
        made = ejector()
        for target in TARGETS:
            fail(made, target, 20, Code.TIMEOUT)
        self.assertThat(made.ejected("presse", 10.0), matchers.Equals([]))
        made.record_result("t1", Code.OK, 10.0)
        for _ in range(30):
            made.record_result("t2", Code.OK, 10.0)
        fail(made, "t0", 1, Code.TIMEOUT)
        self.assertThat(made.ejected("presse", 10.0), matchers.Equals(["t0"]))

    def test_period_doubles_and_starts_over(self):
        made = ejector()
        record = made.set_targets("presse", TARGETS, 0.0)["t0"]
        fail(made, "t0")
        periods = []
        for _ in range(7):
            now_ms = record.ejected_until_ms
            fail(made, "t0", 1, now_ms=now_ms)
            periods.append(record.ejected_until_ms - now_ms)
        self.assertThat(
            periods,
            matchers.Equals([2e3, 4e3, 8e3, 16e3, 30e3, 30e3, 30e3]),
        )
        now_ms = record.ejected_until_ms + 30_000
        made.record_result("t0", Code.OK, now_ms)
        fail(made, "t0", now_ms=now_ms)
        self.assertThat(
            record.ejected_until_ms - now_ms, matchers.Equals(1_000)
        )

    @hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.integers(1, 9),
        st.lists(
            st.tuples(
                st.integers(0, 8),
                st.sampled_from([Code.TARGET_DOWN, Code.TIMEOUT, Code.OK]),
                st.floats(0, 900),
            ),
            max_size=80,
        ),
    )
    def test_at_most_half(self, count, events):
        made = ejector([f"t{i}" for i in range(count)])
        now_ms = 0.0
        for index, code, step_ms in events:
            now_ms += step_ms
            fail(made, f"t{index}", 5, code, now_ms)
            ejected = len(made.ejected("presse", now_ms))
            self.assertThat(2 * ejected, matchers.LessThan(count + 1))
