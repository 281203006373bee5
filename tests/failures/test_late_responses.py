"""Guards against a late response that is matched to another call or attempt."""

import asyncio
import json

import zmq
import zmq.asyncio
from testtools import matchers

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import messages
from mimosahaven.testing import placement
from mimosahaven.testing import processes
from tests.failures import environment

Code = codes.Code

ENTRY = "catalogue-1"
GUARD_NAMES = ("fake-1", "fake-2")
CALLS = 20


class _FakeGuard:
    """A fake daemon of `reservations` whose replies the test sends.

    Attributes:
      calls: Received calls.
      reconnected: Set while its newest connection is not silenced.
    """

    def __init__(self, name: str, host: str):
        self.name = name
        self.host = host
        self.calls: asyncio.Queue = asyncio.Queue()
        self.reconnected = asyncio.Event()
        self._routing_id = b""
        self._silenced_id: bytes | None = None
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self.port = self._socket.bind_to_random_port(f"tcp://{host}")
        self._task = asyncio.create_task(self._serve())

    def stop(self) -> None:
        self._task.cancel()
        self._context.destroy(linger=0)

    def silence(self) -> None:
        """Stops replying to messages on the connection that is open now."""
        self._silenced_id = self._routing_id
        self.reconnected.clear()

    async def reply(self, message: messages.Message) -> None:
        """Sends a message on the newest connection."""
        await self._socket.send_multipart(
            [self._routing_id, messages.encode(message)]
        )

    async def _serve(self) -> None:
        while True:
            routing_id, data = await self._socket.recv_multipart()
            message = messages.decode(data)
            now_ms = clock.monotonic_ms()
            if isinstance(message, messages.Call):
                self.calls.put_nowait(message)
            elif routing_id == self._silenced_id:
                continue
            elif isinstance(message, messages.Hello):
                self._routing_id = routing_id
                self.reconnected.set()
                await self.reply(
                    messages.HelloAck(
                        self.name, self.name, now_ms, message.sent_ms
                    )
                )
            elif isinstance(message, messages.Ping):
                await self.reply(messages.Pong(now_ms, message.sent_ms))


def _result(call: messages.Call, attempt=None, id=None) -> messages.Result:
    """Returns a complete result, by default the correct one for the call."""
    path, _, call_request_id = call.path.partition("?id=")
    body = {"id": id or call_request_id, "service": call.service, "path": path}
    return messages.Result(
        call.call_id,
        call.attempt if attempt is None else attempt,
        int(Code.OK),
        200,
        body=json.dumps(body | {"end": True}).encode(),
    )


def _with_guards(scenario):
    """Adds two fake guards to the member list of a scenario."""

    async def run_scenario(env):
        node = env.fleet.node(ENTRY)
        guards = [_FakeGuard(name, node.host) for name in GUARD_NAMES]
        try:
            member_list = placement.make_member_list([node], "kigali", 2, {})
            for guard in guards:
                member_list["members"].append(
                    member_list["members"][0]
                    | {"target": guard.name, "service": environment.SERVICE}
                    | {"host": guard.host, "link_port": guard.port}
                )
            url = f"{env.fleet.platform_url}/v1/vms"
            await env.fleet.put(url, json.dumps(member_list))

            async def in_force():
                return (await _status(env))["list_version"] == 2

            await env.wait_until(in_force, "member list in force")
            return await scenario(env, guards)
        finally:
            for guard in guards:
                guard.stop()

    return run_scenario


async def _status(env) -> dict:
    url = f"{env.fleet.node(ENTRY).entry_url}/-/status"
    return await processes.get_json(env.fleet.session, url)


async def _wait_for_unmatched(env, count: int) -> int:
    """Waits until results have been dropped and returns their number."""

    async def count_dropped():
        number = (await _status(env)).get("results_unmatched", 0)
        return number if number >= count else None

    return await env.wait_until(count_dropped, f"{count} results dropped")


async def _next_call(guards) -> tuple[_FakeGuard, messages.Call]:
    """Waits for a call to any guard."""
    async with asyncio.timeout(environment.CONDITION_TIMEOUT_S):
        while True:
            for guard in guards:
                if not guard.calls.empty():
                    return guard, guard.calls.get_nowait()
            await asyncio.sleep(processes.POLL_INTERVAL_S)


async def _send_late_results(env, guards):
    """Sends the result of a slow first attempt while its retry is in flight."""
    sent = env.send_in_background(kind="browse", id="own")
    first, call = await _next_call(guards)
    first.silence()
    second, retry = await _next_call(guards)
    async with asyncio.timeout(environment.CONDITION_TIMEOUT_S):
        await first.reconnected.wait()
    # Sends the late result on the new connection to the first guard, a copy
    # with the attempt number of the retry, the late result from the second
    # guard, and a result for an attempt that was never sent.
    await first.reply(_result(call, id="late"))
    await first.reply(_result(call, attempt=retry.attempt, id="foreign"))
    await second.reply(_result(call, id="late"))
    await second.reply(_result(call, attempt=99, id="foreign"))
    dropped = await _wait_for_unmatched(env, 4)
    pending = not sent.done()
    await second.reply(_result(retry))
    return first is second, pending, dropped, await sent


async def _send_crossed_results(env, guards):
    """Sends results in reverse order of the calls, and each of them twice."""
    sent = [env.send_in_background() for _ in range(CALLS)]
    calls = [await _next_call(guards) for _ in sent]
    for guard, call in reversed(calls):
        await guard.reply(_result(call))
        await guard.reply(_result(call, id="again"))
    attempts = await asyncio.gather(*sent)
    return attempts, await _wait_for_unmatched(env, CALLS)


class LateResponsesTest(environment.FailureTestCase):
    def test_response_to_an_attempt_after_its_retry(self):
        ((same, pending, dropped, attempt),) = self.run_scenarios(
            (_with_guards(_send_late_results), {}), targets=0
        )
        self.assertFalse(same)
        self.assertTrue(pending)
        self.assertThat(dropped, matchers.Equals(4))
        self.assertTrue(attempt.succeeded, attempt)

    def test_crossed_and_duplicate_responses(self):
        ((attempts, dropped),) = self.run_scenarios(
            (_with_guards(_send_crossed_results), {}), targets=0
        )
        for attempt in attempts:
            self.assertTrue(attempt.succeeded, attempt)
        self.assertThat(dropped, matchers.Equals(CALLS))
