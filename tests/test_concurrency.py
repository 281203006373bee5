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
# Outcome, service time in ms, number of 20 ms steps.
PHASE = strategies.tuples(
    strategies.sampled_from(list(Outcome)),
    strategies.floats(0, 1e6),
    strategies.integers(1, 60),
)


class LoadDriver:
    """Feeds calls to an algorithm, with all of its limit in use."""

    def __init__(self, name, warm=True):
        settings = targetsim.make_settings(SLOTS, admission={"algorithm": name})
        self.algorithm = concurrency.create(settings)
        self.now_ms = 0.0
        if warm:
            self.run(6_000, succeed())

    def run(self, duration_ms, call_result):
        """Ends 10 calls every 20 ms; returns the final limit.

        Args:
          duration_ms: Simulated time.
          call_result: Function of the number of running calls that returns the
            outcome and the service time of a call.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 20
            running = self.algorithm.limit
            for _ in range(10):
                self.algorithm.record_end(
                    *call_result(running), running, self.now_ms
                )
            self.algorithm.tick(running, self.now_ms)
        return self.algorithm.limit


def succeed(service_ms=20.0):
    return lambda running: (Outcome.OK, service_ms)


def time_out(running):
    return Outcome.TIMEOUT, 300.0


class LimitTest(testtools.TestCase):
    def test_unknown_algorithm_error_lists_the_known_ones(self):
        error = self.assertRaises(
            concurrency.UnknownAlgorithmError, LoadDriver, "x"
        )
        self.assertIn("aimd, fixed, gradient", str(error))

    def test_fixed_limit_equals_slots(self):
        limit = LoadDriver("fixed").run(500, lambda n: (Outcome.REFUSED, 1.0))
        self.assertEqual(limit, SLOTS)

    def test_cold_target_starts_slowly(self):
        # A cold target that gets the full load immediately would fail.
        for name in ADAPTIVE:
            driver = LoadDriver(name, warm=False)
            self.assertEqual(driver.algorithm.limit, 20)
            self.assertTrue(driver.run(2_500, succeed()) <= 61)
            self.assertEqual(driver.run(3_000, succeed()), SLOTS)

    def test_lost_target_is_cold_again(self):
        for name in ADAPTIVE:
            driver = LoadDriver(name)
            limit = driver.run(100, lambda n: (Outcome.LOST, 1.0))
            self.assertEqual(limit, 20)

    def test_refusals_lower_the_limit_to_what_the_target_takes(self):
        # If the limit does not fall, calls are sent only to be refused; if it
        # does not rise again, capacity is wasted after the target recovers.
        def takes_10(running):
            return (Outcome.OK if running <= 10 else Outcome.REFUSED, 20.0)

        for name in ADAPTIVE:
            driver = LoadDriver(name)
            driver.run(3_000, takes_10)
            limits = [driver.run(20, takes_10) for _ in range(100)]
            self.assertTrue(min(limits) >= 7)
            self.assertTrue(max(limits) <= 30)
            self.assertEqual(driver.run(2_000, succeed()), SLOTS)

    def test_timeouts_lower_the_limit_to_that_of_a_cold_target(self):
        for name in ADAPTIVE:
            driver = LoadDriver(name)
            lowest = min(driver.run(20, time_out) for _ in range(500))
            self.assertEqual(lowest, 20)
            self.assertEqual(driver.run(2_000, succeed()), SLOTS)

    def test_latency_that_the_limit_causes_lowers_it(self):
        # The target runs 25 calls concurrently and queues the others.
        driver = LoadDriver("aimd")

        def queueing(running):
            return Outcome.OK, max(20.0, 20.0 * running / 25)

        driver.run(3_000, queueing)
        self.assertTrue(driver.run(20, queueing) < 80)

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(
        strategies.sampled_from(ADAPTIVE), strategies.lists(PHASE, max_size=50)
    )
    def test_limit_stays_between_1_and_slots_and_returns(self, name, phases):
        # No sequence of outcomes may keep the limit low for good.
        driver = LoadDriver(name, warm=False)
        for outcome, service_ms, steps in phases:
            call_result = (outcome, service_ms)
            limit = driver.run(
                20 * steps, lambda n, call_result=call_result: call_result
            )
            self.assertTrue(1 <= limit <= SLOTS)
        self.assertTrue(driver.run(20_000, succeed()) >= 0.7 * SLOTS)
