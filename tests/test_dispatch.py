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
    """Router whose calls end with the given codes, in order."""

    def __init__(self, *result_codes: Code):
        self.codes = list(result_codes)
        self.call_ids: list[str] = []

    async def call(self, request: router.Request) -> router.CallOutcome:
        self.call_ids.append(request.call_id)
        code = self.codes.pop(0)
        return router.CallOutcome(
            messages.Result("", 0, int(code)), ATTEMPT_REF
        )


class FakeOwnerClient:
    """Owner client whose inquiries find that the call was barred."""

    async def inquire(
        self, call_id, attempt_ref, deadline_ms
    ) -> messages.Result:
        return attempts.result_without_response(
            call_id, attempt_ref.attempt, Code.BARRED
        )


class NullEntryStats:
    def __getattr__(self, name):
        return lambda *_: None


def make_dispatcher(fake_router: FakeRouter) -> dispatch.Dispatcher:
    settings = samples.make_settings()
    dispatcher = dispatch.Dispatcher(
        settings,
        calls.CallRegistry(),
        fake_router,
        actions.ActionRegistry(settings, "ordre-1", "0" * 16),
        FakeOwnerClient(),
        lifecycle.Lifecycle(settings),
        shedding.ThresholdMap(settings),
        rowlimits.RowLimiter(settings, random.Random(1)),
        NullEntryStats(),
    )
    dispatcher.table = table.parse_table(TABLE)
    return dispatcher


def make_incoming_call(**fields) -> incoming_lib.IncomingCall:
    return incoming_lib.IncomingCall(
        "presse", "POST", "/print", [], b"", "shop", "order", **fields
    )


class ServeTest(testtools.TestCase):
    def test_a_retry_after_a_barred_run_starts_a_new_run(self):
        # Guards against reporting "not run" for a retry that could run: the
        # inquiry shows that the first run was barred.
        fake_router = FakeRouter(Code.LINK_LOST, Code.OK)
        dispatcher = make_dispatcher(fake_router)

        async def send_twice():
            action = dispatcher.issue_action_id()
            first = await dispatcher.serve(make_incoming_call(action_id=action))
            return first, await dispatcher.serve(
                make_incoming_call(action_id=action)
            )

        first, second = asyncio.run(send_twice())
        self.assertThat(first.run_state, matchers.Is(codes.RunState.UNKNOWN))
        self.assertThat(second.result.code, matchers.Equals(Code.OK))
        self.assertThat(set(fake_router.call_ids), matchers.HasLength(2))

    def test_a_nested_call_of_a_finished_parent_is_refused(self):
        # Guards against a call that no budget or deadline limits.
        fake_router = FakeRouter()
        dispatcher = make_dispatcher(fake_router)
        served = asyncio.run(
            dispatcher.serve(make_incoming_call(parent_id="gone/1"))
        )
        self.assertThat(served.result.code, matchers.Equals(Code.PARENT_ENDED))
        self.assertThat(fake_router.call_ids, matchers.Equals([]))
