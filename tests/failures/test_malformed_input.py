"""Guards against input that stops a daemon or loses an in-flight call."""

import asyncio
import collections
import contextlib
import json
import socket

from testtools import matchers

from mimosahaven import codes
from mimosahaven import messages
from mimosahaven.testing import processes
from tests.failures import environment

Code = codes.Code

ENTRY, GUARD = "catalogue-1", "reservations-1"
RUN_FACTOR = 200
BODY_MAX = 10_000
CALLER_HEADERS = b"Mimosahaven-Caller: bride\r\nMimosahaven-Kind: reserve\r\n"
SIZED_BODY = b"Content-Length: %d\r\n\r\n%b"
CHUNKED_BODY = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
OVERSIZED = b"x" * (BODY_MAX + 1)
# Code of the response and request without its first line, by name.
REQUESTS = {
    "bad deadline": (
        Code.MALFORMED,
        CALLER_HEADERS
        + b"Mimosahaven-Deadline-Ms: soon\r\n"
        + SIZED_BODY % (0, b""),
    ),
    "negative deadline": (
        Code.MALFORMED,
        CALLER_HEADERS
        + b"Mimosahaven-Deadline-Ms: -1\r\n"
        + SIZED_BODY % (0, b""),
    ),
    "no header value": (Code.MALFORMED, CALLER_HEADERS + b"\x00\x01\r\n\r\n"),
    "bad length": (
        Code.MALFORMED,
        CALLER_HEADERS + b"Content-Length: x\r\n\r\n",
    ),
    "big body": (
        Code.BODY_TOO_LARGE,
        CALLER_HEADERS + SIZED_BODY % (len(OVERSIZED), OVERSIZED),
    ),
    "big chunk": (
        Code.BODY_TOO_LARGE,
        CALLER_HEADERS + CHUNKED_BODY % (len(OVERSIZED), OVERSIZED),
    ),
    "bad action": (
        Code.BAD_ACTION_ID,
        CALLER_HEADERS + b"Mimosahaven-Action: a.b\r\n" + SIZED_BODY % (0, b""),
    ),
    "no caller": (Code.UNKNOWN_CALLER, SIZED_BODY % (0, b"")),
    "unknown caller": (
        Code.UNKNOWN_CALLER,
        b"Mimosahaven-Caller: nobody\r\n" + SIZED_BODY % (0, b""),
    ),
    "unknown kind": (
        Code.UNKNOWN_KIND,
        b"Mimosahaven-Caller: bride\r\nMimosahaven-Kind: x\r\n"
        + SIZED_BODY % (0, b""),
    ),
}
HELLO = messages.encode(messages.Hello("peer", "0" * 16, 0.0))
# Frames sent to the link port that are not valid messages.
FRAMES = (
    (b"",),
    (b"\x00garbage",),
    (HELLO[:1],),
    (HELLO[:-1],),
    (HELLO[:1] + b"\x93\xff\xff\xff",),
    (HELLO[:1] + b"\xc1" * 1_000,),
    (HELLO, HELLO),
    # A newer protocol version.
    (bytes([HELLO[0] + 1]) + HELLO[1:],),
)


async def _post(node, rest: bytes, line=b"POST /reservations/reserve") -> bytes:
    reader, writer = await asyncio.open_connection(node.host, node.entry_port)
    writer.write(line + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + rest)
    try:
        async with asyncio.timeout(environment.CONDITION_TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


def _parse_code(response: bytes) -> tuple[int, bytes]:
    """Returns the code and the run state of a response."""
    head = response.split(b"\r\n\r\n")[0].lower()
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
    return (
        int(fields.get(b"mimosahaven-code", 0)),
        fields.get(b"mimosahaven-run", b""),
    )


async def _status(env, name: str) -> dict:
    url = f"{env.fleet.node(name).entry_url}/-/status"
    return await processes.get_json(env.fleet.session, url)


async def _with_call_in_flight(env, feed):
    """Sends malformed input to daemons while a reservation runs.

    Returns:
      The result of `feed`, which sends the input, the attempt of the
      reservation, and the violations.
    """
    table = env.fleet.deployment.table(version=2)
    table["rows"] = [row for row in table["rows"] if row["caller"] != "*"]
    await env.fleet.put_table(json.dumps(table))

    async def in_force():
        status = await _status(env, ENTRY)
        return status["table"]["version"] == 2

    await env.wait_until(in_force, "table 2 in force")
    await env.fleet.set_service_faults(
        environment.SERVICE, service_factor=RUN_FACTOR
    )
    id = env.new_id()
    call = env.send_in_background(ENTRY, id=id)
    await env.wait_for_run(id)
    result = await feed(env)
    return result, await call, env.count_violations()


def _entry_scenario(statsd: socket.socket):
    async def feed(env):
        node = env.fleet.node(ENTRY)
        reported = {
            name: _parse_code(await _post(node, rest))
            for name, (_, rest) in REQUESTS.items()
        }
        counted = collections.Counter()

        async def all_counted():
            with contextlib.suppress(BlockingIOError):
                while True:
                    for line in statsd.recv(65_536).decode().splitlines():
                        name, value = line.removesuffix("|c").split(":")
                        code = name.removeprefix(f"t.{ENTRY}.results.")
                        if code in Code.__members__:
                            counted[Code[code]] += int(value)
            return counted.total() >= len(reported)

        await env.wait_until(all_counted, "results in the metrics")
        return reported, counted

    return lambda env: _with_call_in_flight(env, feed)


async def _link_scenario(env):
    async def feed(env):
        node = env.fleet.node(GUARD)
        # Bytes that are not the ZeroMQ protocol.
        _, writer = await asyncio.open_connection(node.host, node.link_port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n" + bytes(range(256)) * 100)
        async with environment.FakePeer(node) as peer:
            before = await peer.incarnation()
            for frames in FRAMES:
                await peer.send(*frames)
            # Messages that daemons send only as replies.
            await peer.send(messages.encode(messages.Result("x", 0, 1000)))
            await peer.send(messages.encode(messages.Pong(0.0, 0.0)))
            stale_call = environment.make_call("late", "0" * 16)
            refused = await peer.request(stale_call, messages.Result)
            after = await peer.incarnation()
        async with environment.FakePeer(node) as oversized:
            await oversized.send(HELLO[:1] + b"x" * 4 * 1_048_576)
        writer.close()
        status = await _status(env, GUARD)
        log = env.fleet.process(f"{GUARD}-daemon").log_path.read_text()
        return (
            before == after,
            refused.code,
            status["messages_malformed"],
            {code for code in Code if f"dropped: {int(code)} " in log},
        )

    return await _with_call_in_flight(env, feed)


class MalformedInputTest(environment.FailureTestCase):
    def test_requests_at_an_entry(self):
        with socket.socket(type=socket.SOCK_DGRAM) as statsd:
            statsd.bind(("127.0.0.1", 0))
            statsd.setblocking(False)
            host, port = statsd.getsockname()
            metrics = {
                "endpoint": {"host": host, "port": port},
                "prefix": "t",
                "interval_ms": 50,
            }
            ((result, call, violations),) = self.run_scenarios(
                (
                    _entry_scenario(statsd),
                    {"max_body_bytes": BODY_MAX, "metrics": metrics},
                ),
                targets=1,
            )
        reported, counted = result
        expected = {
            name: (code, b"not-run") for name, (code, _) in REQUESTS.items()
        }
        self.assertThat(reported, matchers.Equals(expected))
        self.assertThat(
            counted,
            matchers.Equals(
                collections.Counter(code for code, _ in REQUESTS.values())
            ),
        )
        self.assertTrue(call.succeeded, call)
        self.assertThat(violations, matchers.Equals({}))

    def test_messages_at_a_link_port(self):
        ((result, call, violations),) = self.run_scenarios(
            (_link_scenario, {"max_body_bytes": BODY_MAX}), targets=1
        )
        survived, refused, malformed, logged = result
        self.assertTrue(survived)
        self.assertThat(refused, matchers.Equals(Code.WRONG_INCARNATION))
        # ZeroMQ parses some of the raw bytes as frames of an old protocol.
        self.assertThat(malformed, matchers.GreaterThan(len(FRAMES) - 1))
        self.assertThat(
            logged, matchers.Equals({Code.MALFORMED, Code.VERSION_UNSUPPORTED})
        )
        self.assertTrue(call.succeeded, call)
        self.assertThat(violations, matchers.Equals({}))
