import random

import testtools
from testtools import matchers

from mimosahaven import identity
from mimosahaven import shedding
from mimosahaven.mesh import admission
from mimosahaven.mesh import calltreecosts
from mimosahaven.mesh import costpriority
from tests import targetsim
from tests.mesh import samples

SLOTS = 18
CHEAP_MS = 160.0
EXPENSIVE_MS = 640.0
WEIGHT = 98
# Two in eleven requests are expensive, and together they are 1.5 times what the
# slots can serve.
EXPENSIVE_SHARE = 2 / 11
OVERLOAD = 1.5


def priority(rng, slot_ms, order):
    """Returns the priority of a request, adjusted by an order if there is one.

    Args:
      rng: Source of the request's ID.
      slot_ms: Cost of the request.
      order: CostPriority, or None.
    """
    plain = identity.priority(WEIGHT, f"{rng.getrandbits(64):x}")
    if order is None:
        return plain
    return order.adjust(plain, costpriority.RequestCost(2, "faktura", slot_ms))


def serve(order, seed):
    """Simulates 60 s of one target under overload.

    Requests below its threshold are refused when they arrive.

    Args:
      order: CostPriority, or None for an order by hash only.
      seed: Seed of the arrivals.

    Returns:
      Shares of the cheap and of the expensive requests served, and of both.
    """
    rng = random.Random(seed)
    controller = admission.AdmissionController(SLOTS, 0.0)
    mean_ms = EXPENSIVE_SHARE * EXPENSIVE_MS + (1 - EXPENSIVE_SHARE) * CHEAP_MS
    gap_ms = mean_ms / (OVERLOAD * controller.limit)
    asked, served = {}, {}
    costs = {}
    running = []
    now_ms = next_ms = 0.0

    def start(decisions):
        for request in decisions.run:
            running.append((now_ms + costs[request], request))

    while now_ms < 60_000:
        running.sort(key=lambda entry: entry[0])
        if running and running[0][0] <= next_ms:
            now_ms, request = running.pop(0)
            cost_ms = costs[request]
            served[cost_ms] = served.get(cost_ms, 0) + 1
            start(controller.finish(cost_ms, now_ms))
            continue
        now_ms = next_ms
        next_ms += rng.expovariate(1 / gap_ms)
        expensive = rng.random() < EXPENSIVE_SHARE
        cost_ms = EXPENSIVE_MS if expensive else CHEAP_MS
        asked[cost_ms] = asked.get(cost_ms, 0) + 1
        value = priority(rng, cost_ms, order)
        if value < controller.threshold:
            continue
        request = admission.AdmissionRequest(value, now_ms + 2_000.0, now_ms)
        costs[request] = cost_ms
        start(controller.offer(request, now_ms))
    shares = [served[cost] / asked[cost] for cost in (CHEAP_MS, EXPENSIVE_MS)]
    return (*shares, sum(served.values()) / sum(asked.values()))


class MixedCostOverloadTest(testtools.TestCase):
    """Cheap and expensive requests of one rank overload the same service.

    Seen where lookups of 40 ms, four to a request, and views of 640 ms share
    the slots of one service: by hash alone, both were shed alike, and each view
    took the slots of four other requests.
    """

    def test_more_requests_are_served_than_by_hash_alone(self):
        for seed in range(3):
            _, _, by_hash = serve(None, seed)
            _, _, by_cost = serve(costpriority.CostPriority(), seed)
            self.assertThat(by_cost, matchers.GreaterThan(1.05 * by_hash))

    def test_expensive_requests_are_not_excluded(self):
        for seed in range(3):
            cheap, expensive, _ = serve(costpriority.CostPriority(), seed)
            self.assertThat(expensive, matchers.GreaterThan(cheap / 4))


class RoutePrioritiesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = targetsim.make_settings()
        self.thresholds = shedding.ThresholdMap(settings)
        costs = calltreecosts.CallTreeCosts()
        self.routes = [samples.route("read"), samples.route("view")]
        for route, slot_ms in zip(self.routes, (160.0, 640.0), strict=True):
            self.thresholds.record_services_used("a", route.name, ["faktura"])
            costs.record(
                route.name, "a", {"faktura": 1.0}, {"faktura": slot_ms}
            )
        self.priorities = costpriority.RoutePriorities(self.thresholds, costs)

    def adjust(self, route, now_ms):
        plain = identity.priority(WEIGHT, "r")
        return self.priorities.adjust(plain, route, "a", now_ms) - plain

    def test_without_a_limiting_service_the_hash_decides(self):
        for route in self.routes * 10:
            self.assertEqual(0, self.adjust(route, 0.0))

    def test_cost_at_the_limiting_service_decides_from_then_on(self):
        self.thresholds.update("faktura", WEIGHT, 0.0, 0.0)
        for now_ms in (0.0, 60_000.0):
            for _ in range(100):
                cheap, expensive = (
                    self.adjust(route, now_ms) for route in self.routes
                )
            self.assertThat(cheap, matchers.GreaterThan(0))
            self.assertThat(expensive, matchers.LessThan(0))


class CostPriorityTest(testtools.TestCase):
    def adjust_all(self, order, slot_ms):
        rng = random.Random(5)
        return [priority(rng, slot_ms, order) for _ in range(2_000)]

    def test_the_rank_is_never_changed(self):
        order = costpriority.CostPriority()
        for slot_ms in (1.0, 100.0, 1e6):
            for value in self.adjust_all(order, slot_ms):
                self.assertEqual(WEIGHT, value // identity.WEIGHT_STEP)

    def test_requests_of_equal_cost_are_ordered_by_hash(self):
        plain = self.adjust_all(None, 40.0)
        adjusted = self.adjust_all(costpriority.CostPriority(), 40.0)
        for before, after in zip(plain, adjusted, strict=True):
            self.assertThat(abs(before - after), matchers.LessThan(2))

    def test_a_single_route_is_not_compared_with_itself_of_long_ago(self):
        order = costpriority.CostPriority()
        self.adjust_all(order, 40.0)
        self.adjust_all(order, 400.0)
        plain = identity.priority(WEIGHT, "a")
        cost = costpriority.RequestCost(2, "faktura", 400.0)
        self.assertThat(
            abs(order.adjust(plain, cost) - plain), matchers.LessThan(100)
        )
