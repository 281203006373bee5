"""HTTP/1.1 headers: selection of forwarded fields, and encoding."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: fields that apply to a single connection.
# Content-Length is generated anew for each connection.
_HOP_BY_HOP_FIELDS = frozenset(
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
# Methods whose requests carry Content-Length even if the body is empty.
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
# Statuses whose responses never have a body.
BODYLESS_STATUSES = frozenset({204, 304})


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Returns the end-to-end headers, without the hop-by-hop ones."""
    headers = list(headers)
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    drop = _HOP_BY_HOP_FIELDS | named if named else _HOP_BY_HOP_FIELDS
    return [(n, v) for n, v in headers if n.lower() not in drop]


def find_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Returns the first value of a header, or None.

    Args:
      headers: Names and values.
      name: The name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def without_headers(headers: HeaderList, names: frozenset[bytes]) -> HeaderList:
    """Returns the headers without those whose lower-case name is listed."""
    return [(n, v) for n, v in headers if n.lower() not in names]


def encode_request(
    method: str, path: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Returns the encoded request."""
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
    """Returns the encoded status line and headers of a response.

    Args:
      status: HTTP status.
      reason: Reason phrase.
      headers: End-to-end headers.
      length: Length of the body; None for chunked transfer coding.
      close: Whether the connection closes after the response.
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
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
