"""What the platform publishes, as the mesh reads it."""

import typing

from mimosahaven.mesh import records


class FeedError(Exception):
    """The store gave no usable answer."""


class HistoryGoneError(FeedError):
    """The store no longer has the changes after a revision."""


class Snapshot(typing.NamedTuple):
    """Everything that the store publishes.

    Attributes:
      revision: Revision of the store.
      table: The routes, or None when there are none yet.
      targets: All targets.
    """

    revision: int
    table: records.RouteTable | None
    targets: list[records.Target]


class Changes(typing.NamedTuple):
    """What has changed after a revision.

    Attributes:
      revision: Revision up to which the changes are complete.
      table: The newest routes, when they have changed.
      changed: Targets that are new or have changed.
      gone: Identities of targets that are gone.
    """

    revision: int
    table: records.RouteTable | None
    changed: list[records.Target]
    gone: list[str]


class Feed(typing.Protocol):
    """The platform's store, decoded."""

    async def snapshot(self) -> Snapshot:
        """Reads everything.

        Raises:
          FeedError: There is no usable answer.
        """

    async def changes(self, after: int, wait_ms: float) -> Changes:
        """Waits for changes after a revision.

        Raises:
          HistoryGoneError: A snapshot has to be read instead.
          FeedError: There is no usable answer.
        """

    async def close(self) -> None:
        """Closes the connections."""
