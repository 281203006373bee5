"""Guards against incomplete responses that are forwarded as complete."""

import asyncio
import dataclasses
import json

from testtools import matchers

from mimosahaven import codes
from mimosahaven import load
from mimosahaven.testing import invariants
from tests.failures import environment

Code = codes.Code

BROKEN, HEALTHY = "reservations-1", "reservations-2"
CALLS = 10
DEADLINE_MS = 1_000
CHUNK_COUNT = 10
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
# Codes with which each broken response may be reported.
EXPECTED = {
    "short": {Code.ANSWER_TRUNCATED},
    "no-last-chunk": {Code.ANSWER_TRUNCATED},
    "reset": {Code.ANSWER_TRUNCATED, Code.TARGET_LOST},
    "half-a-head": {Code.TARGET_LOST},
    "nothing": {Code.TARGET_LOST},
    "not-http": {Code.TARGET_LOST},
    "stalls": {Code.TIMEOUT},
}
# A complete response that arrives slowly, but before the deadline.
SLOW = "slow"


class _RawTarget:
    """A target that writes raw HTTP responses.

    The id of a request selects the fault of its response.
    """

    def __init__(self, node):
        self._node = node
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, self._node.host, self._node.target_port
        )
        return self

    async def __aexit__(self, *_error):
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fault = head.split(b"id=", 1)[1].split(b" ", 1)[0].decode()
        body = json.dumps(
            {"id": fault, "service": environment.SERVICE, "path": "/reserve"}
            | {"padding": "x" * 10_000, "end": True}
        ).encode()
        sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        half = body[: len(body) // 2]
        chunk = b"%x\r\n%b\r\n" % (len(half), half)
        writer.write(
            {
                "short": sized + half,
                "no-last-chunk": HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + chunk,
                "reset": sized + half,
                "half-a-head": HEAD[: len(HEAD) // 2],
                "nothing": b"",
                "not-http": b"\x00\x01\x02 garbage\r\n\r\n",
                "stalls": sized + half,
                SLOW: sized,
            }[fault]
        )
        if fault == SLOW:
            for start in range(0, len(body), len(body) // CHUNK_COUNT):
                await asyncio.sleep(DEADLINE_MS / 4 / CHUNK_COUNT / 1000)
                writer.write(body[start : start + len(body) // CHUNK_COUNT])
        elif fault == "stalls":
            await reader.read()
        await writer.drain()
        if fault == "reset":
            writer.transport.abort()
        writer.close()


async def _receive_broken_responses(env) -> dict[str, load.Attempt]:
    """Requests every kind of broken response from one target."""
    env.fleet.kill(BROKEN)
    await env.fleet.process(BROKEN).wait_exit()
    async with _RawTarget(env.fleet.node(BROKEN)):
        faults = [*EXPECTED, SLOW]
        responses = await asyncio.gather(
            *(env.send(id=f, timeout_ms=DEADLINE_MS) for f in faults)
        )
    return dict(zip(faults, responses, strict=True))


@dataclasses.dataclass
class _Outcome:
    reserved: list[load.Attempt]
    browsed: list[load.Attempt]
    violations: dict


async def _truncate_responses(env) -> _Outcome:
    """Lets one of two targets truncate all its responses."""
    await env.fleet.set_faults(BROKEN, truncate=True)
    reserved, browsed = await asyncio.gather(
        *(
            asyncio.gather(*(env.send(kind=kind) for _ in range(CALLS)))
            for kind in ("reserve", "browse")
        )
    )
    return _Outcome(reserved, browsed, env.count_violations())


class BrokenResponsesTest(environment.FailureTestCase):
    def test_each_kind_of_broken_response(self):
        (responses,) = self.run_scenarios(
            (_receive_broken_responses, {}), targets=1
        )
        slow = responses.pop(SLOW)
        self.assertTrue(slow.succeeded, slow)
        for fault, attempt in responses.items():
            self.assertThat(
                attempt.run_state, matchers.Equals("unknown"), fault
            )
            self.assertIn(attempt.code, EXPECTED[fault], fault)
            self.assertThat(attempt.status, matchers.GreaterThan(499), fault)

    def test_truncated_responses_of_one_target(self):
        checked, unchecked = self.run_scenarios(
            (_truncate_responses, {}),
            (
                _truncate_responses,
                environment.settings_without("whole_answers"),
            ),
        )
        for attempt in checked.browsed:
            self.assertTrue(attempt.succeeded, attempt)
        broken = [a for a in checked.reserved if not a.succeeded]
        self.assertThat(
            {(attempt.code, attempt.run_state) for attempt in broken},
            matchers.Equals({(Code.ANSWER_TRUNCATED, "unknown")}),
        )
        self.assertThat(checked.violations, matchers.Equals({}))
        self.assertIn(invariants.CORRECT_RESPONSE, unchecked.violations)
