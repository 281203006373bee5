"""Local replica of routes and targets, fed by the store and by peers."""

from collections.abc import Callable
from collections.abc import Sequence

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
from mimosahaven.mesh import watcherselection

# After a peer reports newer versions, a daemon waits this long for the update
# to arrive from the store before it fetches it from the peer.
PEER_FETCH_DELAY_MS = 250.0
# Bounds the memory of ignored entries; the oldest ones are then logged again.
LOGGED_FAULTS_MAX = 1_000


class Replica:
    """Routes and targets as known to this daemon.

    Attributes:
      index: Index of the routes in force, or None.
      directory: The targets.
      complete: Whether the replica includes everything up to the directory's
        revision, so that later changes of the store can be applied to it.
      watcher_selection: Decides whether this daemon watches the store.
      on_change: Called when routes or targets have changed.
      publish: Called with each update, for the followers of this daemon.
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
        self.directory = directory_lib.TargetDirectory(
            settings.bounds.heartbeat_s * 1000
        )
        self.watcher_selection = watcherselection.WatcherSelection(
            settings.target.host, settings.failure_domain
        )
        self.complete = False
        self._newer_peer_host = ""
        self._newer_peer_since_ms = 0.0
        self._fetching = False
        self._logged_faults: dict[str, None] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.publish: Callable[[frames.Frame], None] = lambda frame: None

    @property
    def table_version(self) -> int:
        """Version of the routes in force, 0 for none."""
        return self.index.table.version if self.index else 0

    async def fetch_from_seeds(self) -> None:
        """Fetches from the seeds until routes are known, each seed once."""
        for seed in self._settings.seeds:
            if self.index is not None:
                return
            await self._fetch_from(seed.host, seed.port)

    def on_peer_versions(
        self, host: str, table_version: int, list_revision: int, now_ms: float
    ) -> None:
        """Records the versions of a peer, to fetch newer ones from it."""
        if (
            table_version <= self.table_version
            and list_revision <= self.directory.revision
        ):
            return
        if not self._newer_peer_host:
            self._newer_peer_host, self._newer_peer_since_ms = host, now_ms

    def state_newer_than(
        self, request: frames.Fetch | frames.Follow
    ) -> frames.State:
        """Returns the routes and targets newer than the given versions."""
        table = None
        if self.index and self.table_version > request.table_version:
            table = self.index.table
        targets = None
        if self.directory.revision > request.list_revision:
            targets = self.directory.listed
        return frames.State(
            table,
            targets,
            self.directory.revision,
            self.directory.lapsing(clock.monotonic_ms()),
        )

    def heartbeat(self, watches_store: bool, now_ms: float) -> frames.Sign:
        """Returns the heartbeat for the followers of this daemon.

        Args:
          watches_store: Whether it watches the store and gets responses.
          now_ms: Current time.
        """
        return frames.Sign(
            self.watcher_selection.has_store(watches_store, now_ms),
            self.table_version,
            self.directory.revision,
            watches_store,
        )

    def mark_leaving(self, target: records.Target) -> None:
        """Stops the use of a target that has announced that it leaves."""
        if self.directory.mark_leaving(target):
            self._log.event(
                "target leaving", f"{target.target_id} {target.service}"
            )
            self._notify_change()

    async def refresh(self) -> bool:
        """Fetches updates from the sources after this process was paused.

        Returns:
          Whether a source responded.
        """
        for host in self.watcher_selection.sources(clock.monotonic_ms()):
            if await self._fetch_from(host, self._settings.listen.peers.port):
                return True
        return False

    def on_source_frame(
        self, host: str, frame: frames.Frame, now_ms: float
    ) -> None:
        """Handles a frame from a daemon that this one follows."""
        match frame:
            case frames.Sign():
                self.watcher_selection.record_heartbeat(
                    host, frame.has_store, frame.watches_store, now_ms
                )
                self.on_peer_versions(
                    host, frame.table_version, frame.list_revision, now_ms
                )
            case frames.State():
                self._apply_state(frame, host)
            case frames.News():
                self._apply_news(frame, host, now_ms)

    def tick(self, now_ms: float) -> None:
        """Expires lapsed targets."""
        for target in self.directory.expire(now_ms):
            self._log.event("target gone", target.target_id)
            self._notify_change()
        for target in self.directory.restore_renewed(now_ms):
            self._log.event("target renewed", target.target_id)
            self._notify_change()

    def is_fetch_due(self, now_ms: float) -> bool:
        """Returns whether newer versions have to be fetched from a peer."""
        if not self._newer_peer_host or self._fetching:
            return False
        return (
            self.index is None
            or now_ms - self._newer_peer_since_ms >= PEER_FETCH_DELAY_MS
        )

    async def fetch_newer(self) -> None:
        """Fetches newer versions from the peer that has reported them."""
        host, self._newer_peer_host = self._newer_peer_host, ""
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
        self._apply_state(state, host)
        return True

    def _apply_state(self, state: frames.State, host: str) -> None:
        """Applies a peer's routes and targets if they are newer."""
        table, targets = state.table, state.targets
        if table is not None and not self._apply_table(table, host):
            table = None
        if state.list_revision <= self.directory.revision:
            # Two watchers that follow each other would otherwise send the same
            # list back and forth forever.
            targets = None
        if targets is not None:
            self.directory.replace_from_peer(
                targets,
                state.list_revision,
                state.lapsing,
                clock.monotonic_ms(),
            )
            # Later changes of the store can be applied to the complete list.
            self.complete = self.index is not None
            self._log.event(
                "list in force", f"{self.describe_versions()} from {host}"
            )
        if table is not None or targets is not None:
            self._notify_change()
            self.publish(
                frames.State(table, targets, state.list_revision, state.lapsing)
            )

    def _apply_news(self, news: frames.News, host: str, now_ms: float) -> None:
        """Applies a change that another daemon has read from the store."""
        known_revision = self.directory.revision
        table = news.table
        if table is not None and not self._apply_table(table, host):
            table = None
        if news.after > known_revision:
            # An earlier change was missed, for example during a disconnection;
            # the full state is fetched from the peer instead.
            self.on_peer_versions(
                host, self.table_version, news.list_revision, now_ms
            )
        elif news.list_revision > known_revision:
            for target in news.changed:
                if target.revision > known_revision:
                    self._put_target(target)
            for target_id in news.gone:
                self._remove_target(target_id, now_ms, False)
            for target_id, remaining_ms in news.lapsing.items():
                self.directory.mark_lapsing(target_id, now_ms + remaining_ms)
            self.directory.revision = news.list_revision
            self._notify_change()
            self.publish(news)
            return
        if table is not None:
            self._notify_change()
            self.publish(frames.State(table, None, known_revision, {}))

    def apply_snapshot(
        self, snapshot: feed_lib.Snapshot, after_outage: bool
    ) -> None:
        """Applies a snapshot of the store.

        Args:
          snapshot: All routes and targets.
          after_outage: Whether the store has just returned from an outage.
        """
        now_ms = clock.monotonic_ms()
        self._log_faults(snapshot.faults)
        table = snapshot.table
        if table is not None and not self._apply_table(table, "store"):
            table = None
        self.complete = True
        targets = None
        if self.directory.replace(
            snapshot.targets, snapshot.revision, now_ms, after_outage
        ):
            targets = self.directory.listed
            self._log.event(
                "list in force", f"{self.describe_versions()} from store"
            )
        self._notify_change()
        self.publish(
            frames.State(
                table,
                targets,
                self.directory.revision,
                self.directory.lapsing(now_ms),
            )
        )

    def apply_changes(
        self, changes: feed_lib.Changes, after_outage: bool
    ) -> None:
        """Applies changes read from the store.

        Args:
          changes: Changes since the directory's revision.
          after_outage: Whether the store has just returned from an outage.
        """
        self._log_faults(changes.faults)
        table = changes.table
        if table is not None and not self._apply_table(table, "store"):
            table = None
        known_revision = self.directory.revision
        if changes.revision < known_revision:
            # A peer has sent a newer list since these changes were requested.
            if table is not None:
                self.publish(frames.State(table, None, known_revision, {}))
            return
        now_ms = clock.monotonic_ms()
        for target in changes.changed:
            self._put_target(target)
        for target_id in changes.gone:
            self._remove_target(target_id, now_ms, after_outage)
        self.directory.revision = changes.revision
        if not (table or changes.changed or changes.gone):
            return
        self._notify_change()
        lapsing = self.directory.lapsing(now_ms)
        self.publish(
            frames.News(
                known_revision,
                changes.revision,
                table,
                changes.changed,
                [i for i in changes.gone if i not in lapsing],
                lapsing,
            )
        )

    def _log_faults(self, faults: Sequence[str]) -> None:
        """Logs each ignored entry once, although each snapshot has it."""
        for fault in faults:
            if fault not in self._logged_faults:
                self._logged_faults[fault] = None
                self._log.event("entry ignored", fault)
        while len(self._logged_faults) > LOGGED_FAULTS_MAX:
            del self._logged_faults[next(iter(self._logged_faults))]

    def _notify_change(self) -> None:
        self.watcher_selection.set_targets(self.directory.targets)
        self.on_change()

    def _put_target(self, target: records.Target) -> None:
        self.directory.put(target)
        self._log.event(
            "target changed",
            f"{target.target_id} {target.service} {target.state} "
            f"at {target.host}, "
            f"revision {records.describe_revision(target.revision)}",
        )

    def _remove_target(
        self, target_id: str, now_ms: float, after_outage: bool
    ) -> None:
        self.directory.remove(target_id, now_ms, after_outage)
        self._log.event("target removed", target_id)

    def _apply_table(self, table: records.RouteTable, source: str) -> bool:
        """Puts routes in force if they are newer; returns whether they are."""
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

    def describe_versions(self) -> str:
        """Returns the versions in force as text for the log."""
        return (
            f"table {self.table_version}, "
            f"list {records.describe_revision(self.directory.revision)}, "
            f"{len(self.directory)} targets"
        )
