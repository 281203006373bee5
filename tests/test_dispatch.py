"""Tests of mimosahaven.dispatch."""

import asyncio
import random

import testtools
from testtools import matchers

from mimosahaven import actionrecords
from mimosahaven import actions
from mimosahaven import attempts
from mimosahaven import calls
from mimosahaven import codes
from mimosahaven import dispatch
from mimosahaven import incoming as incoming_lib
from mimosahaven import lifecycle
from mimosahaven import messages
from mimosahaven import router
from mimosahaven import rowlimits
from mimosahaven import shedding
from mimosahaven import table
from tests import samples

Code = codes.Code
TABLE = """{version: 1, rows: [{caller: "shop", kind: "order", weight: 90,
  idempotent: false, deadline_ms: 1000, retry_budget: 2}]}"""
ATTEMPT_REF = actionrecords.AttemptRef("presse-1", "0" * 16, 0)


class FakeRouter:
    """Answers calls with the given codes, one after the other."""

    def __init__(self, *answers: Code):
        self.answers = list(answers)
        self.call_ids: list[str] = []

    async def call(self, request: router.Request) -> router.CallOutcome:
        self.call_ids.append(request.call_id)
        code = self.answers.pop(0)
        return router.CallOutcome(
            messages.Result("", 0, int(code)), ATTEMPT_REF
        )


class FakeOwners:
    """Finds that the call which is asked about was barred."""

    async def inquire(
        self, call_id, attempt_ref, deadline_ms
    ) -> messages.Result:
        return attempts.result_without_response(
            call_id, attempt_ref.attempt, Code.BARRED
        )


class NoStats:
    def __getattr__(self, name):
        return lambda *_: None


def make_dispatcher(fake: FakeRouter) -> dispatch.Dispatcher:
    settings = samples.settings()
    made = dispatch.Dispatcher(
        settings,
        calls.CallRegistry(),
        fake,
        actions.ActionRegistry(settings, "ordre-1", "0" * 16),
        FakeOwners(),
        lifecycle.Lifecycle(settings),
        shedding.ThresholdMap(settings),
        rowlimits.RowLimiter(settings, random.Random(1)),
        NoStats(),
    )
    made.table = table.parse_table(TABLE)
    return made


def incoming(**fields) -> incoming_lib.IncomingCall:
    return incoming_lib.IncomingCall(
        "presse", "POST", "/print", [], b"", "shop", "order", **fields
    )


class ServeTest(testtools.TestCase):
    def test_a_barred_run_is_followed_by_a_new_one(self):
        # Guards against an answer "not run" to a re-send that could run.
        fake = FakeRouter(Code.LINK_LOST, Code.OK)
        made = make_dispatcher(fake)

        async def send_twice():
            action = made.issue_action_id()
            first = await made.serve(incoming(action_id=action))
            return first, await made.serve(incoming(action_id=action))

        first, second = asyncio.run(send_twice())
        self.assertThat(first.run_state, matchers.Is(codes.RunState.UNKNOWN))
        self.assertThat(second.result.code, matchers.Equals(Code.OK))
        self.assertThat(set(fake.call_ids), matchers.HasLength(2))

    def test_a_nested_call_of_an_ended_call_is_refused(self):
        # Guards against a run outside of every budget and deadline.
        fake = FakeRouter()
        made = make_dispatcher(fake)
        served = asyncio.run(made.serve(incoming(parent_id="gone/1")))
        self.assertThat(served.result.code, matchers.Equals(Code.PARENT_ENDED))
        self.assertThat(fake.call_ids, matchers.Equals([]))
