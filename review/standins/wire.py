"""HTTP/1.1 as the users' pages describe it, on plain asyncio streams."""

import asyncio
import dataclasses

ATTEMPT = "X-Mimosahaven-Mimosa-Attempt-Id"
DEADLINE = "X-Mimosahaven-Mimosa-Deadline-Ms"
SEAL = "X-Mimosahaven-Mimosa-Response-Seal"
TARGET = "X-Mimosahaven-Mimosa-Target-Instance"
INSTANCE = "X-Mimosahaven-Mimosa-Instance"
NOT_RUN = "X-Mimosahaven-Mimosa-Not-Executed"


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
      line: First line.
      headers: Values by lower-case name.
      body: Body as far as it has arrived.
      whole: Whether the message is complete.
    """

    line: str
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split(" ")[0]

    @property
    def path(self) -> str:
        """Path of a request."""
        return self.line.split(" ")[1]

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message.

    Raises:
      asyncio.IncompleteReadError: The connection ended before the head did.
      OSError: The connection was reset before the head was complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(headers.get("content-length", 0))
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.whole = False
    except OSError:
        message.whole = False
    return message


def encode_request(
    method: str,
    host: str,
    path: str,
    attempt_id: str,
    deadline_ms: int,
    body: bytes = b"",
) -> bytes:
    """Returns a request as a client of the pages sends it."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"{ATTEMPT}: {attempt_id}\r\n{DEADLINE}: {deadline_ms}\r\n"
    )
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return head.encode() + b"\r\n" + body
