"""Tests of mimosahaven.retrybudget."""

import random

import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from mimosahaven import retrybudget as budget_lib
from tests import identity_support as support

HOLDERS = st.integers(0, 9)


def count_deepest_attempts(depth, total, loss, rng, fan_out=1, chained=True):
    """Counts the attempts at the deepest service for an action sent six times.

    The deepest service always fails, and each result is lost with probability
    `loss`.
    """
    mechanisms = support.make_settings({"chain_budget": chained}).mechanisms
    count = 0

    def call(level, budget):
        nonlocal count
        retry = True
        while retry:
            part = budget.delegate()
            downstream = budget_lib.budget_for_call(mechanisms, part, total)
            count += level == depth
            for _ in range(fan_out if level < depth else 0):
                call(level + 1, downstream)
            if rng.random() >= loss:
                budget.refund(min(part, downstream.remaining))
            retry = budget.try_acquire()

    budget = budget_lib.budget_for_call(mechanisms, total, total)
    call(1, budget)
    for _ in range(5):
        if budget.try_acquire():
            call(1, budget)
    return count


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Holders delegate parts, each of which is refunded at most once."""

    chained = True

    def __init__(self):
        super().__init__()
        mechanisms = support.make_settings(
            {"chain_budget": self.chained}
        ).mechanisms
        self.make_budget = lambda n: budget_lib.budget_for_call(
            mechanisms, n, 5
        )
        self.open, self.taken = [(self.make_budget(5), None, 0)], 0

    @stateful.rule(index=HOLDERS)
    def pass_down(self, index):
        for holder, _, _ in self.open[index : index + 1]:
            part = holder.delegate()
            self.open.append((self.make_budget(part), holder, part))

    @stateful.rule(index=HOLDERS)
    def retry(self, index):
        self.taken += sum(
            h.try_acquire() for h, _, _ in self.open[index : index + 1]
        )
        assert self.taken <= 5, "extra attempts beyond the budget"

    @stateful.rule(index=HOLDERS, lost=st.booleans())
    def answer(self, index, lost):
        if 0 < index < len(self.open):
            child, parent, part = self.open.pop(index)
            parent.refund(0 if lost else min(part, child.remaining))


class ChainBudgetTest(testtools.TestCase):
    def test_budget_is_never_exceeded(self):
        support.run_machine(BudgetMachine)
        self.assertIn("extra", support.failure_of(BudgetMachine, chained=False))

    def test_attempts_at_the_deepest_service(self):
        # Retries at several layers must not multiply.
        rng = random.Random(7)
        for depth, total, fan_out in ((4, 3, 1), (10, 1, 1), (4, 3, 3)):
            for loss in (0, 1, *(0.1, 0.5, 0.9) * 10):
                count = count_deepest_attempts(depth, total, loss, rng, fan_out)
                bound = (1 + total) * fan_out ** (depth - 1)
                self.assertTrue(count <= bound)
            count = count_deepest_attempts(depth, total, 0, rng, chained=False)
            self.assertEqual((1 + total) ** depth, count)


class RetryRatioLimiterTest(testtools.TestCase):
    def test_ratio_holds_in_every_window(self):
        # First attempts end at 20 s; the retries they allow must end as well.
        for enabled in (True, False):
            settings = support.make_settings({"chain_budget": enabled})
            limiter, times = budget_lib.RetryRatioLimiter(settings), []
            for now_ms in range(0, 40_000, 20):
                if now_ms % 40 and now_ms < 20_000:
                    limiter.record_first_attempt("s", now_ms)
                elif limiter.try_acquire("s", now_ms):
                    times.append(now_ms)
            self.assertTrue(limiter.try_acquire("other", 0))
            counts = [sum(t - 10_000 < u <= t for u in times) for t in times]
            self.assertEqual(enabled, 25 < max(counts) <= 36)
            self.assertEqual(enabled, 9 < counts[-1] <= 11)
