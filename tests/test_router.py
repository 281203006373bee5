"""Tests of mimosahaven.router."""

import asyncio
import random

import testtools
from testtools import matchers

from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven import fleet
from mimosahaven import messages
from mimosahaven import metrics
from mimosahaven import retrybudget
from mimosahaven import router
from mimosahaven import routing
from mimosahaven import settings as settings_lib
from mimosahaven import shedding
from mimosahaven import table
from tests import samples

Code = codes.Code
DEADLINE_MS = 60_000


class FakeSender:
    """Sender whose attempts end with the given codes, in order."""

    def __init__(self, *result_codes: Code):
        self.codes = list(result_codes)

    async def send(self, member, call, deadline_ms, idempotent):
        code = self.codes.pop(0)
        return messages.Result(
            call.call_id, call.attempt, int(code), unused_budget=call.budget
        )


def route_call(idempotent: bool, *result_codes: Code) -> messages.Result:
    """Routes one call with two retries over three targets."""
    settings = samples.make_settings(retry={"ratio": 1.0, "per_s_min": 1_000})
    fleet_view = fleet.FleetView()
    members = [
        fleet.Member(f"presse-{n}", "presse", "z1", "dk", "127.0.0.1", 1, n)
        for n in (1, 2, 3)
    ]
    fleet_view.apply_list(fleet.MemberList(1, members), 0.0)
    call_router = router.Router(
        settings,
        fleet_view,
        routing.TargetSelector(settings, random.Random(1)),
        FakeSender(*result_codes),
        shedding.ThresholdMap(settings),
        decisions.DecisionLog(settings_lib.LogSettings(), lambda text: None),
        metrics.Metrics(settings_lib.MetricsSettings(), "katalog-1"),
    )
    row = table.Row(
        caller="shop",
        kind="order",
        weight=90,
        idempotent=idempotent,
        deadline_ms=DEADLINE_MS,
    )
    context = calls.CallContext(
        "a", "a", row, "shop", "order", 0, clock.monotonic_ms() + DEADLINE_MS,
        retrybudget.ChainBudget(2),
    )  # fmt: skip
    request = router.Request("a/1", context, "presse", "POST", "/", [], b"")
    return asyncio.run(call_router.call(request)).result


class CallTest(testtools.TestCase):
    def test_a_refused_retry_does_not_hide_an_earlier_run(self):
        # Guards against reporting "not run" for a call whose first attempt
        # crashed the target and whose retry was refused by the quarantine.
        result = route_call(True, Code.TARGET_LOST, Code.QUARANTINED)
        self.assertThat(
            result.reported_run_state(), matchers.Is(codes.RunState.UNKNOWN)
        )

    def test_a_call_with_unknown_outcome_is_not_retried(self):
        result = route_call(False, Code.TARGET_LOST, Code.OK)
        self.assertThat(result.code, matchers.Equals(Code.TARGET_LOST))

    def test_a_call_that_did_not_run_is_retried(self):
        result = route_call(False, Code.DISPLACED, Code.BARRED, Code.OK)
        self.assertThat(result.code, matchers.Equals(Code.OK))

    def test_the_budget_limits_the_retries(self):
        result = route_call(False, *[Code.DISPLACED] * 4)
        self.assertThat(result.code, matchers.Equals(Code.DISPLACED))
        self.assertThat(result.attempt, matchers.Equals(2))
