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


def make_ejector(targets=TARGETS, **overrides) -> ejection.Ejector:
    ejector = ejection.Ejector(samples.make_settings(**overrides))
    ejector.set_targets("presse", targets, 0.0)
    return ejector


def fail(ejector, target, count=5, code=Code.TARGET_LOST, now_ms=10.0):
    for _ in range(count):
        ejector.record_result(target, code, now_ms)


class EjectorTest(testtools.TestCase):
    def test_consecutive_failures_eject(self):
        ejector = make_ejector()
        fail(ejector, "t0", 4)
        ejector.record_result("t0", Code.OK, 10.0)
        fail(ejector, "t0", 4)
        self.assertThat(ejector.ejected("presse", 10.0), matchers.Equals([]))
        fail(ejector, "t0", 1)
        self.assertThat(
            ejector.ejected("presse", 10.0), matchers.Equals(["t0"])
        )
        # Results of calls sent before the ejection do not extend it.
        fail(ejector, "t0", 20)
        self.assertThat(ejector.ejected("presse", 1_011.0), matchers.Equals([]))

    def test_disabled_ejector_ejects_nothing(self):
        ejector = make_ejector(mechanisms={"ejection": False})
        fail(ejector, "t0")
        self.assertThat(ejector.ejected("presse", 10.0), matchers.Equals([]))

    def test_refusals_are_not_failures(self):
        # Ejecting overloaded targets would move their load to the others.
        ejector = make_ejector()
        for code in Code:
            if codes.describe(code).run_state is codes.RunState.NOT_RUN:
                if code is not Code.TARGET_DOWN:
                    fail(ejector, "t0", 20, code)
        self.assertThat(ejector.ejected("presse", 10.0), matchers.Equals([]))

    def test_slow_downstream_service_ejects_no_target(self):
        # All targets that call a slow service time out together.
        ejector = make_ejector()
        for target in TARGETS:
            fail(ejector, target, 20, Code.TIMEOUT)
        self.assertThat(ejector.ejected("presse", 10.0), matchers.Equals([]))
        ejector.record_result("t1", Code.OK, 10.0)
        for _ in range(30):
            ejector.record_result("t2", Code.OK, 10.0)
        fail(ejector, "t0", 1, Code.TIMEOUT)
        self.assertThat(
            ejector.ejected("presse", 10.0), matchers.Equals(["t0"])
        )

    def test_ejection_doubles_and_is_reset(self):
        ejector = make_ejector()
        state = ejector.set_targets("presse", TARGETS, 0.0)["t0"]
        fail(ejector, "t0")
        periods = []
        for _ in range(7):
            now_ms = state.ejected_until_ms
            fail(ejector, "t0", 1, now_ms=now_ms)
            periods.append(state.ejected_until_ms - now_ms)
        self.assertThat(
            periods,
            matchers.Equals([2e3, 4e3, 8e3, 16e3, 30e3, 30e3, 30e3]),
        )
        now_ms = state.ejected_until_ms + 30_000
        ejector.record_result("t0", Code.OK, now_ms)
        fail(ejector, "t0", now_ms=now_ms)
        self.assertThat(state.ejected_until_ms - now_ms, matchers.Equals(1_000))

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
    def test_at_most_half_are_ejected(self, count, events):
        ejector = make_ejector([f"t{i}" for i in range(count)])
        now_ms = 0.0
        for index, code, step_ms in events:
            now_ms += step_ms
            fail(ejector, f"t{index}", 5, code, now_ms)
            ejected = len(ejector.ejected("presse", now_ms))
            self.assertThat(2 * ejected, matchers.LessThan(count + 1))
