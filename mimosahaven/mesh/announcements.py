"""What a target announces about itself in the headers of its responses."""

import math
import typing

from mimosahaven.mesh import http1
from mimosahaven.mesh import settings as settings_lib


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


def _parse_rate(value: bytes) -> float:
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if not 0 <= rate_per_s < math.inf:
        raise InvalidAnnouncementError(f"rate limit {value!r}")
    return rate_per_s
