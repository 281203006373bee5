"""Routes and targets in force at this daemon, from the store and from peers."""

from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import directory as directory_lib
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import records
from mimosahaven.mesh import routing
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import watchduty

# A daemon that has just been told of newer versions waits this long for the
# store to tell it as well, before it asks the peer.
PEER_WAIT_MS = 250.0


class Replica:
    """What this daemon knows of routes and targets.

    Attributes:
      index: The routes in force, or None.
      directory: The targets.
      complete: Whether changes can be read from the directory's revision on.
      duty: Whether this daemon watches the store.
      on_change: Called when routes or targets have changed.
      publish: Called with each change, for the daemons that follow this one.
    """

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        peers: peerpool.PeerPool,
        log: eventlog.EventLog,
    ):
        self._settings = settings
        self._peers = peers
        self._log = log
        self.index: routing.RouteIndex | None = None
        self.directory = directory_lib.TargetDirectory()
        self.duty = watchduty.WatchDuty(
            settings.target.host, settings.failure_domain
        )
        self.complete = False
        self._behind_host = ""
        self._behind_ms = 0.0
        self._fetching = False
        self.on_change: Callable[[], None] = lambda: None
        self.publish: Callable[[frames.Frame], None] = lambda frame: None

    @property
    def table_version(self) -> int:
        """Version of the routes in force, 0 for none."""
        return self.index.table.version if self.index else 0

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

    def state_newer_than(
        self, request: frames.Fetch | frames.Follow
    ) -> frames.State:
        """Returns what is known beyond some versions."""
        table = None
        if self.index and self.table_version > request.table_version:
            table = self.index.table
        targets = None
        if self.directory.revision > request.list_revision:
            targets = list(self.directory.targets)
        return frames.State(
            table,
            targets,
            self.directory.revision,
            self.directory.lapsing(clock.monotonic_ms()),
        )

    def heartbeat(self, has_store: bool) -> frames.Sign:
        """Returns the sign of life for the daemons that follow this one."""
        return frames.Sign(
            has_store, self.table_version, self.directory.revision
        )

    async def refresh(self) -> bool:
        """Asks the sources what is new, after this process was stopped.

        Returns:
          Whether one has answered.
        """
        for host in self.duty.sources(clock.monotonic_ms()):
            if await self._fetch_from(host, self._settings.listen.peers.port):
                return True
        return False

    def on_source(self, host: str, frame: frames.Frame, now_ms: float) -> None:
        """Takes in what a daemon says that this one follows."""
        match frame:
            case frames.Sign():
                self.duty.heard(host, frame.has_store, now_ms)
                self.on_peer_versions(
                    host, frame.table_version, frame.list_revision, now_ms
                )
            case frames.State():
                self._use_state(frame, host)
            case frames.News():
                self._use_news(frame, host, now_ms)

    async def tick(self, now_ms: float) -> None:
        """Expires targets, and asks a peer that knows more."""
        for target in self.directory.expire(now_ms):
            self._log.event("target gone", target.target_id)
            self._changed()
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

    async def _fetch_from(self, host: str, port: int) -> bool:
        request = frames.Fetch(self.table_version, self.directory.revision)
        state = await self._peers.fetch(host, port, request)
        if state is None:
            return False
        self._use_state(state, host)
        return True

    def _use_state(self, state: frames.State, host: str) -> None:
        """Takes in what another daemon knows beyond the own versions."""
        table, targets = state.table, state.targets
        if table is not None and not self._use_table(table, host):
            table = None
        if state.list_revision <= self.directory.revision:
            # Two watchers that follow each other would pass it on for ever.
            targets = None
        if targets is not None:
            self.directory.take_over(
                targets,
                state.list_revision,
                state.lapsing,
                clock.monotonic_ms(),
            )
            # Changes can be read from here on.
            self.complete = self.index is not None
            self._log.event("list in force", f"{self.versions()} from {host}")
        if table is not None or targets is not None:
            self._changed()
            self.publish(
                frames.State(table, targets, state.list_revision, state.lapsing)
            )

    def _use_news(self, news: frames.News, host: str, now_ms: float) -> None:
        """Takes in a change that another daemon has read."""
        known = self.directory.revision
        table = news.table
        if table is not None and not self._use_table(table, host):
            table = None
        if news.after > known:
            # A change was missed, for example while the connection was down.
            self.on_peer_versions(
                host, self.table_version, news.list_revision, now_ms
            )
        elif news.list_revision > known:
            for target in news.changed:
                if target.revision > known:
                    self._put(target)
            for target_id in news.gone:
                self._remove(target_id, now_ms, False)
            for target_id, left_ms in news.lapsing.items():
                self.directory.lapse(target_id, now_ms + left_ms)
            self.directory.revision = news.list_revision
            self._changed()
            self.publish(news)
            return
        if table is not None:
            self._changed()
            self.publish(frames.State(table, None, known, {}))

    def use_snapshot(
        self, snapshot: feed_lib.Snapshot, after_outage: bool
    ) -> None:
        """Takes in what the store publishes.

        Args:
          snapshot: Everything.
          after_outage: Whether the store was away just before.
        """
        now_ms = clock.monotonic_ms()
        table = snapshot.table
        if table is not None and not self._use_table(table, "store"):
            table = None
        self.complete = True
        targets = None
        if self.directory.replace(
            snapshot.targets, snapshot.revision, now_ms, after_outage
        ):
            targets = list(self.directory.targets)
            self._log.event("list in force", f"{self.versions()} from store")
        self._changed()
        self.publish(
            frames.State(
                table,
                targets,
                self.directory.revision,
                self.directory.lapsing(now_ms),
            )
        )

    def use_changes(
        self, changes: feed_lib.Changes, after_outage: bool
    ) -> None:
        """Takes in changes of the store.

        Args:
          changes: What has changed after the directory's revision.
          after_outage: Whether the store was away just before.
        """
        table = changes.table
        if table is not None and not self._use_table(table, "store"):
            table = None
        known = self.directory.revision
        if changes.revision < known:
            # A peer has told more meanwhile.
            if table is not None:
                self.publish(frames.State(table, None, known, {}))
            return
        now_ms = clock.monotonic_ms()
        for target in changes.changed:
            self._put(target)
        for target_id in changes.gone:
            self._remove(target_id, now_ms, after_outage)
        self.directory.revision = changes.revision
        if not (table or changes.changed or changes.gone):
            return
        self._changed()
        lapsing = self.directory.lapsing(now_ms)
        self.publish(
            frames.News(
                known,
                changes.revision,
                table,
                changes.changed,
                [i for i in changes.gone if i not in lapsing],
                lapsing,
            )
        )

    def _changed(self) -> None:
        self.duty.set_targets(self.directory.targets)
        self.on_change()

    def _put(self, target: records.Target) -> None:
        self.directory.put(target)
        self._log.event(
            "target changed",
            f"{target.target_id} {target.service} {target.state} "
            f"at {target.host}, revision {target.revision}",
        )

    def _remove(
        self, target_id: str, now_ms: float, after_outage: bool
    ) -> None:
        self.directory.remove(target_id, now_ms, after_outage)
        self._log.event("target removed", target_id)

    def _use_table(self, table: records.RouteTable, source: str) -> bool:
        """Puts routes in force; returns whether they are newer."""
        if table.version <= self.table_version:
            if table.version < self.table_version:
                self._log.event(
                    "table refused",
                    f"version {table.version} from {source}, "
                    f"{self.table_version} is in force",
                    int(codes.Code.TABLE_OLDER),
                )
            return False
        self.index = routing.RouteIndex(table)
        self._log.event(
            "table in force", f"version {table.version} from {source}"
        )
        return True

    def versions(self) -> str:
        """Returns the versions in force, for the log."""
        return (
            f"table {self.table_version}, list {self.directory.revision}, "
            f"{len(self.directory)} targets"
        )
