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


def members(*domains: str) -> list[fleet.Member]:
    return [
        fleet.Member(f"t{i}", "presse", domain, "dk", "127.0.0.1", 1, 2)
        for i, domain in enumerate(domains)
    ]


def selector(**parts) -> routing.TargetSelector:
    return routing.TargetSelector(samples.settings(**parts), random.Random(7))


def spread(chosen_by, listing, count=2_000, priority=0, now_ms=10_000.0):
    """Returns how often each target is chosen."""
    return collections.Counter(
        chosen_by.select("presse", listing, priority, (), now_ms).target.target
        for _ in range(count)
    )


class ChooseTest(testtools.TestCase):
    def test_own_domain_first(self):
        counts = spread(selector(), members("z1", "z2", "z1", "z2"))
        self.assertThat(set(counts), matchers.Equals({"t0", "t2"}))
        # With the preference switched off, the calls cross domains.
        counts = spread(
            selector(routing={"local_min": 9}), members("z1", "z2", "z1", "z2")
        )
        self.assertThat(counts, matchers.HasLength(4))

    def test_few_local_targets_spill(self):
        # One local target must not carry the load of its whole domain.
        choice = selector().select("presse", members("z1", "z2"), 0, (), 1.0)
        self.assertThat(choice.reason, matchers.Is(routing.Reason.FEW_LOCAL))
        self.assertThat(choice.pool_size, matchers.Equals(2))

    def test_shedding_target_is_skipped_until_the_report_ages(self):
        # A call must not go to a target that is known to refuse it, and a
        # threshold that nobody renews must not shut the target out for good.
        router, listing = selector(), members("z1", "z1", "z2")
        router.select("presse", listing, 0, (), 0.0)
        for target in ("t0", "t1"):
            router.start_attempt(target, 0.0)
            router.finish_attempt(
                target, Code.SHED_AT_GUARD, 1.0, 1.0, 100, 10_000
            )
        self.assertThat(
            set(spread(router, listing, priority=99)), matchers.Equals({"t2"})
        )
        choice = router.select("presse", listing, 99, (), 10_000.0)
        self.assertThat(choice.reason, matchers.Is(routing.Reason.LOCAL_SHEDS))
        self.assertThat(
            set(spread(router, listing, priority=100)),
            matchers.Equals({"t0", "t1"}),
        )
        self.assertThat(
            set(spread(router, listing, priority=50, now_ms=10_600.0)),
            matchers.Equals({"t0", "t1"}),
        )

    def test_all_targets_shed(self):
        router, listing = selector(), members("z1", "z2")
        router.select("presse", listing, 0, (), 0.0)
        for target, threshold in (("t0", 90), ("t1", 80)):
            router.finish_attempt(
                target, Code.SHED_AT_GUARD, 1.0, 1.0, threshold, 9.0
            )
        choice = router.select("presse", listing, 10, (), 9.0)
        self.assertTrue(choice.all_shed)
        self.assertThat(choice.target.target, matchers.Equals("t1"))

    def test_results_of_the_sender_report_no_load(self):
        # A timeout is no report that the target has stopped shedding.
        router, listing = selector(), members("z1", "z1")
        router.select("presse", listing, 0, (), 0.0)
        router.finish_attempt("t0", Code.SHED_AT_GUARD, 1.0, 1.0, 90, 9.0)
        router.finish_attempt("t0", Code.TIMEOUT, 50.0, 0.0, 0, 10.0)
        self.assertThat(
            set(spread(router, listing, 50, 10, 10.0)), matchers.Equals({"t1"})
        )

    def test_tried_targets_are_avoided(self):
        router, listing = selector(), members("z1", "z1", "z2")
        tried = set()
        for _ in listing:
            choice = router.select("presse", listing, 0, tried, 0.0)
            tried.add(choice.target.target)
        self.assertThat(tried, matchers.HasLength(3))
        choice = router.select("presse", listing, 0, tried, 0.0)
        self.assertThat(choice.target, matchers.Is(None))
        self.assertThat(choice.reason, matchers.Is(routing.Reason.ALL_TRIED))
        choice = router.select("presse", [], 0, (), 0.0)
        self.assertThat(
            choice.reason, matchers.Is(routing.Reason.NO_CANDIDATES)
        )

    def test_lost_link_takes_a_target_out_until_it_is_up(self):
        for mechanisms in ({}, {"ejection": False}):
            router = selector(mechanisms=mechanisms)
            listing = members("z1", "z1", "z1")
            router.select("presse", listing, 0, (), 0.0)
            router.on_link_lost("t0", 10_000.0)
            router.on_link_lost("t1", 10_000.0)
            chosen = set(spread(router, listing, now_ms=10_001.0))
            expected = {"t0", "t1", "t2"} if mechanisms else {"t2"}
            self.assertThat(chosen, matchers.Equals(expected))
            router.on_link_lost("t2", 10_000.0)
            choice = router.select("presse", listing, 0, (), 10_001.0)
            self.assertIsNot(choice.target, None)
            router.on_link_up("t0", 10_002.0)
            chosen = set(spread(router, listing, now_ms=10_003.0))
            expected = {"t0", "t1", "t2"} if mechanisms else {"t0"}
            self.assertThat(chosen, matchers.Equals(expected))

    def test_slow_start_on_return(self):
        # A cold target must not get a full share at once.
        shares = []
        for slow_start_ms in (5_000, 0.001):
            router = selector(routing={"slow_start_ms": slow_start_ms})
            listing = members("z1", "z1", "z1")
            router.select("presse", listing, 0, (), 0.0)
            for member in listing:
                router.finish_attempt(
                    member.target, Code.OK, 5.0, 0.0, 0, 20_000.0
                )
            router.start_attempt("t1", 20_000.0)
            router.start_attempt("t2", 20_000.0)
            router.on_link_lost("t0", 20_000.0)
            router.on_link_up("t0", 20_001.0)
            shares.append(spread(router, listing, now_ms=20_100.0)["t0"])
        self.assertThat(shares[0], matchers.Equals(0))
        self.assertThat(shares[1], matchers.GreaterThan(600))

    def test_busy_and_slow_targets_get_less(self):
        router, listing = selector(), members("z1", "z1", "z1")
        router.select("presse", listing, 0, (), 0.0)
        for target, latency_ms in (("t0", 5), ("t1", 50), ("t2", 5)):
            router.finish_attempt(target, Code.OK, latency_ms, 0.0, 0, 10_000.0)
        router.start_attempt("t2", 10_000.0)
        counts = spread(router, listing)
        self.assertThat(counts["t0"], matchers.GreaterThan(counts["t2"]))
        self.assertThat(counts["t1"], matchers.Equals(0))
        # An old latency fades, so that a recovered target is measured again.
        router.finish_attempt("t0", Code.OK, 5, 0.0, 0, 40_000.0)
        router.finish_attempt("t2", Code.OK, 5, 0.0, 0, 40_000.0)
        counts = spread(router, listing, now_ms=40_000.0)
        self.assertThat(counts["t1"], matchers.GreaterThan(0))

    def test_quick_refusals_do_not_attract_calls(self):
        router, listing = selector(), members("z1", "z1")
        router.select("presse", listing, 0, (), 0.0)
        for target, code, latency_ms in (
            ("t0", Code.OK, 20.0),
            ("t1", Code.OK, 10.0),
            *[("t0", Code.QUEUE_FULL, 0.1)] * 9,
            *[("t0", Code.TARGET_ERROR, 0.1)] * 4,
        ):
            router.finish_attempt(target, code, latency_ms, 0.0, 0, 10_000.0)
        self.assertThat(set(spread(router, listing)), matchers.Equals({"t1"}))

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
        # Whatever failed before, a service with live targets is reachable.
        router, listing = selector(), members("z1", "z1", "z2", "z2", "z3")
        router.select("presse", listing, 0, (), 0.0)
        now_ms = 0.0
        for index, code, threshold, step_ms in events:
            now_ms += step_ms
            router.start_attempt(f"t{index}", now_ms)
            router.finish_attempt(
                f"t{index}", code, 1.0, 0.5, threshold, now_ms
            )
            if code is Code.LINK_LOST:
                router.on_link_lost(f"t{index}", now_ms)
        names = {f"t{index}" for index in tried}
        choice = router.select("presse", listing, 5, names, now_ms)
        self.assertThat(
            choice.target is None, matchers.Is(len(names) == len(listing))
        )
        if choice.target:
            self.assertNotIn(choice.target.target, names)

    def test_round_robin(self):
        router = selector(routing={"algorithm": "round_robin"})
        counts = spread(router, members("z1", "z1", "z1"), count=9)
        self.assertThat(set(counts.values()), matchers.Equals({3}))

    def test_leaving_refusal_is_heeded_before_the_list_changes(self):
        listing = members("z1", "z1", "z1")
        for enabled in (True, False):
            router = selector(mechanisms={"ejection": enabled})
            router.select("presse", listing, 0, (), 0.0)
            router.finish_attempt("t1", Code.LEAVING, 1.0, 0.0, 0, 10_000.0)
            self.assertThat(
                "t1" in spread(router, listing), matchers.Is(not enabled)
            )


class SubsetTest(testtools.TestCase):
    def test_subset_is_bounded_and_keeps_places_for_other_domains(self):
        router = selector()
        listing = members(*["z1"] * 30, *["z2"] * 30)
        used = set(spread(router, listing))
        self.assertThat(used, matchers.HasLength(6))
        for target in used:
            router.on_link_lost(target, 10_000.0)
        # Lost targets are replaced by the next ones in rank.
        replaced = set(spread(router, listing))
        self.assertThat(replaced & used, matchers.Equals(set()))
        unbounded = spread(selector(routing={"subset_size": 60}), listing)
        self.assertThat(unbounded, matchers.HasLength(30))

    @hypothesis_settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.integers(0, 39), st.text("abc", min_size=1, max_size=5))
    def test_removal_changes_one_place(self, removed, own_name):
        # A restart of one target must not reconnect the whole fleet.
        target = {"name": own_name, "failure_domain": "z9"}
        listing = members(*["z2"] * 40)
        router = selector(target=target)
        before = set(spread(router, listing, 300))
        del listing[removed]
        after = set(spread(router, listing, 300))
        self.assertThat(before, matchers.HasLength(8))
        self.assertThat(
            len(after - before), matchers.Equals(int(f"t{removed}" in before))
        )

    def test_returning_target_is_new(self):
        router, listing = selector(), members("z1", "z1", "z1")
        router.select("presse", listing, 0, (), 0.0)
        router.start_attempt("t0", 0.0)
        router.select("presse", listing[1:], 0, (), 1.0)
        self.assertThat(router.states(), matchers.HasLength(2))
        router.select("presse", listing, 0, (), 2.0)
        router.finish_attempt("t0", Code.OK, 1.0, 0.0, 0, 3.0)
        outstanding = [s.outstanding for s in router.states()]
        self.assertThat(outstanding, matchers.Equals([0, 0, 0]))
