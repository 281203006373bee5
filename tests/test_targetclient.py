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

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# Less than the time for which a probe watches its connection.
CLOSE_AFTER_S = targetclient.PROBE_SETTLE_S / 10


def _settings(port: int) -> settings.Settings:
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


def _put(call_id: str) -> tuple[messages.Call, calls.CallContext]:
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
    def test_broken_pooled_connection_is_not_sent_again(self):
        # aiohttp sends PUT and DELETE a second time by itself, which would
        # run a non-idempotent call twice.
        received, codes_seen = asyncio.run(self._send_two())
        self.assertThat(received, matchers.Equals(2))
        self.assertThat(
            codes_seen, matchers.Equals([codes.Code.OK, codes.Code.TARGET_LOST])
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
                writer.write(ANSWER)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = targetclient.TargetClient(_settings(port))
        await client.start()
        answers = [
            await client.send(*_put("a/1")),
            await client.send(*_put("a/2")),
        ]
        await client.stop()
        server.close()
        return received, [answer.code for answer in answers]


class ProbeTest(testtools.TestCase):
    """Guards against a crash that is taken for a broken answer."""

    def test_listening_target_is_up(self):
        self.assertTrue(asyncio.run(self._probe(closes=False)))

    def test_target_that_closes_its_socket_a_little_later_is_down(self):
        self.assertFalse(asyncio.run(self._probe(closes=True)))

    async def _probe(self, closes: bool) -> bool:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            client = targetclient.TargetClient(
                _settings(listening.getsockname()[1])
            )
            if closes:
                asyncio.get_running_loop().call_later(
                    CLOSE_AFTER_S, listening.close
                )
            return await client.accepts_connections()
