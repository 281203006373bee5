"""Routes and targets in force at this daemon, from the store and from peers."""

import asyncio
import random
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import directory as directory_lib
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import peerlink
from mimosahaven.mesh import records
from mimosahaven.mesh import routing
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import watchduty

# A daemon that has just been told of newer versions waits this long for the
# store to tell it as well, before it asks the peer.
PEER_WAIT_MS = 250.0
# A daemon that does not watch looks this often whether it has to.
DUTY_CHECK_MS = 50.0
# While no watcher reaches the store, the other daemons of a failure domain
# together ask it about once in this time.
STEPPED_IN_PAUSE_MS = 100.0


class Replica:
    """What this daemon knows of routes and targets.

    Attributes:
      index: The routes in force, or None.
      directory: The targets.
      duty: Whether this daemon watches the store.
      contact_ms: Time of the last answer of the store, or None.
      on_change: Called when routes or targets have changed.
      on_contact: Called when the store has answered.
      publish: Called with each change, for the daemons that follow this one.
    """

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        feed: feed_lib.Feed,
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
        self.duty = watchduty.WatchDuty(
            settings.target.host, settings.failure_domain
        )
        self._failing = False
        self._watching = False
        self._behind_host = ""
        self._behind_ms = 0.0
        self._fetching = False
        self._complete = False
        self.on_change: Callable[[], None] = lambda: None
        self.on_contact: Callable[[], None] = lambda: None
        self.publish: Callable[[frames.Frame], None] = lambda frame: None

    @property
    def table_version(self) -> int:
        """Version of the routes in force, 0 for none."""
        return self.index.table.version if self.index else 0

    @property
    def has_store(self) -> bool:
        """Whether this daemon watches the store and has its answers."""
        return self._watching and not self._failing

    async def follow_store(self) -> None:
        """Watches the store while that is a duty; errors never end it."""
        pause_ms = self._limits.retry_ms
        while True:
            if self._complete and not self.duty.watches(clock.monotonic_ms()):
                self._note_watching(False)
                await asyncio.sleep(DUTY_CHECK_MS / 1000)
                continue
            try:
                await self._read_store()
                pause_ms = self._limits.retry_ms
            except feed_lib.HistoryGoneError:
                self._complete = False
                self._log.event("store history gone", self._versions())
            except feed_lib.FeedError as error:
                self._note_failure(error)
                await asyncio.sleep(
                    self._retry_pause_ms(pause_ms)
                    * self._rng.uniform(0.7, 1.3)
                    / 1000
                )
                pause_ms = min(pause_ms * 2, self._limits.retry_max_ms)

    async def _read_store(self) -> None:
        if not self._complete:
            self._use_snapshot(await self._feed.snapshot())
            return
        changes = await self._feed.changes(
            self.directory.revision, self.watch_wait_ms()
        )
        self._use_changes(changes)
        self._note_watching(True)
        if changes.table or changes.changed or changes.gone:
            # Further changes often follow; one call takes them all.
            gap_ms = self._limits.watch_gap_ms
            if self.duty.standby:
                gap_ms = self._limits.standby_gap_ms
            await asyncio.sleep(gap_ms / 1000)

    def _retry_pause_ms(self, pause_ms: float) -> float:
        if self.duty.designated or not self._complete:
            return pause_ms
        return max(pause_ms, self.duty.domain_size * STEPPED_IN_PAUSE_MS)

    def watch_wait_ms(self) -> float:
        """Returns how long the next watch waits.

        Waits are spread widely: events end the watches of all watchers at the
        same moment, and with equal waits they would also end together.
        """
        limits = self._limits
        if self._failing:
            # An answer at once tells that the store is back. A watch that it
            # does not answer would hide its return until the end of the wait.
            return 0.0
        watchers = self.duty.domain_count * watchduty.WATCHERS_PER_DOMAIN
        mean_ms = watchers / limits.watches_per_s * 1000
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

    def state_beyond(
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

    def sign(self, leaving: bool) -> frames.Sign:
        """Returns the sign of life for the daemons that follow this one."""
        return frames.Sign(
            self.has_store and not leaving,
            self.table_version,
            self.directory.revision,
        )

    async def refresh(self) -> None:
        """Asks a source what is new, after this process was stopped."""
        for host in self.duty.sources(clock.monotonic_ms()):
            if await self._fetch_from(host, self._settings.listen.peers.port):
                return

    def on_source(self, host: str, frame: frames.Frame, now_ms: float) -> None:
        """Takes in what a daemon says that this one follows."""
        match frame:
            case frames.Sign():
                self.duty.heard(host, frame.has_store, now_ms)
                if frame.has_store and self._failing and not self._watching:
                    self._failing = False
                    self._log.event("store regained", f"through {host}")
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
        self.on_contact()
        self._use_state(state, host)
        return True

    def _use_state(self, state: frames.State, host: str) -> None:
        """Takes in what another daemon knows beyond the own versions."""
        table, targets = state.table, state.targets
        if table is not None and not self._use_table(table, host):
            table = None
        if targets is not None and not self.directory.take_over(
            targets, state.list_revision, state.lapsing, clock.monotonic_ms()
        ):
            targets = None
        if targets is not None:
            # Changes can be read from here on.
            self._complete = self.index is not None
            self._log.event("list in force", f"{self._versions()} from {host}")
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

    def _use_snapshot(self, snapshot: feed_lib.Snapshot) -> None:
        after_outage = self._note_contact()
        now_ms = clock.monotonic_ms()
        table = snapshot.table
        if table is not None and not self._use_table(table, "store"):
            table = None
        self._complete = True
        targets = None
        if self.directory.replace(
            snapshot.targets, snapshot.revision, now_ms, after_outage
        ):
            targets = list(self.directory.targets)
            self._log.event("list in force", f"{self._versions()} from store")
        self._changed()
        self.publish(
            frames.State(
                table,
                targets,
                self.directory.revision,
                self.directory.lapsing(now_ms),
            )
        )

    def _use_changes(self, changes: feed_lib.Changes) -> None:
        after_outage = self._note_contact()
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

    def _note_watching(self, watching: bool) -> None:
        if watching == self._watching:
            return
        self._watching = watching
        self._log.event(
            "watching store" if watching else "following peers",
            f"{self.duty.domain_size} daemons in the failure domain",
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

    def _note_failure(self, error: feed_lib.FeedError) -> None:
        if not self._failing:
            self._failing = True
            self._log.event("store lost", f"{error}; {self._versions()}")

    def _versions(self) -> str:
        return (
            f"table {self.table_version}, list {self.directory.revision}, "
            f"{len(self.directory)} targets"
        )
