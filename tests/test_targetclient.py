"""Tests of mimosahaven.targetclient."""

import asyncio
import socket

import testtools
from testtools import matchers

from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import messages
from mimosahaven import retrybudget
from mimosahaven import settings
from mimosahaven import table
from mimosahaven import targetclient

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# Shorter than the time for which a probe observes its connection.
CLOSE_DELAY_S = targetclient.PROBE_SETTLE_S / 10


def _make_settings(port: int) -> settings.Settings:
    endpoint = {"host": "127.0.0.1", "port": port}
    return settings.Settings.model_validate(
        {
            "target": {
                "name": "presse-1",
                "service": "presse",
                "failure_domain": "dk-east-1",
                "endpoint": endpoint,
            },
            "entry": endpoint,
            "link": endpoint,
        }
    )


def _make_put_call(call_id: str) -> tuple[messages.Call, calls.CallContext]:
    row = table.Row(
        caller="shop",
        kind="order",
        weight=90,
        idempotent=False,
        deadline_ms=5_000,
    )
    call = messages.Call(
        call_id, 0, "a", "shop", "order", "presse", "PUT", "/", [], b"x", "",
        0.0, 5_000, 0,
    )  # fmt: skip
    context = calls.CallContext(
        call_id=call_id,
        action_id="a",
        row=row,
        caller="shop",
        kind="order",
        priority=0,
        deadline_ms=clock.monotonic_ms() + 5_000,
        budget=retrybudget.ChainBudget(0),
    )
    return call, context


class SendTest(testtools.TestCase):
    def test_request_on_a_broken_pooled_connection_is_not_retried(self):
        # aiohttp retries PUT and DELETE itself, which would run a
        # non-idempotent call twice.
        received, result_codes = asyncio.run(self._send_two())
        self.assertThat(received, matchers.Equals(2))
        self.assertThat(
            result_codes,
            matchers.Equals([codes.Code.OK, codes.Code.TARGET_LOST]),
        )

    async def _send_two(self):
        received = 0

        async def serve(reader, writer):
            nonlocal received
            while await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(1)
                received += 1
                if received > 1:
                    break
                writer.write(OK_RESPONSE)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = targetclient.TargetClient(_make_settings(port))
        await client.start()
        responses = [
            await client.send(*_make_put_call("a/1")),
            await client.send(*_make_put_call("a/2")),
        ]
        await client.stop()
        server.close()
        return received, [response.code for response in responses]


class ProbeTest(testtools.TestCase):
    """Guards against mistaking a crash of the target for a truncated response.

    The exiting process may still accept connections for a short time.
    """

    def test_listening_target_is_up(self):
        self.assertTrue(asyncio.run(self._probe(closes=False)))

    def test_target_that_closes_its_socket_during_the_probe_is_down(self):
        self.assertFalse(asyncio.run(self._probe(closes=True)))

    async def _probe(self, closes: bool) -> bool:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            client = targetclient.TargetClient(
                _make_settings(listening.getsockname()[1])
            )
            if closes:
                asyncio.get_running_loop().call_later(
                    CLOSE_DELAY_S, listening.close
                )
            return await client.accepts_connections()
