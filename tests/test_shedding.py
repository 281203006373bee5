"""Tests of mimosahaven.shedding."""

import random

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from mimosahaven import shedding
from tests import targetsim

WEIGHT_STEP = 65536
# Whether the window is overloaded, excess or free share, priorities of the
# admitted calls.
WINDOW = strategies.tuples(
    strategies.booleans(),
    strategies.floats(-2, 2),
    strategies.lists(strategies.integers(0, 100 * WEIGHT_STEP)),
)


class ShedThresholdTest(testtools.TestCase):
    def make_raised(self, share, ceiling=None):
        threshold = shedding.ShedThreshold()
        for priority in range(1_000, 2_000):
            threshold.record(priority)
        threshold.raise_by(share, ceiling)
        return threshold

    def test_raise_removes_the_excess_share(self):
        self.assertEqual(self.make_raised(0.25).value, 1_250)
        self.assertEqual(self.make_raised(0.0).value, 0)
        # An excess share above 1, as in a stall, must not shed every call.
        self.assertEqual(self.make_raised(7.0).value, 1_900)
        self.assertEqual(self.make_raised(0.5, ceiling=1_100).value, 1_100)

    def test_falls_to_0_in_9_windows(self):
        # The time to recover must not depend on the height of the threshold.
        for weight in (1, 10, 49, 100):
            threshold = shedding.ShedThreshold()
            threshold.record(weight * WEIGHT_STEP)
            threshold.raise_by(0.5, None)
            values = []
            while threshold.value:
                values.append(threshold.value)
                threshold.lower(1.0)
            self.assertTrue(len(values) <= 9)

    def test_step_admits_no_more_than_the_free_capacity(self):
        # A doubled step could admit the whole excess in one window.
        threshold = shedding.ShedThreshold()
        top = 11 * WEIGHT_STEP
        for priority in range(10 * WEIGHT_STEP, top, 64):
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
    def test_value_is_monotonic_and_stays_in_range(self, steps):
        threshold = shedding.ShedThreshold()
        for overloaded, share, priorities in steps:
            before = threshold.value
            for priority in priorities:
                threshold.record(max(before, priority))
            if overloaded:
                threshold.raise_by(share, None)
                self.assertTrue(
                    before <= threshold.value <= 100 * WEIGHT_STEP + 1
                )
            else:
                threshold.lower(abs(share) / 2)
                self.assertTrue(0 <= threshold.value <= before)


class ThresholdMapTest(testtools.TestCase):
    def make_map(self, **mechanisms):
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
        # Results can arrive out of order; an old one must not undo a recovery.
        thresholds = self.make_map()
        thresholds.update_all({"ordre": (0, 10.0)}, 500.0)
        thresholds.update("ordre", 100, 200.0, 510.0)
        self.assertEqual(
            thresholds.export(["ordre"], 520.0), {"ordre": (0, 30.0)}
        )

    def test_shed_share_falls_to_0_over_1_s(self):
        # Without new results from a guard, its calls must not be shed forever.
        thresholds = self.make_map()
        for age_ms, count in ((0, 980), (250, 750), (750, 250), (1_000, 0)):
            shed = self.shed_count(thresholds, now_ms=age_ms)
            self.assertTrue(abs(shed - count) <= 1)
        self.assertEqual(
            thresholds.export(["ordre", "new"], 1_000.0),
            {"ordre": (0, 0.0), "new": (0, 0.0)},
        )

    def test_sheds_no_important_or_higher_calls_nor_when_disabled(self):
        thresholds = self.make_map()
        self.assertFalse(thresholds.should_shed("ordre", "k", 1, True, 0.0))
        self.assertEqual(self.shed_count(thresholds, priority=100), 0)
        self.assertEqual(self.shed_count(self.make_map(shed_at_entry=False)), 0)

    def test_sheds_for_the_services_that_a_kind_uses(self):
        # Shedding only at the deepest service wastes the work upstream of it.
        thresholds = self.make_map()
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

    def test_the_highest_threshold_in_force_names_its_service(self):
        thresholds = self.make_map()
        thresholds.record_services_used("katalog", "k", ["ordre", "presse"])
        thresholds.update("presse", 200, 0.0, 0.0)
        thresholds.update("proof", 900, 0.0, 0.0)
        highest = thresholds.highest_service
        self.assertEqual("presse", highest("katalog", "k", 500.0))
        self.assertEqual("ordre", highest("ordre", "other", 500.0))
        self.assertIsNone(highest("katalog", "k", 1_500.0))
        thresholds.update("presse", 0, 0.0, 600.0)
        self.assertEqual("ordre", highest("katalog", "k", 600.0))

    def test_failed_calls_show_which_services_they_need(self):
        # If all daemons start without profiles while a deep service is
        # overloaded, no call succeeds until some are shed at the entry.
        thresholds = self.make_map()
        thresholds.record_services_needed(
            "katalog", "print", ["proof", "ordre"]
        )
        self.assertEqual(self.shed_count(thresholds, "print", "katalog"), 980)

    def test_call_that_fails_early_lowers_no_share(self):
        thresholds = self.make_map()
        for _ in range(20):
            thresholds.record_services_used(
                "katalog", "print", ["proof", "ordre"]
            )
        for _ in range(100):
            thresholds.record_services_needed("katalog", "print", ["proof"])
        self.assertEqual(self.shed_count(thresholds, "print", "katalog"), 980)

    def test_profiles_are_bounded(self):
        # Kinds are set by callers and must not exhaust the memory.
        thresholds = self.make_map()
        for n in range(shedding.PROFILES_MAX + 10):
            thresholds.should_shed("ordre", f"k{n}", 1, False, 0.0)
        self.assertEqual(len(thresholds._profiles), shedding.PROFILES_MAX)
