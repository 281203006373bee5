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
    """Responds with the given run states; None aborts the connection."""

    def __init__(self, *states: RunState | None):
        self.states = list(states)
        self.action_ids: list[str] = []
        self.issued = 0

    async def issue(self, request: web.Request) -> web.Response:
        self.issued += 1
        action_id = f"a{self.issued}"
        return web.Response(headers={entry.NEXT_ACTION_HEADER: action_id})

    async def serve(self, request: web.Request) -> web.Response:
        self.action_ids.append(request.headers[entry.ACTION_HEADER])
        state = self.states.pop(0)
        if state is None:
            request.transport.abort()
            return web.Response()
        return web.Response(headers={entry.RUN_HEADER: state.value})


async def send(fake_entry: FakeEntry) -> client.Response:
    app = web.Application()
    app.router.add_post("/-/actions", fake_entry.issue)
    app.router.add_post("/ordre/order", fake_entry.serve)
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
            entry_client = client.Client(settings, session, random.Random(1))
            return await entry_client.send(
                "order", "POST", "/ordre/order", b"x"
            )
    finally:
        await runner.cleanup()


class SendTest(testtools.TestCase):
    def test_a_request_without_response_keeps_its_action_id(self):
        # Guards against a second run: a request that may have run must be
        # retried under the same action id.
        fake_entry = FakeEntry(None, RunState.NOT_RUN, RunState.RAN)
        response = asyncio.run(send(fake_entry))
        self.assertThat(response.run_state, matchers.Is(RunState.RAN))
        self.assertThat(fake_entry.action_ids, matchers.Equals(["a1"] * 3))

    def test_a_refused_request_takes_a_new_action_id(self):
        fake_entry = FakeEntry(RunState.NOT_RUN, RunState.RAN)
        asyncio.run(send(fake_entry))
        self.assertThat(fake_entry.action_ids, matchers.Equals(["a1", "a2"]))

    def test_missing_responses_raise_an_error_with_the_action_id(self):
        fake_entry = FakeEntry(None, None, None)
        error = self.assertRaises(
            client.ClientError, asyncio.run, send(fake_entry)
        )
        self.assertThat(error.action_id, matchers.Equals("a1"))
