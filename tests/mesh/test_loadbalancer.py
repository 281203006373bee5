import collections
import random

import testtools
from testtools import matchers

from mimosahaven.mesh import loadbalancer as loadbalancer_lib
from tests.mesh import samples

LOCAL = "10.0.0.9"


class LoadBalancerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.balancer = loadbalancer_lib.LoadBalancer(
            "a", LOCAL, random.Random(1)
        )
        self.same_domain = samples.target("i-1", "10.0.0.1")
        self.other_domain = samples.target(
            "i-2", "10.0.0.2", failure_domain="b"
        )
        self.targets = (self.same_domain, self.other_domain)

    def counts(self, now_ms=0.0, excluded=()):
        chosen = [
            self.balancer.choose(self.targets, excluded, now_ms)
            for _ in range(100)
        ]
        return collections.Counter(t.target_id for t in chosen if t)

    def test_idle_target_in_another_domain_is_preferred_to_a_full_one(self):
        self.balancer.record_load("10.0.0.1", samples.load(10, 10), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(1), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())

    def test_equal_target_in_the_own_domain_is_preferred_for_long_runs(self):
        # Seen on sites with runs of 160 to 640 ms: two requests of three went
        # to other failure domains.
        for target in self.targets:
            self.balancer.record_load(
                target.host, samples.load(3, mean_ms=640.0), 0.0
            )
        self.assertThat(self.counts()["i-1"], matchers.GreaterThan(90))

    def test_target_in_another_domain_takes_part_of_a_high_load(self):
        # Far from full, so that the callers lose less than a tenth of a run.
        self.balancer.record_load("10.0.0.1", samples.load(6, mean_ms=640.0), 0)
        self.balancer.record_load("10.0.0.2", samples.load(1, mean_ms=640.0), 0)
        self.assertThat(self.counts()["i-2"], matchers.GreaterThan(50))

    def test_faster_target_is_preferred(self):
        self.balancer.record_load("10.0.0.1", samples.load(mean_ms=500.0), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(mean_ms=50.0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())

    def test_failing_target_is_avoided_until_its_failures_decay(self):
        for target in self.targets:
            self.balancer.record_load(target.host, samples.load(), 0.0)
        for _ in range(10):
            self.balancer.record_result("10.0.0.1", True, 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        later_ms = 10 * loadbalancer_lib.FAILURE_HALF_LIFE_MS
        self.assertThat(self.counts(later_ms)["i-1"], matchers.GreaterThan(0))

    def test_new_target_gets_one_request_first(self):
        self.balancer.record_load("10.0.0.1", samples.load(mean_ms=20.0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        self.balancer.state(self.other_domain).outstanding = 1
        self.assertEqual({"i-1": 100}, self.counts())

    def test_unreachable_vm_is_avoided_until_it_responds(self):
        self.balancer.set_unreachable("10.0.0.1", 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        self.assertEqual(["10.0.0.1"], self.balancer.unreachable_hosts())
        self.balancer.set_reachable("10.0.0.1")
        for target in self.targets:
            self.balancer.record_load(target.host, samples.load(), 0.0)
        self.assertThat(self.counts()["i-1"], matchers.GreaterThan(0))

    def test_excluded_targets_are_not_chosen(self):
        self.assertEqual({"i-2": 100}, self.counts(excluded={"i-1"}))
        self.assertEqual({}, self.counts(excluded={"i-1", "i-2"}))

    def test_outstanding_requests_count_between_reports(self):
        self.balancer.record_load("10.0.0.1", samples.load(0), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(0), 0.0)
        self.balancer.state(self.same_domain).outstanding = 20
        self.assertEqual({"i-2": 100}, self.counts())

    def test_down_target_is_chosen_only_as_a_last_resort(self):
        self.balancer.record_load("10.0.0.1", samples.load(limit=0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        self.assertEqual({"i-1": 100}, self.counts(excluded={"i-2"}))
        later_ms = loadbalancer_lib.DOWN_RETRY_MS
        self.balancer.record_load("10.0.0.2", samples.load(), later_ms)
        self.assertThat(self.counts(later_ms)["i-1"], matchers.GreaterThan(0))

    def test_idle_target_with_a_stale_slow_report_is_chosen_again(self):
        # A target that had run the last slow calls of an overload kept a mean
        # of 0.6 s and then got no more requests.
        self.balancer.record_load("10.0.0.1", samples.load(mean_ms=600.0), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(mean_ms=100.0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        later_ms = loadbalancer_lib.REPORT_MAX_AGE_MS
        self.balancer.record_load(
            "10.0.0.2", samples.load(mean_ms=100.0), later_ms
        )
        self.assertThat(self.counts(later_ms)["i-1"], matchers.GreaterThan(0))


class UnequalTargetsTest(testtools.TestCase):
    """Targets of a saturated service whose speeds differ."""

    def place(self, means_ms, slots, count):
        """Places requests that do not end; returns their number by host."""
        balancer = loadbalancer_lib.LoadBalancer(
            "a", "10.9.9.9", random.Random(1)
        )
        targets = [samples.target(host, host, slots=slots) for host in means_ms]
        counts = dict.fromkeys(means_ms, 0)
        for _ in range(count):
            for host, mean_ms in means_ms.items():
                running = min(slots, counts[host])
                load = samples.load(
                    running, counts[host] - running, slots, mean_ms
                )
                balancer.record_load(host, load, 0.0)
            counts[balancer.choose(targets, set(), 0.0).host] += 1
        return counts

    def test_slow_target_fills_before_a_fast_one_builds_a_long_queue(self):
        counts = self.place({"10.0.0.1": 28.0, "10.0.0.2": 80.0}, 80, 190)
        # The queue of the fast target stays below the slots of one target.
        self.assertThat(counts["10.0.0.1"], matchers.LessThan(2 * 80))

    def test_slow_target_is_used_when_a_fast_one_begins_to_queue(self):
        # Seen on the full-size scale-1 of 194 VMs: targets of 50 ms had queues
        # of half their slots, and their callers shed requests, while targets
        # of 200 ms were idle.
        counts = self.place({"10.0.0.1": 50.0, "10.0.0.2": 200.0}, 32, 64)
        self.assertThat(counts["10.0.0.2"], matchers.GreaterThan(32 / 2))

    def test_slow_target_is_spared_while_a_fast_one_has_free_slots(self):
        counts = self.place({"10.0.0.1": 50.0, "10.0.0.2": 200.0}, 32, 30)
        self.assertThat(counts["10.0.0.2"], matchers.LessThan(3))


class ThresholdTest(testtools.TestCase):
    """Some targets of a service are full or down; others have capacity."""

    def setUp(self):
        super().setUp()
        self.balancer = loadbalancer_lib.LoadBalancer(
            "a", LOCAL, random.Random(1)
        )
        self.targets = [
            samples.target(f"i-{i}", f"10.0.0.{i}") for i in range(3)
        ]

    def threshold(self, loads, now_ms=0.0):
        for target, load in zip(self.targets, loads, strict=True):
            self.balancer.record_load(target.host, load, 0.0)
        return self.balancer.threshold(self.targets, now_ms)

    def test_no_shedding_while_half_of_the_capacity_is_free(self):
        loads = [samples.load(threshold=t) for t in (70, 0, 0)]
        self.assertEqual(0, self.threshold(loads))
        # The free target has as much capacity as the other two together.
        loads = [
            samples.load(threshold=threshold, mean_ms=mean_ms)
            for threshold, mean_ms in ((70, 60.0), (50, 60.0), (0, 30.0))
        ]
        self.assertEqual(0, self.threshold(loads))

    def test_slow_target_that_fills_last_does_not_delay_shedding(self):
        # Seen in a full-scale run: a fast target dropped queued runs while the
        # slow one had no queue, and no daemon shed requests for the service.
        loads = [
            samples.load(threshold=threshold, mean_ms=mean_ms)
            for threshold, mean_ms in ((70, 28.0), (50, 55.0), (0, 80.0))
        ]
        self.assertEqual(70, self.threshold(loads))

    def test_down_target_offers_no_capacity(self):
        loads = [samples.load(threshold=t) for t in (70, 50)]
        loads.append(samples.load(limit=0))
        self.assertEqual(50, self.threshold(loads))

    def test_stale_reports_cause_no_shedding(self):
        loads = [samples.load(threshold=70)] * 3
        self.assertEqual(0, self.threshold(loads, 5_000.0))
