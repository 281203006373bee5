import collections
import random

import testtools
from testtools import matchers

from mimosahaven.mesh import loadbalancer as loadbalancer_lib
from tests.mesh import samples

LOCAL = "10.0.0.9"


class PlacementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.balancer = loadbalancer_lib.LoadBalancer(
            "a", LOCAL, random.Random(1)
        )
        self.near = samples.target("i-1", "10.0.0.1")
        self.far = samples.target("i-2", "10.0.0.2", failure_domain="b")
        self.both = (self.near, self.far)

    def counts(self, now_ms=0.0, tried=()):
        chosen = [
            self.balancer.choose(self.both, tried, now_ms) for _ in range(100)
        ]
        return collections.Counter(t.target_id for t in chosen if t)

    def test_a_full_target_gives_way_to_a_free_one_far_away(self):
        self.balancer.record_load("10.0.0.1", samples.load(10, 10), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(1), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())

    def test_a_slow_target_gets_less(self):
        self.balancer.record_load("10.0.0.1", samples.load(mean_ms=500.0), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(mean_ms=50.0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())

    def test_a_target_that_fails_is_eased_out(self):
        for target in self.both:
            self.balancer.record_load(target.host, samples.load(), 0.0)
        for _ in range(10):
            self.balancer.record_result("10.0.0.1", True, 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        later_ms = 10 * loadbalancer_lib.FAILURE_HALF_LIFE_MS
        self.assertThat(self.counts(later_ms)["i-1"], matchers.GreaterThan(0))

    def test_a_target_that_joined_gets_a_first_request(self):
        self.balancer.record_load("10.0.0.1", samples.load(mean_ms=20.0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        self.balancer.state(self.far).outstanding = 1
        self.assertEqual({"i-1": 100}, self.counts())

    def test_an_unreachable_vm_is_left_alone_until_it_answers(self):
        self.balancer.set_unreachable("10.0.0.1", 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        self.assertEqual(["10.0.0.1"], self.balancer.unreachable_hosts())
        self.balancer.set_reachable("10.0.0.1")
        for target in self.both:
            self.balancer.record_load(target.host, samples.load(), 0.0)
        self.assertThat(self.counts()["i-1"], matchers.GreaterThan(0))

    def test_a_target_that_was_tried_is_not_chosen_again(self):
        self.assertEqual({"i-2": 100}, self.counts(tried={"i-1"}))
        self.assertEqual({}, self.counts(tried={"i-1", "i-2"}))

    def test_own_requests_count_between_two_reports(self):
        self.balancer.record_load("10.0.0.1", samples.load(0), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(0), 0.0)
        self.balancer.state(self.near).outstanding = 20
        self.assertEqual({"i-2": 100}, self.counts())

    def test_a_target_that_does_not_answer_gets_nothing(self):
        self.balancer.record_load("10.0.0.1", samples.load(limit=0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        self.assertEqual({"i-1": 100}, self.counts(tried={"i-2"}))
        later_ms = loadbalancer_lib.DOWN_KEEP_MS
        self.balancer.record_load("10.0.0.2", samples.load(), later_ms)
        self.assertThat(self.counts(later_ms)["i-1"], matchers.GreaterThan(0))

    def test_a_target_that_was_slow_gets_work_again_when_idle(self):
        # In trouble, a target that ran the last slow calls kept a mean of
        # 0.6 s, and stood idle for the rest of the day.
        self.balancer.record_load("10.0.0.1", samples.load(mean_ms=600.0), 0.0)
        self.balancer.record_load("10.0.0.2", samples.load(mean_ms=100.0), 0.0)
        self.assertEqual({"i-2": 100}, self.counts())
        later_ms = loadbalancer_lib.REPORT_KEEP_MS
        self.balancer.record_load(
            "10.0.0.2", samples.load(mean_ms=100.0), later_ms
        )
        self.assertThat(self.counts(later_ms)["i-1"], matchers.GreaterThan(0))


class UnequalTargetsTest(testtools.TestCase):
    """Targets of a full service differ in speed by three times."""

    def test_a_slow_target_fills_before_a_fast_one_has_a_long_queue(self):
        balancer = loadbalancer_lib.LoadBalancer(
            "a", "10.9.9.9", random.Random(1)
        )
        means_ms = {"10.0.0.1": 28.0, "10.0.0.2": 80.0}
        targets = [samples.target(host, host, slots=80) for host in means_ms]
        counts = dict.fromkeys(means_ms, 0)
        for _ in range(190):
            for host, mean_ms in means_ms.items():
                running = min(80, counts[host])
                load = samples.load(
                    running, counts[host] - running, 80, mean_ms
                )
                balancer.record_load(host, load, 0.0)
            counts[balancer.choose(targets, set(), 0.0).host] += 1
        # The queue at the fast one stays below the slots of one target.
        self.assertThat(counts["10.0.0.1"], matchers.LessThan(2 * 80))


class ThresholdTest(testtools.TestCase):
    """One target of a service is full, or down, while others have room."""

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

    def test_nothing_is_shed_while_half_of_the_capacity_has_room(self):
        loads = [samples.load(threshold=t) for t in (70, 0, 0)]
        self.assertEqual(0, self.threshold(loads))
        # The one with room runs as much as the other two.
        loads = [
            samples.load(threshold=threshold, mean_ms=mean_ms)
            for threshold, mean_ms in ((70, 60.0), (50, 60.0), (0, 30.0))
        ]
        self.assertEqual(0, self.threshold(loads))

    def test_a_slow_target_that_fills_last_does_not_hold_shedding_back(self):
        # Seen on the full scale day: a fast target displaced runs, the slow
        # one had no queue, and no origin shed anything for the service.
        loads = [
            samples.load(threshold=threshold, mean_ms=mean_ms)
            for threshold, mean_ms in ((70, 28.0), (50, 55.0), (0, 80.0))
        ]
        self.assertEqual(70, self.threshold(loads))

    def test_a_target_that_is_down_offers_no_room(self):
        loads = [samples.load(threshold=t) for t in (70, 50)]
        loads.append(samples.load(limit=0))
        self.assertEqual(50, self.threshold(loads))

    def test_an_old_report_sheds_nothing(self):
        loads = [samples.load(threshold=70)] * 3
        self.assertEqual(0, self.threshold(loads, 5_000.0))
