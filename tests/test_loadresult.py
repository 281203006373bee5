"""Tests of mimosahaven.loadresult."""

import testtools
from testtools import matchers

from mimosahaven import load
from mimosahaven import loadplan
from mimosahaven import loadresult

KIND = loadplan.KindLoad(caller="shop", kind="order", path="/a/b", share=1)


def make_requests(failure_intervals, end_s=20, per_s=20):
    result = []
    for number in range(end_s * per_s):
        due_s = number / per_s
        failed = any(start <= due_s < end for start, end in failure_intervals)
        attempt = load.Attempt(
            "", due_s, status=0 if failed else 200, complete=True
        )
        result.append(
            load.Request("", KIND, due_s, due_s, due_s + 0.01, [attempt])
        )
    return result


class RecoveryTest(testtools.TestCase):
    def measure_recovery_s(self, *failure_intervals):
        return loadresult.recovery_s(
            make_requests(failure_intervals), 1.0, 10.0, 20.0
        )

    def test_counts_from_the_end_of_the_cause(self):
        self.assertThat(self.measure_recovery_s((5, 9)), matchers.Equals(0.0))
        later_s = self.measure_recovery_s((5, 13))
        self.assertThat(round(later_s, 1), matchers.Equals(3.0))

    def test_a_relapse_is_not_recovered(self):
        # Goodput that recovers and collapses again has not recovered.
        relapse = self.measure_recovery_s((5, 11), (16, 17))
        self.assertThat(relapse, matchers.GreaterThan(5.0))
        self.assertThat(self.measure_recovery_s((5, 20)), matchers.Is(None))


class SummaryTest(testtools.TestCase):
    def test_counts_whole_requests(self):
        plan = loadplan.Plan(
            entries=["http://127.0.0.1:1"],
            kinds=[KIND],
            phases=[
                {"name": "before", "duration_s": 10, "rate_per_s": 20},
                {"name": "after", "duration_s": 10, "rate_per_s": 20},
            ],
            baseline="before",
            cause_ends="after",
        )
        requests = make_requests([(5, 10)])
        for request in requests:
            request.kind = plan.kinds[0]
        result = loadresult.summarize(plan, requests)
        counts = result["kinds"]["shop/order"]
        self.assertThat(counts["offered"], matchers.Equals(400))
        self.assertThat(counts["failed"], matchers.Equals(100))
        self.assertThat(
            result["phases"]["after"]["goodput_per_s"], matchers.Equals(20)
        )
        self.assertThat(counts["latency"]["p50_ms"], matchers.LessThan(10.1))
        self.assertThat(result["recovery_s"], matchers.Equals(0.0))
