"""Interface to the routes and targets published by the platform's store."""

import typing
from collections.abc import Sequence

from mimosahaven.mesh import records


class FeedError(Exception):
    """The store gave no usable response."""


class HistoryGoneError(FeedError):
    """The store no longer has the changes after a revision.

    It has discarded them, or was restored from an older copy, so that the
    revision is not one of its present epoch.
    """


class Snapshot(typing.NamedTuple):
    """Complete content of the store.

    Attributes:
      revision: Store revision.
      table: The routes, or None if there are none yet.
      targets: All targets.
      faults: One line for each entry that was ignored as invalid.
    """

    revision: int
    table: records.RouteTable | None
    targets: list[records.Target]
    faults: Sequence[str] = ()


class Changes(typing.NamedTuple):
    """Changes since a revision.

    Attributes:
      revision: Revision up to which the changes are complete.
      table: The latest routes if they have changed, or None.
      changed: New or changed targets.
      gone: IDs of removed targets.
      faults: One line for each entry that was ignored as invalid.
    """

    revision: int
    table: records.RouteTable | None
    changed: list[records.Target]
    gone: list[str]
    faults: Sequence[str] = ()


class Feed(typing.Protocol):
    """Client of the platform's store, which returns decoded records.

    Attributes:
      epoch: Epoch of the store in its latest response. An epoch begins when the
        store is restored from an older copy; revisions of different epochs
        cannot be compared.
    """

    epoch: int

    async def snapshot(self) -> Snapshot:
        """Reads the complete content.

        Raises:
          FeedError: The store gave no usable response.
        """

    async def changes(self, after: int, wait_ms: float) -> Changes:
        """Waits for changes since a revision.

        Args:
          after: Revision after which changes are returned.
          wait_ms: Time after which the store responds even without a change.

        Raises:
          HistoryGoneError: A snapshot has to be read instead.
          FeedError: The store gave no usable response.
        """

    async def check(self) -> None:
        """Checks that the store responds, at less cost than any other request.

        Raises:
          FeedError: The store gave no usable response.
        """

    async def close(self) -> None:
        """Closes the connections."""
