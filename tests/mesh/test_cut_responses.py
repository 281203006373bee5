"""Targets that stop in the middle of a response and end the connection."""

import asyncio

import testtools

from tests.mesh import fleet as fleet_lib

HEAD = (
    b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
    b"Mimosahaven-Signature: s1\r\n"
)
# Complete responses. The one without a length ends with its connection, so that
# its body cannot be told from a part of it; only its head is cut.
RESPONSES = {
    "length": HEAD + b"Content-Length: 12\r\n\r\ntwelve bytes",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    + HEAD.split(b"\r\n", 1)[1]
    + b"\r\nhi",
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"c\r\ntwelve bytes\r\n10;a=b\r\nsixteen bytes...\r\n"
    + b"0\r\nX-Trailer: a\r\n\r\n",
    "no length": HEAD + b"Connection: close\r\n\r\n",
    "after an interim response": b"HTTP/1.1 100 Continue\r\n\r\n"
    + HEAD
    + b"Content-Length: 2\r\n\r\nhi",
}


class CutTarget:
    """Sends the beginning of a response, and then ends the connection.

    The path of a request is `/x/<number of bytes>/<close or reset>`.
    """

    def __init__(self, response):
        self._response = response

    async def handle(self, head, body, writer, number):
        _, _, length, ending = head["path"].split("/")
        response = self._response
        if b"%b" in response:
            response = response % head["mimosahaven-attempt"].encode()
        writer.write(response[: int(length)])
        await writer.drain()
        if ending == "reset":
            writer.transport.abort()
        else:
            writer.close()


class CutResponseTest(testtools.TestCase):
    def assert_cuts_are_failures(self, response, services, caller_index):
        target = CutTarget(response)

        async def send_cut(fleet, length, ending):
            attempt = f"r{length:04}"
            status, _, _ = await fleet.send_request(
                caller_index,
                attempt=attempt,
                path=f"/x/{length}/{ending}",
                method="POST",
                body=b"x",
                deadline_ms=5_000,
            )
            self.assertEqual(502, status, f"{ending} after {length} bytes")

        async def scenario():
            async with fleet_lib.Fleet(
                services, [target.handle] * len(services), slots=100
            ) as fleet:
                # The attempt IDs of all cuts are as long as "r0000".
                size = len(response) + len(b"r0000") - len(b"%b")
                for start in range(0, size, 20):
                    await asyncio.gather(
                        *(
                            send_cut(fleet, length, ending)
                            for length in range(start, min(start + 20, size))
                            for ending in ("close", "reset")
                        )
                    )

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_cuts_at_every_byte_through_one_daemon(self):
        for response in RESPONSES.values():
            self.assert_cuts_are_failures(response, ["katalog"], 0)

    def test_cuts_at_every_byte_through_two_daemons(self):
        for response in RESPONSES.values():
            self.assert_cuts_are_failures(response, ["katalog", "ordre"], 1)

    def test_the_responses_are_valid_when_they_are_not_cut(self):
        async def scenario(response):
            async def serve(head, body, writer, number):
                attempt = head["mimosahaven-attempt"].encode()
                writer.write(response % attempt)
                if b"Connection: close" in response:
                    writer.close()

            async with fleet_lib.Fleet(["katalog"], [serve]) as fleet:
                status, _, _ = await fleet.send_request()
                self.assertEqual(200, status)

        for response in RESPONSES.values():
            asyncio.run(asyncio.wait_for(scenario(response), 30))
