"""Tests of mimosahaven.routing."""

import collections
import random

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from testtools import matchers

from mimosahaven import codes
from mimosahaven import fleet
from mimosahaven import routing
from tests import samples

Code = codes.Code


def make_members(*domains: str) -> list[fleet.Member]:
    return [
        fleet.Member(f"t{i}", "presse", domain, "dk", "127.0.0.1", 1, 2)
        for i, domain in enumerate(domains)
    ]


def make_selector(**overrides) -> routing.TargetSelector:
    return routing.TargetSelector(
        samples.make_settings(**overrides), random.Random(7)
    )


def count_selected(
    target_selector, targets, count=2_000, priority=0, now_ms=10_000.0
):
    """Returns how often each target is selected."""
    return collections.Counter(
        target_selector.select(
            "presse", targets, priority, (), now_ms
        ).target.target
        for _ in range(count)
    )


class SelectTest(testtools.TestCase):
    def test_prefers_own_failure_domain(self):
        counts = count_selected(
            make_selector(), make_members("z1", "z2", "z1", "z2")
        )
        self.assertThat(set(counts), matchers.Equals({"t0", "t2"}))
        # A local_min above the number of local targets disables the preference.
        counts = count_selected(
            make_selector(routing={"local_min": 9}),
            make_members("z1", "z2", "z1", "z2"),
        )
        self.assertThat(counts, matchers.HasLength(4))

    def test_few_local_targets_spill(self):
        # One local target must not receive the load of its whole domain.
        selection = make_selector().select(
            "presse", make_members("z1", "z2"), 0, (), 1.0
        )
        self.assertThat(selection.reason, matchers.Is(routing.Reason.FEW_LOCAL))
        self.assertThat(selection.pool_size, matchers.Equals(2))

    def test_shedding_target_is_skipped_until_the_report_ages(self):
        # A call must not be sent to a target that is known to refuse it, but a
        # threshold that is not renewed must not exclude the target for good.
        selector, targets = make_selector(), make_members("z1", "z1", "z2")
        selector.select("presse", targets, 0, (), 0.0)
        for target in ("t0", "t1"):
            selector.start_attempt(target, 0.0)
            selector.finish_attempt(
                target, Code.SHED_AT_GUARD, 1.0, 1.0, 100, 10_000
            )
        self.assertThat(
            set(count_selected(selector, targets, priority=99)),
            matchers.Equals({"t2"}),
        )
        selection = selector.select("presse", targets, 99, (), 10_000.0)
        self.assertThat(
            selection.reason, matchers.Is(routing.Reason.LOCAL_SHEDS)
        )
        self.assertThat(
            set(count_selected(selector, targets, priority=100)),
            matchers.Equals({"t0", "t1"}),
        )
        self.assertThat(
            set(
                count_selected(selector, targets, priority=50, now_ms=10_600.0)
            ),
            matchers.Equals({"t0", "t1"}),
        )

    def test_all_targets_shed(self):
        selector, targets = make_selector(), make_members("z1", "z2")
        selector.select("presse", targets, 0, (), 0.0)
        for target, threshold in (("t0", 90), ("t1", 80)):
            selector.finish_attempt(
                target, Code.SHED_AT_GUARD, 1.0, 1.0, threshold, 9.0
            )
        selection = selector.select("presse", targets, 10, (), 9.0)
        self.assertTrue(selection.all_shed)
        self.assertThat(selection.target.target, matchers.Equals("t1"))

    def test_results_of_the_sender_report_no_load(self):
        # A timeout does not show that the target has stopped shedding.
        selector, targets = make_selector(), make_members("z1", "z1")
        selector.select("presse", targets, 0, (), 0.0)
        selector.finish_attempt("t0", Code.SHED_AT_GUARD, 1.0, 1.0, 90, 9.0)
        selector.finish_attempt("t0", Code.TIMEOUT, 50.0, 0.0, 0, 10.0)
        self.assertThat(
            set(count_selected(selector, targets, 50, 10, 10.0)),
            matchers.Equals({"t1"}),
        )

    def test_tried_targets_are_avoided(self):
        selector, targets = make_selector(), make_members("z1", "z1", "z2")
        tried = set()
        for _ in targets:
            selection = selector.select("presse", targets, 0, tried, 0.0)
            tried.add(selection.target.target)
        self.assertThat(tried, matchers.HasLength(3))
        selection = selector.select("presse", targets, 0, tried, 0.0)
        self.assertThat(selection.target, matchers.Is(None))
        self.assertThat(selection.reason, matchers.Is(routing.Reason.ALL_TRIED))
        selection = selector.select("presse", [], 0, (), 0.0)
        self.assertThat(
            selection.reason, matchers.Is(routing.Reason.NO_CANDIDATES)
        )

    def test_target_is_avoided_until_its_lost_link_is_up(self):
        for mechanisms in ({}, {"ejection": False}):
            selector = make_selector(mechanisms=mechanisms)
            targets = make_members("z1", "z1", "z1")
            selector.select("presse", targets, 0, (), 0.0)
            selector.on_link_lost("t0", 10_000.0)
            selector.on_link_lost("t1", 10_000.0)
            chosen = set(count_selected(selector, targets, now_ms=10_001.0))
            expected = {"t0", "t1", "t2"} if mechanisms else {"t2"}
            self.assertThat(chosen, matchers.Equals(expected))
            selector.on_link_lost("t2", 10_000.0)
            selection = selector.select("presse", targets, 0, (), 10_001.0)
            self.assertIsNot(selection.target, None)
            selector.on_link_up("t0", 10_002.0)
            chosen = set(count_selected(selector, targets, now_ms=10_003.0))
            expected = {"t0", "t1", "t2"} if mechanisms else {"t0"}
            self.assertThat(chosen, matchers.Equals(expected))

    def test_slow_start_on_return(self):
        # A cold target must not receive its full share immediately.
        shares = []
        for slow_start_ms in (5_000, 0.001):
            selector = make_selector(routing={"slow_start_ms": slow_start_ms})
            targets = make_members("z1", "z1", "z1")
            selector.select("presse", targets, 0, (), 0.0)
            for member in targets:
                selector.finish_attempt(
                    member.target, Code.OK, 5.0, 0.0, 0, 20_000.0
                )
            selector.start_attempt("t1", 20_000.0)
            selector.start_attempt("t2", 20_000.0)
            selector.on_link_lost("t0", 20_000.0)
            selector.on_link_up("t0", 20_001.0)
            shares.append(
                count_selected(selector, targets, now_ms=20_100.0)["t0"]
            )
        self.assertThat(shares[0], matchers.Equals(0))
        self.assertThat(shares[1], matchers.GreaterThan(600))

    def test_busy_and_slow_targets_get_less(self):
        selector, targets = make_selector(), make_members("z1", "z1", "z1")
        selector.select("presse", targets, 0, (), 0.0)
        for target, latency_ms in (("t0", 5), ("t1", 50), ("t2", 5)):
            selector.finish_attempt(
                target, Code.OK, latency_ms, 0.0, 0, 10_000.0
            )
        selector.start_attempt("t2", 10_000.0)
        counts = count_selected(selector, targets)
        self.assertThat(counts["t0"], matchers.GreaterThan(counts["t2"]))
        self.assertThat(counts["t1"], matchers.Equals(0))
        # An old latency decays, so that a recovered target is tried again.
        selector.finish_attempt("t0", Code.OK, 5, 0.0, 0, 40_000.0)
        selector.finish_attempt("t2", Code.OK, 5, 0.0, 0, 40_000.0)
        counts = count_selected(selector, targets, now_ms=40_000.0)
        self.assertThat(counts["t1"], matchers.GreaterThan(0))

    def test_fast_refusals_do_not_attract_calls(self):
        selector, targets = make_selector(), make_members("z1", "z1")
        selector.select("presse", targets, 0, (), 0.0)
        for target, code, latency_ms in (
            ("t0", Code.OK, 20.0),
            ("t1", Code.OK, 10.0),
            *[("t0", Code.QUEUE_FULL, 0.1)] * 9,
            *[("t0", Code.TARGET_ERROR, 0.1)] * 4,
        ):
            selector.finish_attempt(target, code, latency_ms, 0.0, 0, 10_000.0)
        self.assertThat(
            set(count_selected(selector, targets)), matchers.Equals({"t1"})
        )

    @hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 4),
                st.sampled_from(list(Code)),
                st.integers(0, 9),
                st.floats(0, 2_000),
            ),
            max_size=60,
        ),
        st.sets(st.integers(0, 4)),
    )
    def test_untried_target_is_always_found(self, events, tried):
        # A service with live targets stays reachable after any failures.
        selector, targets = (
            make_selector(),
            make_members("z1", "z1", "z2", "z2", "z3"),
        )
        selector.select("presse", targets, 0, (), 0.0)
        now_ms = 0.0
        for index, code, threshold, step_ms in events:
            now_ms += step_ms
            selector.start_attempt(f"t{index}", now_ms)
            selector.finish_attempt(
                f"t{index}", code, 1.0, 0.5, threshold, now_ms
            )
            if code is Code.LINK_LOST:
                selector.on_link_lost(f"t{index}", now_ms)
        names = {f"t{index}" for index in tried}
        selection = selector.select("presse", targets, 5, names, now_ms)
        self.assertThat(
            selection.target is None, matchers.Is(len(names) == len(targets))
        )
        if selection.target:
            self.assertNotIn(selection.target.target, names)

    def test_round_robin(self):
        selector = make_selector(routing={"algorithm": "round_robin"})
        counts = count_selected(
            selector, make_members("z1", "z1", "z1"), count=9
        )
        self.assertThat(set(counts.values()), matchers.Equals({3}))

    def test_leaving_target_is_avoided_before_the_list_changes(self):
        targets = make_members("z1", "z1", "z1")
        for enabled in (True, False):
            selector = make_selector(mechanisms={"ejection": enabled})
            selector.select("presse", targets, 0, (), 0.0)
            selector.finish_attempt("t1", Code.LEAVING, 1.0, 0.0, 0, 10_000.0)
            self.assertThat(
                "t1" in count_selected(selector, targets),
                matchers.Is(not enabled),
            )


class SubsetTest(testtools.TestCase):
    def test_subset_is_bounded_and_keeps_places_for_other_domains(self):
        selector = make_selector()
        targets = make_members(*["z1"] * 30, *["z2"] * 30)
        used = set(count_selected(selector, targets))
        self.assertThat(used, matchers.HasLength(6))
        for target in used:
            selector.on_link_lost(target, 10_000.0)
        # Lost targets are replaced by the next ones in the ranking.
        replaced = set(count_selected(selector, targets))
        self.assertThat(replaced & used, matchers.Equals(set()))
        unbounded = count_selected(
            make_selector(routing={"subset_size": 60}), targets
        )
        self.assertThat(unbounded, matchers.HasLength(30))

    @hypothesis_settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.integers(0, 39), st.text("abc", min_size=1, max_size=5))
    def test_removal_changes_one_place(self, removed, own_name):
        # A restart of one target must not make the whole fleet reconnect to
        # other targets.
        target = {"name": own_name, "failure_domain": "z9"}
        targets = make_members(*["z2"] * 40)
        selector = make_selector(target=target)
        before = set(count_selected(selector, targets, 300))
        del targets[removed]
        after = set(count_selected(selector, targets, 300))
        self.assertThat(before, matchers.HasLength(8))
        self.assertThat(
            len(after - before), matchers.Equals(int(f"t{removed}" in before))
        )

    def test_returning_target_starts_with_new_state(self):
        selector, targets = make_selector(), make_members("z1", "z1", "z1")
        selector.select("presse", targets, 0, (), 0.0)
        selector.start_attempt("t0", 0.0)
        selector.select("presse", targets[1:], 0, (), 1.0)
        self.assertThat(selector.states(), matchers.HasLength(2))
        selector.select("presse", targets, 0, (), 2.0)
        selector.finish_attempt("t0", Code.OK, 1.0, 0.0, 0, 3.0)
        outstanding = [s.outstanding for s in selector.states()]
        self.assertThat(outstanding, matchers.Equals([0, 0, 0]))
