"""HTTP/1.1 heads: which headers are passed on, and how they are written."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: fields that concern one connection only. The length
# is written anew for each connection.
_CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Methods whose requests state a length even without a body.
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
# Statuses whose answers never have a body.
BODYLESS_STATUSES = frozenset({204, 304})


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Returns the headers that concern more than one connection."""
    headers = list(headers)
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    drop = _CONNECTION_FIELDS | named if named else _CONNECTION_FIELDS
    return [(n, v) for n, v in headers if n.lower() not in drop]


def find_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Returns the first value of a header.

    Args:
      headers: Names and values.
      name: The name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def without_headers(headers: HeaderList, names: frozenset[bytes]) -> HeaderList:
    """Returns the headers whose names, in lower case, are not given."""
    return [(n, v) for n, v in headers if n.lower() not in names]


def encode_request(
    method: str, path: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Returns the bytes of a request."""
    parts = [method.encode(), b" ", path, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in _BODY_METHODS:
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response_head(
    status: int,
    reason: bytes,
    headers: HeaderList,
    length: int | None,
    close: bool,
) -> bytes:
    """Returns the bytes of the head of an answer.

    Args:
      status: HTTP status.
      reason: Reason phrase.
      headers: Headers beside those of the connection.
      length: Length of the body; None for a chunked one.
      close: Whether the connection closes after the answer.
    """
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if length is None:
        parts.append(b"Transfer-Encoding: chunked\r\n")
    elif status not in BODYLESS_STATUSES:
        parts.append(b"Content-Length: %d\r\n" % length)
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
