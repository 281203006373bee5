"""Routes and targets in force at this daemon, from the store and from peers."""

import asyncio
import random
import typing

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import directory as directory_lib
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import frames
from mimosahaven.mesh import peerlink
from mimosahaven.mesh import records
from mimosahaven.mesh import routing
from mimosahaven.mesh import settings as settings_lib

# A daemon that has just been told of newer versions waits this long for the
# store to tell it as well, before it asks the peer.
PEER_WAIT_MS = 250.0


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


class Replica:
    """What this daemon knows of routes and targets.

    Attributes:
      index: The routes in force, or None.
      directory: The targets.
      contact_ms: Time of the last answer of the store, or None.
    """

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        feed: Feed,
        peers: peerlink.PeerPool,
        log: eventlog.EventLog,
        rng: random.Random,
    ):
        self._settings = settings
        self._limits = settings.store
        self._feed = feed
        self._peers = peers
        self._log = log
        self._rng = rng
        self.index: routing.RouteIndex | None = None
        self.directory = directory_lib.TargetDirectory()
        self.contact_ms: float | None = None
        self._failing = False
        self._behind_host = ""
        self._behind_ms = 0.0
        self._fetching = False
        self._complete = False
        self.on_change = lambda: None
        self.on_contact = lambda: None

    @property
    def table_version(self) -> int:
        """Version of the routes in force, 0 for none."""
        return self.index.table.version if self.index else 0

    async def follow_store(self) -> None:
        """Reads the store for ever; errors never end it."""
        pause_ms = self._limits.retry_ms
        while True:
            try:
                if not self._complete:
                    self._use_snapshot(await self._feed.snapshot())
                else:
                    self._use_changes(
                        await self._feed.changes(
                            self.directory.revision, self.watch_wait_ms()
                        )
                    )
                pause_ms = self._limits.retry_ms
            except HistoryGoneError:
                self._complete = False
                self._log.event("store history gone", self._versions())
            except FeedError as error:
                self._note_failure(error)
                await asyncio.sleep(
                    pause_ms * self._rng.uniform(0.7, 1.3) / 1000
                )
                pause_ms = min(pause_ms * 2, self._limits.retry_max_ms)

    def watch_wait_ms(self) -> float:
        """Returns how long the next watch waits.

        Waits are spread widely: events end the watches of all daemons at the
        same moment, and with equal waits they would also end together.
        """
        limits = self._limits
        if self._failing:
            # An answer at once tells that the store is back. A watch that it
            # does not answer would hide its return until the end of the wait.
            return 0.0
        daemons = max(1, len(self.directory.hosts()))
        mean_ms = daemons / limits.watches_per_s * 1000
        mean_ms = min(limits.watch_max_ms, max(limits.watch_min_ms, mean_ms))
        return mean_ms * self._rng.uniform(0.3, 1.7)

    async def ask_seeds(self) -> None:
        """Asks the seeds once, when the store has not answered at the start."""
        for seed in self._settings.seeds:
            if self.index is not None:
                return
            await self._fetch_from(seed.host, seed.port)

    def on_peer_versions(
        self, host: str, table_version: int, list_revision: int, now_ms: float
    ) -> None:
        """Takes in what a peer knows."""
        if (
            table_version <= self.table_version
            and list_revision <= self.directory.revision
        ):
            return
        if not self._behind_host:
            self._behind_host, self._behind_ms = host, now_ms

    def state_beyond(self, request: frames.Fetch) -> frames.State:
        """Returns what is known beyond some versions."""
        table = None
        if self.index and self.table_version > request.table_version:
            table = self.index.table
        targets = None
        if self.directory.revision > request.list_revision:
            targets = list(self.directory.targets)
        return frames.State(table, targets, self.directory.revision)

    async def tick(self, now_ms: float) -> None:
        """Expires targets, and asks a peer that knows more."""
        for target in self.directory.expire(now_ms):
            self._log.event("target gone", target.target_id)
            self.on_change()
        if not self._behind_host or self._fetching:
            return
        if now_ms - self._behind_ms < PEER_WAIT_MS and self.index is not None:
            return
        host, self._behind_host = self._behind_host, ""
        self._fetching = True
        try:
            await self._fetch_from(host, self._settings.listen.peers.port)
        finally:
            self._fetching = False

    async def _fetch_from(self, host: str, port: int) -> None:
        request = frames.Fetch(self.table_version, self.directory.revision)
        state = await self._peers.fetch(host, port, request)
        if state is None:
            return
        if state.table is not None:
            self._use_table(state.table, host)
        if state.targets is not None and self.directory.replace(
            state.targets,
            state.list_revision,
            clock.monotonic_ms(),
            self._failing,
        ):
            self._log.event("list in force", f"{self._versions()} from {host}")
        self.on_change()

    def _use_snapshot(self, snapshot: Snapshot) -> None:
        after_outage = self._note_contact()
        if snapshot.table is not None:
            self._use_table(snapshot.table, "store")
        self._complete = True
        if self.directory.replace(
            snapshot.targets,
            snapshot.revision,
            clock.monotonic_ms(),
            after_outage,
        ):
            self._log.event("list in force", f"{self._versions()} from store")
        self.on_change()

    def _use_changes(self, changes: Changes) -> None:
        after_outage = self._note_contact()
        if changes.table is not None:
            self._use_table(changes.table, "store")
        if changes.revision < self.directory.revision:
            # A peer has told more meanwhile.
            return
        now_ms = clock.monotonic_ms()
        for target in changes.changed:
            self.directory.put(target)
            self._log.event(
                "target changed",
                f"{target.target_id} {target.service} {target.state} "
                f"at {target.host}, revision {target.revision}",
            )
        for target_id in changes.gone:
            self.directory.remove(target_id, now_ms, after_outage)
            self._log.event("target removed", target_id)
        self.directory.revision = changes.revision
        if changes.changed or changes.gone:
            self.on_change()

    def _use_table(self, table: records.RouteTable, source: str) -> None:
        if table.version <= self.table_version:
            if table.version < self.table_version:
                self._log.event(
                    "table refused",
                    f"version {table.version} from {source}, "
                    f"{self.table_version} is in force",
                    int(codes.Code.TABLE_OLDER),
                )
            return
        self.index = routing.RouteIndex(table)
        self._log.event(
            "table in force", f"version {table.version} from {source}"
        )

    def _note_contact(self) -> bool:
        """Notes an answer of the store.

        Returns:
          Whether it ends an outage. Only what this answer lacks may have
          lapsed meanwhile; what goes later has left.
        """
        self.contact_ms = clock.monotonic_ms()
        self.on_contact()
        if not self._failing:
            return False
        self._failing = False
        self._log.event("store regained", self._versions())
        return True

    def _note_failure(self, error: FeedError) -> None:
        if not self._failing:
            self._failing = True
            self._log.event("store lost", f"{error}; {self._versions()}")

    def _versions(self) -> str:
        return (
            f"table {self.table_version}, list {self.directory.revision}, "
            f"{len(self.directory)} targets"
        )
