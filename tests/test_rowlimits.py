"""Tests of mimosahaven.rowlimits."""

import random

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from mimosahaven import fleet
from mimosahaven import rowlimits
from mimosahaven import table
from tests import targetsim

LIMIT = 120.0
# Time since the previous step in ms, number of calls at each of 4 daemons.
STEP = strategies.tuples(
    strategies.floats(0, 500),
    strategies.tuples(*[strategies.integers(0, 60)] * 4),
)


def make_member(number, domains):
    name = f"d{number}"
    return fleet.Member(name, "s", f"z{number % domains}", "r", "::1", 1, 1)


def make_row(limit_per_s=LIMIT):
    raw = {"caller": "c", "kind": "k", "weight": 1, "idempotent": True}
    raw |= {"deadline_ms": 1, "rate_limit_per_s": limit_per_s}
    return table.Row.model_validate(raw)


class RowLimiterSimulation:
    """Row limiters of daemons that borrow tokens from one another."""

    def __init__(self, count=4, domains=1, settle_ms=100, **mechanisms):
        self.members = [make_member(n, domains) for n in range(count)]
        self.limiters = {}
        for number, m in enumerate(self.members):
            settings = targetsim.make_settings(
                name=m.target,
                gossip={"share_settle_ms": settle_ms},
                mechanisms=mechanisms,
            )
            limiter = rowlimits.RowLimiter(settings, random.Random(number))
            limiter.apply_rows([make_row()], 0.0)
            limiter.apply_list(self.members, 0.0)
            self.limiters[m.target] = limiter
        self.admitted_count = 0

    def step(self, now_ms, demand, lost=lambda: False):
        for limiter, calls in zip(self.limiters.values(), demand, strict=True):
            self.admitted_count += sum(
                limiter.try_acquire(make_row(), now_ms) for _ in range(calls)
            )
        for limiter in self.limiters.values():
            for request in limiter.borrow_requests(now_ms):
                peer = self.limiters[request.peer]
                amount = peer.grant(request.row_id, request.amount, now_ms)
                if not lost():
                    limiter.receive_borrowed(request.row_id, amount, now_ms)
                limiter.update_peer_surplus(request.peer, peer.surplus(now_ms))


class RowLimiterTest(testtools.TestCase):
    def measure_rate(self, simulation, demand):
        """Returns the calls admitted per second between 5 s and 15 s."""
        admitted_counts = []
        for now_ms in range(0, 15_000, 20):
            simulation.step(now_ms, demand)
            admitted_counts.append(simulation.admitted_count)
        return (admitted_counts[-1] - admitted_counts[249]) / 10

    def test_share_is_split_over_domains_then_daemons(self):
        # Domains with 2 daemons and 1 daemon: each domain has half the limit.
        demands = ([5, 0, 0], [0, 5, 0])
        for demand, share in zip(demands, (0.25, 0.5), strict=True):
            simulation = RowLimiterSimulation(3, 2)
            for limiter in simulation.limiters.values():
                limiter.borrow_requests = lambda now_ms: []
            rate = self.measure_rate(simulation, demand)
            self.assertTrue(abs(rate - LIMIT * share) < 2)

    def test_borrows_unused_tokens_of_its_failure_domain(self):
        # All calls of a row often arrive at one daemon.
        self.assertTrue(
            self.measure_rate(RowLimiterSimulation(), [5, 0, 0, 0])
            >= 0.9 * LIMIT
        )
        self.assertTrue(
            self.measure_rate(RowLimiterSimulation(8, 2), [5] + [0] * 7)
            >= 0.45 * LIMIT
        )

    def test_granted_tokens_are_removed_from_the_lender(self):
        # A lost grant may lose its tokens, but must never duplicate them.
        simulation = RowLimiterSimulation(2, settle_ms=1)
        lender = simulation.limiters["d0"]
        lender.surplus(1.0)
        self.assertEqual(lender.surplus(1_001.0), {"c/k": 60.0})
        for amount in (40.0, 20.0, 0.0):
            self.assertEqual(lender.grant("c/k", 40.0, 1_001.0), amount)
        self.assertFalse(lender.try_acquire(make_row(), 1_001.0))

    def test_new_daemon_has_no_share_yet_but_can_borrow(self):
        # The others may still use the shares of a list without this daemon.
        limiter = RowLimiterSimulation(2, settle_ms=10_000).limiters["d0"]
        limiter.receive_borrowed("c/k", 50.0, 0.0)
        # Borrowed tokens expire; otherwise they could accumulate for a burst.
        self.assertFalse(limiter.try_acquire(make_row(), 9_999.0))
        limiter.receive_borrowed("c/k", 1.0, 9_999.0)
        self.assertTrue(limiter.try_acquire(make_row(), 9_999.0))
        self.assertFalse(limiter.try_acquire(make_row(), 10_000.0))
        self.assertTrue(limiter.try_acquire(make_row(), 10_100.0))

    def test_rows_without_limit_and_disabled_limiter_admit_all_calls(self):
        limiter = RowLimiterSimulation(1).limiters["d0"]
        self.assertTrue(limiter.try_acquire(make_row(None), 0.0))
        limiter = RowLimiterSimulation(1, row_limits=False).limiters["d0"]
        self.assertTrue(
            all(limiter.try_acquire(make_row(), 0.0) for _ in range(999))
        )
        self.assertEqual(limiter.surplus(5_000.0), {})

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        strategies.integers(1, 3),
        strategies.floats(0, 1),
        strategies.lists(STEP, max_size=100),
    )
    def test_sum_stays_within_limit_and_burst(self, domains, loss, steps):
        rng = random.Random(1)
        simulation = RowLimiterSimulation(4, domains)
        now_ms = 0.0
        for passed_ms, demand in steps:
            now_ms += passed_ms
            simulation.step(now_ms, demand, lambda: rng.random() < loss)
            bound = LIMIT * now_ms / 1000 + LIMIT
            self.assertTrue(simulation.admitted_count <= bound + 1e-6)
