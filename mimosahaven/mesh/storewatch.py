"""Reads and watches the store, while that is a duty of this daemon."""

import asyncio
import random
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import watcherselection

# A daemon that does not watch looks this often whether it has to.
DUTY_CHECK_MS = 50.0
# While no watcher reaches the store, the other daemons of a failure domain
# together ask it about once in this time.
STEPPED_IN_PAUSE_MS = 100.0


class StoreWatch:
    """Keeps the replica up to date from the store.

    Args:
      settings: Settings of the store.
      feed: The store.
      replica: Takes in what is read.
      log: Log of the daemon.
      rng: Spreads waits and pauses.

    Attributes:
      contact_ms: Time of the last answer, or None.
      on_contact: Called with each answer.
    """

    def __init__(
        self,
        settings: settings_lib.StoreSettings,
        feed: feed_lib.Feed,
        replica: replica_lib.Replica,
        log: eventlog.EventLog,
        rng: random.Random,
    ):
        self._limits = settings
        self._feed = feed
        self._replica = replica
        self._log = log
        self._rng = rng
        self._failing = False
        self._watching = False
        self.contact_ms: float | None = None
        self.on_contact: Callable[[], None] = lambda: None

    @property
    def has_store(self) -> bool:
        """Whether this daemon watches the store and has its answers."""
        return self._watching and not self._failing

    async def run(self) -> None:
        """Watches while that is a duty; errors never end it."""
        pause_ms = self._limits.retry_ms
        while True:
            if not self._is_due():
                self._note_following()
                await asyncio.sleep(DUTY_CHECK_MS / 1000)
                continue
            try:
                await self.read()
                pause_ms = self._limits.retry_ms
            except feed_lib.HistoryGoneError:
                self._replica.complete = False
                self._log.event(
                    "store history gone", self._replica.describe_versions()
                )
            except feed_lib.FeedError as error:
                self.record_failure(error)
                await asyncio.sleep(
                    self._retry_pause_ms(pause_ms)
                    * self._rng.uniform(0.7, 1.3)
                    / 1000
                )
                pause_ms = min(pause_ms * 2, self._limits.retry_max_ms)

    async def read(self) -> None:
        """Reads everything, or waits for changes.

        Raises:
          feed.HistoryGoneError: Everything has to be read instead.
          feed.FeedError: There is no usable answer.
        """
        replica = self._replica
        if not replica.complete:
            snapshot = await self._feed.snapshot()
            replica.apply_snapshot(snapshot, self._note_contact())
            return
        changes = await self._feed.changes(
            replica.directory.revision, self.watch_wait_ms()
        )
        replica.apply_changes(changes, self._note_contact())
        self._note_watching()
        if changes.table or changes.changed or changes.gone:
            # Further changes often follow; one call takes them all.
            gap_ms = self._limits.watch_gap_ms
            if replica.watcher_selection.is_standby:
                gap_ms = self._limits.standby_gap_ms
            await asyncio.sleep(gap_ms / 1000)

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
        domains = self._replica.watcher_selection.domain_count
        watchers = domains * watcherselection.WATCHERS_PER_DOMAIN
        mean_ms = watchers / limits.watches_per_s * 1000
        mean_ms = min(limits.watch_max_ms, max(limits.watch_min_ms, mean_ms))
        return mean_ms * self._rng.uniform(0.3, 1.7)

    def record_failure(self, error: feed_lib.FeedError) -> None:
        """Takes in that the store gave no usable answer."""
        if not self._failing:
            self._failing = True
            self._log.event(
                "store lost", f"{error}; {self._replica.describe_versions()}"
            )

    def _is_due(self) -> bool:
        return (
            not self._replica.complete
            or self._replica.watcher_selection.should_watch(
                clock.monotonic_ms()
            )
        )

    def _retry_pause_ms(self, pause_ms: float) -> float:
        duty = self._replica.watcher_selection
        if duty.is_designated or not self._replica.complete:
            return pause_ms
        return max(pause_ms, duty.domain_size * STEPPED_IN_PAUSE_MS)

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
        self._log.event("store regained", self._replica.describe_versions())
        return True

    def _note_watching(self) -> None:
        if not self._watching:
            self._watching = True
            self._log.event("watching store", self._replica.describe_versions())

    def _note_following(self) -> None:
        """Notes that a watcher tells what is new, whose store answers."""
        if self._failing:
            self._failing = False
            self._log.event("store regained", "through another daemon")
        if self._watching:
            self._watching = False
            self._log.event(
                "following peers", self._replica.describe_versions()
            )
