"""Targets whose response has no end: the daemon bounds its memory and time."""

import asyncio
import itertools

import testtools
from testtools import matchers

from mimosahaven import clock
from tests.mesh import fleet as fleet_lib
from tests.mesh import rawtarget
from tests.mesh import samples

DEADLINE_MS = 600
# Generous limit for the time after the deadline in which a request has to end;
# without one, it does not end at all.
END_SLACK_MS = 10_000
# What a target can send beyond its body before it is cut off: the daemon's
# limits, what it reads at once, and the buffers of the sockets in between. A
# VM has 200 MB in all, and serves hundreds of requests at once.
OVERHEAD_BYTES_MAX = 12_000_000

HEAD = (
    b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
    b"Mimosahaven-Signature: s1\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 16_384
# For each response: what it begins with, and what then repeats without an end.
ENDLESS_HEADS = {
    "one line": (b"HTTP/1.1 200 ", BLOCK),
    "one header": (HEAD + b"X-A: ", BLOCK),
    "headers": (HEAD, b"X-A: b\r\n" * 2_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "body of another request": (
        b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: other\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + BLOCK + b"\r\n",
    ),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 2_000),
    "one trailer": (CHUNKED + b"0\r\nX-A: ", BLOCK),
    "chunk extension": (CHUNKED + b"1;a=", BLOCK),
}
ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n" * 1_000),
    "no length": (HEAD + b"Connection: close\r\n\r\n", BLOCK),
}


class EndlessTarget:
    """Sends a response without an end to each request for /x/endless.

    Attributes:
      sent_bytes: Bytes of endless responses.
      open_count: Endless responses that are being sent.
    """

    def __init__(self, start, repeated, pause_s=0.0):
        self._start, self._repeated = start, repeated
        self._pause_s = pause_s
        self.sent_bytes = 0
        self.open_count = 0

    async def handle(self, head, body, writer, number):
        if head["path"] != "/x/endless":
            await rawtarget.respond_ok(head, body, writer, number)
            return
        start = self._start
        if b"%b" in start:
            start = start % head["mimosahaven-attempt"].encode()
        self.open_count += 1
        try:
            writer.write(start)
            while True:
                writer.write(self._repeated)
                self.sent_bytes += len(self._repeated)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
        finally:
            self.open_count -= 1


class EndlessResponseTest(testtools.TestCase):
    def run_against(self, target, cut_body):
        """Checks one endless response, and healthy requests beside it.

        Args:
          target: The target.
          cut_body: Whether the caller may get a success whose body breaks off.
        """

        async def call_endless(fleet):
            async with fleet.connect() as (reader, writer):
                writer.write(
                    fleet_lib.request(
                        path="/x/endless", deadline_ms=DEADLINE_MS
                    )
                )
                # The beginning and the end, as the rest may be hundreds of MB.
                data = end = b""
                try:
                    while piece := await reader.read(65_536):
                        data += piece[: 50 - len(data)]
                        end = (end + piece)[-50:]
                        if not cut_body:
                            break
                except ConnectionError:
                    pass
                return data + end

        async def call_healthy(fleet):
            for i in itertools.count():
                if task.done():
                    break
                status, _, _ = await fleet.send_request(
                    attempt=f"h{i}", deadline_ms=5_000
                )
                self.assertEqual(200, status)
                await asyncio.sleep(0.02)

        async def scenario():
            nonlocal task
            routes = [samples.route(timeout_ms=5_000.0, targets_max=1)]
            handler = target.handle
            async with fleet_lib.Fleet(["katalog"], [handler], routes) as fleet:
                start_ms = clock.monotonic_ms()
                task = asyncio.ensure_future(call_endless(fleet))
                await call_healthy(fleet)
                data = task.result()
                took_ms = clock.monotonic_ms() - start_ms
                self.assertThat(
                    took_ms, matchers.LessThan(DEADLINE_MS + END_SLACK_MS)
                )
                if cut_body and data[9:12] == b"200":
                    # The last chunk would make the body look complete.
                    self.assertFalse(data.endswith(b"\r\n0\r\n\r\n"))
                else:
                    # Also a body of which too little came by the deadline.
                    self.assertThat(
                        data[9:12], matchers.MatchesRegex(b"50[24]")
                    )
                await fleet_lib.wait_until(lambda: not target.open_count)

        task = None
        asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_heads_and_trailers_are_bounded(self):
        for name, (start, repeated) in ENDLESS_HEADS.items():
            with self.subTest(name):
                target = EndlessTarget(start, repeated)
                self.run_against(target, cut_body=False)
                self.assertThat(
                    target.sent_bytes, matchers.LessThan(OVERHEAD_BYTES_MAX)
                )

    def test_bodies_end_at_the_deadline(self):
        for name, (start, repeated) in ENDLESS_BODIES.items():
            with self.subTest(name):
                target = EndlessTarget(start, repeated)
                self.run_against(target, cut_body=True)

    def test_slow_responses_end_at_the_deadline(self):
        slow = {
            "one line": (b"HTTP/1.1 200 ", b"x"),
            "headers": (HEAD, b"X-A: b\r\n"),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "short chunks": (CHUNKED, b"1\r\nx\r\n"),
            "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
        }
        for name, (start, repeated) in slow.items():
            with self.subTest(name):
                target = EndlessTarget(start, repeated, pause_s=0.05)
                self.run_against(target, cut_body=False)

    def test_a_slow_stream_ends_at_the_deadline(self):
        start = CHUNKED + b"20000\r\n" + b"x" * 0x20000 + b"\r\n"
        target = EndlessTarget(start, b"1\r\nx\r\n", pause_s=0.05)
        self.run_against(target, cut_body=True)

    def test_bytes_after_the_declared_length_are_never_passed_on(self):
        start = HEAD + b"Content-Length: 2\r\n\r\nhi"

        async def scenario():
            target = EndlessTarget(start, BLOCK)
            async with fleet_lib.Fleet(["katalog"], [target.handle]) as fleet:
                status, _, body = await fleet.send_request(path="/x/endless")
                self.assertEqual((200, b"hi"), (status, body))
                await fleet_lib.wait_until(lambda: not target.open_count)
                self.assertThat(
                    target.sent_bytes, matchers.LessThan(OVERHEAD_BYTES_MAX)
                )
                status, _, body = await fleet.send_request(attempt="r2")
                self.assertEqual((200, b"hi"), (status, body))

        asyncio.run(asyncio.wait_for(scenario(), 30))
