"""Updates between daemons: followers of this daemon, and its own sources."""

import asyncio
import typing

from mimosahaven import clock
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import frames
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import watcherselection

# Delay before reconnecting to a lost source.
RECONNECT_DELAY_MS = 500.0
# A follower with more unsent bytes than this is disconnected; it can subscribe
# again later.
UNSENT_BYTES_MAX = 4_000_000


class Follower(typing.Protocol):
    """Connection to a daemon that follows this one."""

    def push(self, data: bytes) -> int:
        """Sends an encoded frame; returns the number of buffered bytes."""

    def abort(self) -> None:
        """Aborts the connection."""


class Followers:
    """The daemons that follow this one."""

    def __init__(self):
        self._followers: set[Follower] = set()
        self._heartbeat_ms = 0.0
        # What the last heartbeat has told of the store.
        self._told = (False, False)

    def __len__(self) -> int:
        return len(self._followers)

    def add(self, follower: Follower) -> None:
        """Adds a follower."""
        self._followers.add(follower)

    def discard(self, follower: Follower) -> None:
        """Removes a disconnected follower."""
        self._followers.discard(follower)

    def publish(self, frame: frames.Frame) -> None:
        """Sends a frame to all followers."""
        if not self._followers:
            return
        data = frames.encode(frame)
        for follower in list(self._followers):
            if follower.push(data) > UNSENT_BYTES_MAX:
                follower.abort()

    def heartbeat_due(self, heartbeat: frames.Sign, now_ms: float) -> bool:
        """Returns whether a heartbeat is due; if so, restarts the interval.

        One is due at intervals, and as soon as this daemon gets or loses the
        store or its own watch of it: a relay relies on those that watch.
        """
        elapsed_ms = now_ms - self._heartbeat_ms
        told = heartbeat.has_store, heartbeat.watches_store
        if (
            elapsed_ms < watcherselection.HEARTBEAT_INTERVAL_MS
            and told == self._told
        ):
            return False
        self._heartbeat_ms, self._told = now_ms, told
        return True


class Subscriptions:
    """Subscriptions to the daemons that this one follows.

    Args:
      replica: Receives the updates and selects the sources.
      peers: Opens the connections.
      tasks: Runs the subscriptions.
      log: Log of the daemon.

    Attributes:
      live_sources: VMs of the sources that had the store at the last tick.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        peers: peerpool.PeerPool,
        tasks: tasks_lib.BackgroundTasks,
        log: eventlog.EventLog,
    ):
        self._replica = replica
        self._peers = peers
        self._tasks = tasks
        self._log = log
        self._running: dict[str, asyncio.Task] = {}
        self.live_sources: list[str] = []

    def tick(self, now_ms: float) -> None:
        """Subscribes to new sources and unsubscribes from obsolete ones."""
        selection = self._replica.watcher_selection
        wanted = selection.sources(now_ms)
        for host in [h for h in self._running if h not in wanted]:
            self._running.pop(host).cancel()
        for host in wanted:
            # A subscription ends by itself only with an unexpected error.
            if host not in self._running or self._running[host].done():
                self._running[host] = self._tasks.spawn(self._follow(host))
        live_sources = selection.live_sources(now_ms)
        if live_sources != self.live_sources:
            self.live_sources = live_sources
            self._log.event(
                "store sources",
                f"{', '.join(live_sources) or 'none'} of {', '.join(wanted)}",
            )

    async def _follow(self, host: str) -> None:
        replica = self._replica
        while True:
            try:
                await self._peers.follow(
                    host,
                    frames.Follow(
                        replica.table_version, replica.directory.revision
                    ),
                    lambda frame: replica.on_source_frame(
                        host, frame, clock.monotonic_ms()
                    ),
                )
            finally:
                replica.watcher_selection.forget(host)
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)
