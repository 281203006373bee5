"""Tests of mimosahaven.shedding."""

import random

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from mimosahaven import shedding
from tests import targetsim

WEIGHT = 65536
# Whether it shows overload, a share, priorities of the admitted calls.
WINDOW = strategies.tuples(
    strategies.booleans(),
    strategies.floats(-2, 2),
    strategies.lists(strategies.integers(0, 100 * WEIGHT)),
)


class ShedThresholdTest(testtools.TestCase):
    def raised(self, share, ceiling=None):
        threshold = shedding.ShedThreshold()
        for priority in range(1_000, 2_000):
            threshold.record(priority)
        threshold.raise_by(share, ceiling)
        return threshold

    def test_raise_removes_the_excess_share(self):
        self.assertEqual(self.raised(0.25).value, 1_250)
        self.assertEqual(self.raised(0.0).value, 0)
        # An excess above 1, as in a stall, must not refuse everything.
        self.assertEqual(self.raised(7.0).value, 1_900)
        self.assertEqual(self.raised(0.5, ceiling=1_100).value, 1_100)

    def test_falls_to_0_in_9_windows(self):
        # Recovery must not depend on how high the threshold is.
        for weight in (1, 10, 49, 100):
            threshold = shedding.ShedThreshold()
            threshold.record(weight * WEIGHT)
            threshold.raise_by(0.5, None)
            values = []
            while threshold.value:
                values.append(threshold.value)
                threshold.lower(1.0)
            self.assertTrue(len(values) <= 9)

    def test_step_lets_in_no_more_than_the_free_capacity(self):
        # A doubled step could let in the whole excess at once.
        threshold = shedding.ShedThreshold()
        top = 11 * WEIGHT
        for priority in range(10 * WEIGHT, top, 64):
            threshold.record(priority)
        threshold.raise_by(0.75, None)
        for _ in range(5):
            before = threshold.value
            for priority in range(before, top, 64):
                threshold.record(priority)
            threshold.lower(0.1)
            self.assertTrue(before - threshold.value <= (top - before) * 0.11)

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(strategies.lists(WINDOW))
    def test_moves_one_way_and_stays_in_range(self, steps):
        threshold = shedding.ShedThreshold()
        for overloaded, share, priorities in steps:
            before = threshold.value
            for priority in priorities:
                threshold.record(max(before, priority))
            if overloaded:
                threshold.raise_by(share, None)
                self.assertTrue(before <= threshold.value <= 100 * WEIGHT + 1)
            else:
                threshold.lower(abs(share) / 2)
                self.assertTrue(0 <= threshold.value <= before)


class ThresholdMapTest(testtools.TestCase):
    def make(self, **mechanisms):
        settings = targetsim.make_settings(mechanisms=mechanisms)
        thresholds = shedding.ThresholdMap(settings)
        thresholds.update("ordre", 100, 0.0, 0.0)
        return thresholds

    def shed_count(
        self, thresholds, kind="k", first="ordre", priority=50, now_ms=0.0
    ):
        call = (first, kind, priority, False, now_ms)
        return sum(thresholds.should_shed(*call) for _ in range(1_000))

    def test_newest_threshold_wins(self):
        # Results overtake one another; an old one must not undo a recovery.
        thresholds = self.make()
        thresholds.update_all({"ordre": (0, 10.0)}, 500.0)
        thresholds.update("ordre", 100, 200.0, 510.0)
        self.assertEqual(
            thresholds.export(["ordre"], 520.0), {"ordre": (0, 30.0)}
        )

    def test_effect_falls_to_0_over_1_s(self):
        # A guard that sends no more results must not be shed for ever.
        thresholds = self.make()
        for age_ms, count in ((0, 980), (250, 750), (750, 250), (1_000, 0)):
            shed = self.shed_count(thresholds, now_ms=age_ms)
            self.assertTrue(abs(shed - count) <= 1)
        self.assertEqual(
            thresholds.export(["ordre", "new"], 1_000.0),
            {"ordre": (0, 0.0), "new": (0, 0.0)},
        )

    def test_sheds_no_important_or_higher_calls_nor_when_off(self):
        thresholds = self.make()
        self.assertFalse(thresholds.should_shed("ordre", "k", 1, True, 0.0))
        self.assertEqual(self.shed_count(thresholds, priority=100), 0)
        self.assertEqual(self.shed_count(self.make(shed_at_entry=False)), 0)

    def test_sheds_for_the_services_that_a_kind_uses(self):
        # Shedding only at the deep service wastes the work above it.
        thresholds = self.make()
        rng = random.Random(1)
        for _ in range(200):
            thresholds.record_services_used(
                "katalog", "print", ["proof", "ordre"]
            )
            rare = ["ordre"] if rng.random() < 0.1 else []
            thresholds.record_services_used(
                "katalog", "browse", ["proof", *rare]
            )
        self.assertEqual(self.shed_count(thresholds, "print", "katalog"), 980)
        self.assertEqual(self.shed_count(thresholds, "browse", "katalog"), 0)
        for _ in range(100):
            thresholds.record_services_used("katalog", "print", [])
        self.assertEqual(self.shed_count(thresholds, "print", "katalog"), 0)

    def test_calls_that_fail_show_which_services_they_need(self):
        # All daemons start empty while a deep service is full: no call of
        # the kind succeeds before some of them are shed at the entry.
        thresholds = self.make()
        thresholds.record_services_needed(
            "katalog", "print", ["proof", "ordre"]
        )
        self.assertEqual(self.shed_count(thresholds, "print", "katalog"), 980)

    def test_a_call_that_fails_early_takes_nothing_back(self):
        thresholds = self.make()
        for _ in range(20):
            thresholds.record_services_used(
                "katalog", "print", ["proof", "ordre"]
            )
        for _ in range(100):
            thresholds.record_services_needed("katalog", "print", ["proof"])
        self.assertEqual(self.shed_count(thresholds, "print", "katalog"), 980)

    def test_pairs_are_bounded(self):
        # Kinds come from callers and must not fill the memory.
        thresholds = self.make()
        for n in range(shedding.PAIRS_MAX + 10):
            thresholds.should_shed("ordre", f"k{n}", 1, False, 0.0)
        self.assertEqual(len(thresholds._pairs), shedding.PAIRS_MAX)
