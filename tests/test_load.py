"""Tests of mimosahaven.load."""

import asyncio
import json

import testtools
from testtools import matchers

from mimosahaven import load
from mimosahaven import loadplan

KIND = loadplan.KindLoad(
    caller="shop", kind="order", method="POST", path="/ordre/order", share=1
)
REFUSAL = b"HTTP/1.1 503 x\r\nMimosahaven-Run: not-run\r\n"


def encode_response(request_id, **changes):
    body = {"id": request_id, "service": "ordre", "path": "/order"}
    return json.dumps(body | {"end": True} | changes).encode()


class Server(asyncio.Protocol):
    """Sends the response that a function of the request's text returns."""

    def __init__(self, respond):
        self.respond = respond

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        response = self.respond(data.decode())
        if response is not None:
            head, body = response
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            self.transport.write(head + length + body)


class LoadGeneratorTest(testtools.TestCase):
    def run_load(self, respond, seed=1, **retry_policy):
        async def run():
            server = await asyncio.get_running_loop().create_server(
                lambda: Server(respond), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            phase = loadplan.Phase(name="x", duration_s=0.5, rate_per_s=40)
            plan = loadplan.Plan(
                entries=[f"http://127.0.0.1:{port}"],
                kinds=[KIND],
                phases=[phase],
                resend=loadplan.RetryPolicy(**retry_policy),
                seed=seed,
            )
            async with server, load.make_session() as session:
                return await load.LoadGenerator(plan, session).run()

        return asyncio.run(run())

    def test_arrivals_depend_on_the_seed_only(self):
        # A closed-loop generator would send less to a slow server.
        unresponsive = self.run_load(lambda _: None, timeout_ms=300, resends=0)
        refusing = self.run_load(lambda _: (REFUSAL, b""))
        self.assertThat(unresponsive, matchers.Not(matchers.HasLength(0)))
        self.assertThat(
            [r.intended_s for r in unresponsive],
            matchers.Equals([r.intended_s for r in refusing]),
        )
        self.assertThat(
            {r.outcome for r in unresponsive}, matchers.Equals({"failed"})
        )
        self.assertThat(
            {r.outcome for r in refusing}, matchers.Equals({"refused"})
        )
        self.assertThat(
            {len(r.attempts) for r in refusing}, matchers.Equals({1})
        )

    def test_retries_carry_the_same_or_a_new_action_id(self):
        for share, id_count in ((1.0, 1), (0.0, 0)):
            seen = {}

            def respond(text, seen=seen):
                if "/-/actions" in text:
                    head = b"HTTP/1.1 200 x\r\nMimosahaven-Next-Action: "
                    return head + b"a%d\r\n" % len(seen), b""
                request = text.split("id=")[1].split()[0]
                action = text.partition("Mimosahaven-Action: ")[2].split()
                seen.setdefault(request, []).append(action[:1])
                return None

            # Server and generator share one event loop: if it stalls for longer
            # than the timeout, an attempt ends before the server sees it.
            requests = self.run_load(
                respond, timeout_ms=1_000, resends=2, same_action_share=share
            )
            for request in requests:
                sent_ids = [i for ids in seen[request.id] for i in ids]
                self.assertThat(seen[request.id], matchers.HasLength(3))
                self.assertThat(set(sent_ids), matchers.HasLength(id_count))

    def test_foreign_or_partial_response_is_no_success(self):
        request = load.Request("1", KIND, 0.0)
        self.assertTrue(
            load.is_complete_response(request, encode_response("1"))
        )
        for body in (
            encode_response("2"),
            encode_response("1", service="proof"),
            encode_response("1", end=False),
            encode_response("1")[:-1],
            b"[]",
        ):
            self.assertFalse(load.is_complete_response(request, body), body)
