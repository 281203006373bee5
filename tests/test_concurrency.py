"""Tests of mimosahaven.concurrency."""

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from mimosahaven import concurrency
from tests import targetsim

Outcome = concurrency.Outcome
SLOTS = 100
ADAPTIVE = ("aimd", "gradient")
# Outcome, service time in ms, steps of 20 ms.
PHASE = strategies.tuples(
    strategies.sampled_from(list(Outcome)),
    strategies.floats(0, 1e6),
    strategies.integers(1, 60),
)


class Driver:
    """Feeds an algorithm with calls; the target is always fully used."""

    def __init__(self, name, warm=True):
        settings = targetsim.make_settings(SLOTS, admission={"algorithm": name})
        self.algorithm = concurrency.create(settings)
        self.now_ms = 0.0
        if warm:
            self.run(6_000, ok())

    def run(self, duration_ms, answer):
        """Ends 10 calls every 20 ms; answer is (outcome, service_ms)."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 20
            running = self.algorithm.limit
            for _ in range(10):
                self.algorithm.finish(*answer(running), running, self.now_ms)
            self.algorithm.tick(running, self.now_ms)
        return self.algorithm.limit


def ok(service_ms=20.0):
    return lambda running: (Outcome.OK, service_ms)


def timeout(running):
    return Outcome.TIMEOUT, 300.0


class LimitTest(testtools.TestCase):
    def test_unknown_name_is_an_error_that_lists_the_known_ones(self):
        error = self.assertRaises(
            concurrency.UnknownAlgorithmError, Driver, "x"
        )
        self.assertIn("aimd, fixed, gradient", str(error))

    def test_fixed_is_the_slots(self):
        limit = Driver("fixed").run(500, lambda n: (Outcome.REFUSED, 1.0))
        self.assertEqual(limit, SLOTS)

    def test_cold_target_starts_slowly(self):
        # A cold target that gets the full load at once fails at once.
        for name in ADAPTIVE:
            driver = Driver(name, warm=False)
            self.assertEqual(driver.algorithm.limit, 20)
            self.assertTrue(driver.run(2_500, ok()) <= 61)
            self.assertEqual(driver.run(3_000, ok()), SLOTS)

    def test_lost_target_is_cold_again(self):
        for name in ADAPTIVE:
            driver = Driver(name)
            limit = driver.run(100, lambda n: (Outcome.LOST, 1.0))
            self.assertEqual(limit, 20)

    def test_refusals_lower_the_limit_to_what_the_target_takes(self):
        # A limit that does not follow keeps sending calls to be refused; one
        # that does not return wastes capacity when the target is well again.
        def takes_10(running):
            return (Outcome.OK if running <= 10 else Outcome.REFUSED, 20.0)

        for name in ADAPTIVE:
            driver = Driver(name)
            driver.run(3_000, takes_10)
            limits = [driver.run(20, takes_10) for _ in range(100)]
            self.assertTrue(min(limits) >= 7)
            self.assertTrue(max(limits) <= 30)
            self.assertEqual(driver.run(2_000, ok()), SLOTS)

    def test_timeouts_lower_the_limit_to_that_of_a_cold_target(self):
        for name in ADAPTIVE:
            driver = Driver(name)
            lowest = min(driver.run(20, timeout) for _ in range(500))
            self.assertEqual(lowest, 20)
            self.assertEqual(driver.run(2_000, ok()), SLOTS)

    def test_latency_that_the_limit_causes_lowers_it(self):
        # The target works on 25 calls at once and queues the others.
        driver = Driver("aimd")

        def queueing(running):
            return Outcome.OK, max(20.0, 20.0 * running / 25)

        driver.run(3_000, queueing)
        self.assertTrue(driver.run(20, queueing) < 80)

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(
        strategies.sampled_from(ADAPTIVE), strategies.lists(PHASE, max_size=50)
    )
    def test_limit_stays_between_1_and_slots_and_returns(self, name, phases):
        # No history may wedge the limit.
        driver = Driver(name, warm=False)
        for outcome, service_ms, steps in phases:
            answer = (outcome, service_ms)
            limit = driver.run(20 * steps, lambda n, answer=answer: answer)
            self.assertTrue(1 <= limit <= SLOTS)
        self.assertTrue(driver.run(20_000, ok()) >= 0.7 * SLOTS)
