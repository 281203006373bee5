"""Tests of mimosahaven.client."""

import asyncio
import random

import aiohttp
import testtools
from aiohttp import web
from testtools import matchers

from mimosahaven import client
from mimosahaven import codes
from mimosahaven import entry

RunState = codes.RunState


class FakeEntry:
    """Answers with the given run states; None breaks the connection."""

    def __init__(self, *states: RunState | None):
        self.states = list(states)
        self.action_ids: list[str] = []
        self.issued = 0

    async def issue(self, request: web.Request) -> web.Response:
        self.issued += 1
        name = f"a{self.issued}"
        return web.Response(headers={entry.NEXT_ACTION_HEADER: name})

    async def serve(self, request: web.Request) -> web.Response:
        self.action_ids.append(request.headers[entry.ACTION_HEADER])
        state = self.states.pop(0)
        if state is None:
            request.transport.abort()
            return web.Response()
        return web.Response(headers={entry.RUN_HEADER: state.value})


async def send(fake: FakeEntry) -> client.Response:
    app = web.Application()
    app.router.add_post("/-/actions", fake.issue)
    app.router.add_post("/ordre/order", fake.serve)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    settings = client.ClientSettings(
        (f"http://127.0.0.1:{port}",), "shop", timeout_ms=20_000, backoff_ms=1
    )
    try:
        async with aiohttp.ClientSession() as session:
            made = client.Client(settings, session, random.Random(1))
            return await made.send("order", "POST", "/ordre/order", b"x")
    finally:
        await runner.cleanup()


class SendTest(testtools.TestCase):
    def test_an_unanswered_request_keeps_its_action_id(self):
        # Guards against a second id for a request that may have run.
        fake = FakeEntry(None, RunState.NOT_RUN, RunState.RAN)
        answer = asyncio.run(send(fake))
        self.assertThat(answer.run_state, matchers.Is(RunState.RAN))
        self.assertThat(fake.action_ids, matchers.Equals(["a1"] * 3))

    def test_a_refused_request_takes_a_new_action_id(self):
        fake = FakeEntry(RunState.NOT_RUN, RunState.RAN)
        asyncio.run(send(fake))
        self.assertThat(fake.action_ids, matchers.Equals(["a1", "a2"]))

    def test_no_answer_at_all_is_an_error_with_the_id(self):
        fake = FakeEntry(None, None, None)
        error = self.assertRaises(client.ClientError, asyncio.run, send(fake))
        self.assertThat(error.action_id, matchers.Equals("a1"))
