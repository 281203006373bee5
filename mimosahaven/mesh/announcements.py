"""What a target announces about itself in the headers of its responses."""

import collections
import math
import typing
from collections.abc import Callable

from mimosahaven.mesh import http1
from mimosahaven.mesh import records
from mimosahaven.mesh import settings as settings_lib

# Bounds the memory of rate limits; the oldest ones are forgotten first.
KNOWN_MAX = 4_096
LEAVING_VALUE = b"1"


class InvalidAnnouncementError(ValueError):
    """The value of an announcing header is invalid."""


class Announcement(typing.NamedTuple):
    """Announcement of a target.

    Attributes:
      rate_limit_per_s: Requests per second that the target accepts from all
        daemons together; None for no limit.
      leaving: Whether the target is about to stop and accepts no new work.
    """

    rate_limit_per_s: float | None = None
    leaving: bool = False


class AnnouncementReader:
    """Reads the announcements in responses of targets."""

    def __init__(self, headers: settings_lib.HeaderNames):
        self._rate_limit_header = headers.rate_limit.lower().encode()
        self._leaving_header = headers.leaving.lower().encode()

    def read(self, headers: http1.HeaderList) -> Announcement:
        """Returns what a target announces in the headers of a response.

        Raises:
          InvalidAnnouncementError: The rate limit is not a decimal number.
        """
        rate = http1.find_header(headers, self._rate_limit_header)
        leaving = http1.find_header(headers, self._leaving_header)
        return Announcement(
            None if rate is None else _parse_rate(rate),
            leaving == LEAVING_VALUE,
        )


class PassedOnAnnouncements:
    """Announcements in the responses that this daemon has passed on.

    Args:
      headers: Names of the mesh's headers.
      on_leaving: Called with a target that has announced that it leaves.
    """

    def __init__(
        self,
        headers: settings_lib.HeaderNames,
        on_leaving: Callable[[records.Target], None],
    ):
        self._reader = AnnouncementReader(headers)
        self._on_leaving = on_leaving
        self._limits_per_s: collections.OrderedDict[
            records.Incarnation, float
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._limits_per_s)

    def record(self, target: records.Target, headers: http1.HeaderList) -> None:
        """Records what a target announces in the headers of a response.

        An invalid announcement says nothing: the previous one stays in force.
        """
        try:
            announcement = self._reader.read(headers)
        except InvalidAnnouncementError:
            return
        if announcement.leaving:
            self._on_leaving(target)
        limits = self._limits_per_s
        limits.pop(target.incarnation, None)
        if announcement.rate_limit_per_s is not None:
            limits[target.incarnation] = announcement.rate_limit_per_s
            if len(limits) > KNOWN_MAX:
                limits.popitem(last=False)

    def rate_limit_per_s(self, target: records.Target) -> float | None:
        """Returns the latest rate limit of a target, or None."""
        return self._limits_per_s.get(target.incarnation)


def _parse_rate(value: bytes) -> float:
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if not 0 <= rate_per_s < math.inf:
        raise InvalidAnnouncementError(f"rate limit {value!r}")
    return rate_per_s
