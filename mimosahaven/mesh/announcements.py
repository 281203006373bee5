"""What a target announces about itself in the headers of its responses."""

import collections
import math
import typing

from mimosahaven.mesh import http1
from mimosahaven.mesh import records
from mimosahaven.mesh import settings as settings_lib

# Bounds the memory of announcements; the oldest ones are forgotten first.
KNOWN_MAX = 4_096


class InvalidAnnouncementError(ValueError):
    """The value of an announcing header is invalid."""


class Announcement(typing.NamedTuple):
    """Announcement of a target.

    Attributes:
      rate_limit_per_s: Requests per second that the target accepts from all
        daemons together; None for no limit.
    """

    rate_limit_per_s: float | None = None


class AnnouncementReader:
    """Reads the announcements in responses of targets."""

    def __init__(self, headers: settings_lib.HeaderNames):
        self._rate_limit_header = headers.rate_limit.lower().encode()

    def read(self, headers: http1.HeaderList) -> Announcement:
        """Returns what a target announces in the headers of a response.

        Raises:
          InvalidAnnouncementError: The rate limit is not a decimal number.
        """
        value = http1.find_header(headers, self._rate_limit_header)
        return Announcement(None if value is None else _parse_rate(value))


class KnownAnnouncements:
    """Latest announcements in the responses that this daemon has passed on."""

    def __init__(self):
        self._by_target: collections.OrderedDict[str, Announcement] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_target)

    def record(
        self, target: records.Target, announcement: Announcement
    ) -> None:
        """Records the announcement in a response of a target."""
        self._by_target.pop(target.target_id, None)
        if announcement == Announcement():
            return
        self._by_target[target.target_id] = announcement
        if len(self._by_target) > KNOWN_MAX:
            self._by_target.popitem(last=False)

    def rate_limit_per_s(self, target: records.Target) -> float | None:
        """Returns the announced rate limit of a target, or None."""
        announcement = self._by_target.get(target.target_id)
        return announcement.rate_limit_per_s if announcement else None


def _parse_rate(value: bytes) -> float:
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if not 0 <= rate_per_s < math.inf:
        raise InvalidAnnouncementError(f"rate limit {value!r}")
    return rate_per_s
