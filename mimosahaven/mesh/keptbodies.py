"""Bodies of responses that are kept for inquiries, within a byte limit."""

import collections

# Largest total size of the kept bodies.
KEPT_BYTES_MAX = 8 * 1024 * 1024


class KeptBody:
    """A copy of the body of one response.

    Attributes:
      is_lost: Whether the copy was discarded to make room.
    """

    __slots__ = ("_owner", "data", "is_lost")

    def __init__(self, owner: "KeptBodies"):
        self._owner = owner
        self.data = bytearray()
        self.is_lost = False

    def append(self, data: bytes) -> None:
        """Adds data; without effect if the copy is lost."""
        if not self.is_lost:
            self.data += data
            self._owner.reserve(len(data))

    def discard(self) -> None:
        """Frees the copy; it counts as lost from now on."""
        self._owner.remove(self)


class KeptBodies:
    """All kept bodies of a daemon; the oldest ones make room for new data.

    A body that is larger than the limit is lost while it grows.

    Args:
      bytes_max: Largest total size.

    Attributes:
      total_bytes: Total size.
    """

    def __init__(self, bytes_max: int = KEPT_BYTES_MAX):
        self._bytes_max = bytes_max
        self.total_bytes = 0
        self._bodies: collections.OrderedDict[KeptBody, None] = (
            collections.OrderedDict()
        )

    def add(self) -> KeptBody:
        """Returns a new, empty copy."""
        body = KeptBody(self)
        self._bodies[body] = None
        return body

    def reserve(self, size: int) -> None:
        """Counts data of a kept body, and discards the oldest ones for it."""
        self.total_bytes += size
        while self.total_bytes > self._bytes_max:
            self.remove(next(iter(self._bodies)))

    def remove(self, body: KeptBody) -> None:
        """Discards a copy."""
        if body.is_lost:
            return
        del self._bodies[body]
        self.total_bytes -= len(body.data)
        body.is_lost = True
        body.data = bytearray()
