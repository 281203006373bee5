"""News between daemons: who follows this one, and whom it follows."""

import asyncio
import typing

from mimosahaven import clock
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import watchduty

# Pause before a source that was lost is tried again.
RETRY_MS = 500.0
# A follower with more than this unread is dropped; it asks again when it can.
UNREAD_BYTES_MAX = 4_000_000


class Follower(typing.Protocol):
    """Connection of a daemon that follows this one."""

    def push(self, data: bytes) -> int:
        """Sends an encoded frame; returns the bytes that are unread."""

    def drop(self) -> None:
        """Ends the connection."""


class Followers:
    """The daemons that follow this one."""

    def __init__(self):
        self._followers: set[Follower] = set()
        self._signed_ms = 0.0

    def __len__(self) -> int:
        return len(self._followers)

    def add(self, follower: Follower) -> None:
        """Takes in a new follower."""
        self._followers.add(follower)

    def discard(self, follower: Follower) -> None:
        """Forgets a follower that has ended."""
        self._followers.discard(follower)

    def publish(self, frame: frames.Frame) -> None:
        """Sends a frame to all."""
        if not self._followers:
            return
        data = frames.encode(frame)
        for follower in list(self._followers):
            if follower.push(data) > UNREAD_BYTES_MAX:
                follower.drop()

    def sign_due(self, now_ms: float) -> bool:
        """Returns whether the next sign of life is due."""
        if now_ms - self._signed_ms < watchduty.SIGN_INTERVAL_MS:
            return False
        self._signed_ms = now_ms
        return True


class Subscriptions:
    """Connections to the daemons that this one follows.

    Args:
      replica: Where their news goes, and what knows the sources.
      peers: Opens the connections.
      tasks: Keeps the running ones.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        peers: peerpool.PeerPool,
        tasks: tasks_lib.BackgroundTasks,
    ):
        self._replica = replica
        self._peers = peers
        self._tasks = tasks
        self._running: dict[str, asyncio.Task] = {}

    def tick(self, now_ms: float) -> None:
        """Subscribes to the sources that are new, and leaves the others."""
        wanted = self._replica.duty.sources(now_ms)
        for host in [h for h in self._running if h not in wanted]:
            self._running.pop(host).cancel()
        for host in wanted:
            if host not in self._running:
                self._running[host] = self._tasks.spawn(self._follow(host))

    async def _follow(self, host: str) -> None:
        replica = self._replica
        while True:
            try:
                await self._peers.follow(
                    host,
                    frames.Follow(
                        replica.table_version, replica.directory.revision
                    ),
                    lambda frame: replica.on_source(
                        host, frame, clock.monotonic_ms()
                    ),
                )
            finally:
                replica.duty.lost(host)
            await asyncio.sleep(RETRY_MS / 1000)
