"""Guards against answers that are given to another call or attempt."""

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
NAMES = ("fake-1", "fake-2")
CALLS = 20


class _FakeGuard:
    """A daemon of `reservations` whose answers the test sends.

    Attributes:
      calls: Calls that have arrived, with the frame of their route.
      silent: Whether it takes everything in and answers nothing.
    """

    def __init__(self, name: str, host: str):
        self.name = name
        self.host = host
        self.calls: asyncio.Queue = asyncio.Queue()
        self.silent = False
        self._route = b""
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self.port = self._socket.bind_to_random_port(f"tcp://{host}")
        self._task = asyncio.create_task(self._serve())

    def stop(self) -> None:
        self._task.cancel()
        self._context.destroy(linger=0)

    async def answer(self, message: messages.Message) -> None:
        """Sends on the newest connection."""
        await self._socket.send_multipart(
            [self._route, messages.encode(message)]
        )

    async def _serve(self) -> None:
        while True:
            route, data = await self._socket.recv_multipart()
            message = messages.decode(data)
            now_ms = clock.monotonic_ms()
            if isinstance(message, messages.Call):
                self.calls.put_nowait(message)
            elif self.silent and route == self._route:
                continue
            elif isinstance(message, messages.Hello):
                self._route = route
                await self.answer(
                    messages.HelloAck(
                        self.name, self.name, now_ms, message.sent_ms
                    )
                )
            elif isinstance(message, messages.Ping):
                await self.answer(messages.Pong(now_ms, message.sent_ms))


def _result(call: messages.Call, attempt=None, id=None) -> messages.Result:
    """Returns a whole answer, by default the right one for the call."""
    path, _, own_id = call.path.partition("?id=")
    body = {"id": id or own_id, "service": call.service, "path": path}
    return messages.Result(
        call.call_id,
        call.attempt if attempt is None else attempt,
        int(Code.OK),
        200,
        body=json.dumps(body | {"end": True}).encode(),
    )


def _with_guards(scenario):
    """Lists two fake guards and plays a scenario with them."""

    async def play(env):
        node = env.fleet.node(ENTRY)
        guards = [_FakeGuard(name, node.host) for name in NAMES]
        try:
            listing = placement.make_member_list([node], "kigali", 2, {})
            for guard in guards:
                listing["members"].append(
                    listing["members"][0]
                    | {"target": guard.name, "service": environment.SERVICE}
                    | {"host": guard.host, "link_port": guard.port}
                )
            url = f"{env.fleet.platform_url}/v1/vms"
            await env.fleet.put(url, json.dumps(listing))

            async def in_force():
                return (await _status(env))["list_version"] == 2

            await env.wait_until(in_force, "list")
            return await scenario(env, guards)
        finally:
            for guard in guards:
                guard.stop()

    return play


async def _status(env) -> dict:
    url = f"{env.fleet.node(ENTRY).entry_url}/-/status"
    return await processes.get_json(env.fleet.session, url)


async def _unmatched(env, count: int) -> int:
    """Waits until answers were dropped, and returns how many."""

    async def dropped():
        number = (await _status(env)).get("results_unmatched", 0)
        return number if number >= count else None

    return await env.wait_until(dropped, f"{count} answers dropped")


async def _next_call(guards) -> tuple[_FakeGuard, messages.Call]:
    """Waits for a call at any guard."""
    async with asyncio.timeout(environment.CONDITION_TIMEOUT_S):
        while True:
            for guard in guards:
                if not guard.calls.empty():
                    return guard, guard.calls.get_nowait()
            await asyncio.sleep(processes.POLL_S)


async def _late(env, guards):
    """Answers a slow first attempt while its retry is in flight."""
    sent = env.send_in_background(kind="browse", id="own")
    first, call = await _next_call(guards)
    first.silent = True
    second, retry = await _next_call(guards)
    # The late answer on the new connection to the first guard, a copy of it
    # under the number of the retry, and answers to calls of nobody.
    await first.answer(_result(call, id="late"))
    await first.answer(_result(call, attempt=retry.attempt, id="foreign"))
    await second.answer(_result(call, id="late"))
    await second.answer(_result(call, attempt=99, id="foreign"))
    dropped = await _unmatched(env, 4)
    pending = not sent.done()
    await second.answer(_result(retry))
    return first is second, pending, dropped, await sent


async def _crossed(env, guards):
    """Answers calls in another order, and each of them twice."""
    sent = [env.send_in_background() for _ in range(CALLS)]
    calls = [await _next_call(guards) for _ in sent]
    for guard, call in reversed(calls):
        await guard.answer(_result(call))
        await guard.answer(_result(call, id="again"))
    answers = await asyncio.gather(*sent)
    return answers, await _unmatched(env, CALLS)


class LateResponsesTest(environment.FailureTestCase):
    def test_response_to_an_attempt_after_its_retry(self):
        ((same, pending, dropped, answer),) = self.run_scenarios(
            (_with_guards(_late), {}), targets=0
        )
        self.assertFalse(same)
        self.assertTrue(pending)
        self.assertThat(dropped, matchers.Equals(4))
        self.assertTrue(answer.succeeded, answer)

    def test_crossed_and_duplicate_responses(self):
        ((answers, dropped),) = self.run_scenarios(
            (_with_guards(_crossed), {}), targets=0
        )
        for answer in answers:
            self.assertTrue(answer.succeeded, answer)
        self.assertThat(dropped, matchers.Equals(CALLS))
