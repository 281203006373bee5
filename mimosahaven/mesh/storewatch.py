"""Reads and watches the store while this daemon is a watcher."""

import asyncio
import random
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import errorlog
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import storecontact

Result = typing.TypeVar("Result")

# Interval at which a daemon that does not watch checks whether it has to.
WATCH_CHECK_INTERVAL_MS = 50.0
# While no watcher reaches the store, the other daemons of a failure domain poll
# it at a combined rate of about once per this interval.
TAKEOVER_POLL_INTERVAL_MS = 100.0
# Part of the time within which a change must be in force that is left for it to
# reach all daemons from the first one whose watch returns it.
APPLY_MARGIN_MS = 500.0
# Shortest watch as a share of the longest.
WATCH_JITTER_SHARE_MIN = 0.5


class StoreWatch:
    """Updates the replica from the store.

    Args:
      settings: Settings of the daemon.
      feed: Client of the store.
      replica: Replica to update.
      log: Log of the daemon.
      rng: Source of jitter for watch timeouts and retry delays.

    Attributes:
      bounds: Bounds from which the length of a watch follows.
      contact: Responses of the store.
      read_count: Number of requests to the store, without checks.
      check_count: Number of checks whether the store responds.
      on_contact: Called on each response.
    """

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        feed: feed_lib.Feed,
        replica: replica_lib.Replica,
        log: eventlog.EventLog,
        rng: random.Random,
    ):
        self._settings = settings.store
        self.bounds = settings.bounds
        self._feed = feed
        self._replica = replica
        self._log = log
        self._rng = rng
        self._failing = False
        self._watching = False
        self.contact = storecontact.StoreContact(settings.store)
        self.read_count = 0
        self.check_count = 0
        self._epoch = 0
        self.on_contact: Callable[[], None] = lambda: None

    @property
    def has_store(self) -> bool:
        """Whether this daemon watches the store and gets responses."""
        return self._watching and not self._failing

    async def run(self) -> None:
        """Watches the store while this daemon has to; never ends on errors."""
        delay_ms = self._settings.retry_ms
        history_gone = False
        while True:
            if not self._should_watch():
                self._record_following()
                await asyncio.sleep(WATCH_CHECK_INTERVAL_MS / 1000)
                continue
            started_ms = clock.monotonic_ms()
            try:
                self.read_count += 1
                was_complete = self._replica.complete
                await self.read()
                delay_ms = self._settings.retry_ms
                if was_complete:
                    history_gone = False
            except feed_lib.HistoryGoneError as error:
                self._replica.complete = False
                self._log_epoch()
                self._log.event(
                    "store history gone",
                    f"{error}; {self._replica.describe_versions()}",
                )
                if history_gone:
                    # The snapshot did not help; the store is not read in a
                    # loop without a pause.
                    delay_ms = await self._wait_for_retry(delay_ms)
                history_gone = True
            except feed_lib.FeedError as error:
                # The store may have dropped no more than this connection.
                # The time until that was noticed is then long enough a delay.
                elapsed_ms = clock.monotonic_ms() - started_ms
                passed_ms = elapsed_ms if self.has_store else 0.0
                self.record_failure(error)
                delay_ms = await self._wait_for_retry(delay_ms, passed_ms)
            except Exception as error:  # noqa: BLE001 - the watch must go on
                errorlog.log_exception("store: unexpected error", error)
                self.record_failure(feed_lib.FeedError(repr(error)))
                delay_ms = await self._wait_for_retry(delay_ms)

    async def _wait_for_retry(
        self, delay_ms: float, passed_ms: float = 0.0
    ) -> float:
        """Waits after an error; returns the delay after the next one.

        Args:
          delay_ms: Delay, without its jitter.
          passed_ms: Part of the delay that has already passed.
        """
        jitter = self._rng.uniform(0.7, 1.3)
        wait_ms = self._retry_delay_ms(delay_ms) * jitter - passed_ms
        await asyncio.sleep(max(0.0, wait_ms) / 1000)
        return min(delay_ms * 2, self._settings.retry_max_ms)

    async def read(self) -> None:
        """Reads a snapshot, or waits for changes if the replica is complete.

        Raises:
          feed.HistoryGoneError: A snapshot has to be read instead.
          feed.FeedError: The store gave no usable response.
        """
        replica = self._replica
        if not replica.complete:
            # A snapshot has many pages, each of which has its own timeout.
            snapshot = await self._checked(self._feed.snapshot())
            self.contact.record_response(0.0, clock.monotonic_ms())
            replica.apply_snapshot(snapshot, self._record_contact())
            if self._should_watch():
                self._record_watching()
            return
        wait_ms = self.watch_wait_ms()
        watch = self._feed.changes(replica.directory.revision, wait_ms)
        changes = await self._checked(self._timed(watch, wait_ms))
        replica.apply_changes(changes, self._record_contact())
        self._record_watching()
        if changes.table or changes.changed or changes.gone:
            # Further changes often follow; one watch then returns them all.
            gap_ms = self._settings.watch_gap_ms
            if replica.watcher_selection.is_standby:
                gap_ms = self._settings.standby_gap_ms
            await asyncio.sleep(gap_ms / 1000)

    async def _checked(self, request: Awaitable[Result]) -> Result:
        """Awaits a request, and checks meanwhile that the store responds.

        There are no checks while this daemon does not have the store, as its
        followers do not rely on it then.

        Raises:
          feed.FeedError: The request or a check has failed.
        """
        if not self.has_store:
            return await request
        request_task = asyncio.ensure_future(request)
        checks_task = asyncio.ensure_future(self._check_store())
        try:
            await asyncio.wait(
                (request_task, checks_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # Checks only end when one has failed.
            task = request_task if request_task.done() else checks_task
            return task.result()
        finally:
            request_task.cancel()
            checks_task.cancel()
            await asyncio.gather(
                request_task, checks_task, return_exceptions=True
            )

    async def _check_store(self) -> None:
        """Checks the store at intervals without a response.

        Raises:
          feed.FeedError: It gave no usable response.
        """
        while True:
            pause_ms = self.contact.ms_until_check(clock.monotonic_ms())
            await asyncio.sleep(pause_ms / 1000)
            self.check_count += 1
            await self._timed(self._feed.check(), 0.0)

    async def _timed(
        self, request: Awaitable[Result], wait_ms: float
    ) -> Result:
        """Awaits a request, for no longer than a response may take.

        Args:
          request: The request.
          wait_ms: Time for which the store may wait for changes.

        Raises:
          feed.FeedError: The request has failed, or there was no response.
        """
        timeout_ms = wait_ms + (
            self.contact.timeout_ms()
            if self.has_store
            else self._settings.read_timeout_ms
        )
        started_ms = clock.monotonic_ms()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                result = await request
        except TimeoutError as error:
            raise feed_lib.FeedError(
                f"no response in {timeout_ms:.0f} ms"
            ) from error
        now_ms = clock.monotonic_ms()
        took_ms = max(0.0, now_ms - started_ms - wait_ms)
        self.contact.record_response(took_ms, now_ms)
        return result

    def watch_wait_ms(self) -> float:
        """Returns the maximum duration of the next watch.

        The store may fail to report a change, or a connection may have become
        silent. The change is then found by the next watch, which has to be in
        time for the change to be in force within the platform's bounds.

        Durations have a wide jitter: an event ends the watches of all watchers
        at the same moment, and with equal durations they would also time out
        together.
        """
        if self._failing or not self._watching:
            # An immediate response shows that the store is back, or lets this
            # daemon tell its followers that it has the store. A watch that
            # stays unanswered would hide the store's return until the wait
            # ends.
            return 0.0
        settings, bounds = self._settings, self.bounds
        max_ms = min(
            bounds.apply_s * 1000 - APPLY_MARGIN_MS,
            bounds.stable_s * 1000 - settings.read_timeout_ms,
        )
        max_ms = max(settings.watch_min_ms, max_ms)
        return max_ms * self._rng.uniform(WATCH_JITTER_SHARE_MIN, 1.0)

    def record_failure(self, error: feed_lib.FeedError) -> None:
        """Records that the store gave no usable response."""
        if not self._failing:
            self._failing = True
            self._log.event(
                "store lost",
                f"{error}; {self._describe_contact(clock.monotonic_ms())}; "
                f"{self._replica.describe_versions()}",
            )

    def _describe_contact(self, now_ms: float) -> str:
        response_ms = self.contact.response_ms
        if response_ms is None:
            return "no response before"
        return f"last response {now_ms - response_ms:.0f} ms ago"

    def _should_watch(self) -> bool:
        return (
            not self._replica.complete
            or self._replica.watcher_selection.should_watch(
                clock.monotonic_ms()
            )
        )

    def _retry_delay_ms(self, delay_ms: float) -> float:
        selection = self._replica.watcher_selection
        is_first = selection.is_fleet_watcher or selection.is_relay
        if is_first or not self._replica.complete:
            return delay_ms
        return max(delay_ms, selection.domain_size * TAKEOVER_POLL_INTERVAL_MS)

    @property
    def epoch(self) -> int:
        """Epoch of the store in its latest response."""
        return self._feed.epoch

    def _log_epoch(self) -> None:
        if self._feed.epoch != self._epoch:
            self._log.event(
                "store epoch",
                f"{self._feed.epoch}, was {self._epoch}; "
                f"{self._replica.describe_versions()}",
            )
            self._epoch = self._feed.epoch

    def _record_contact(self) -> bool:
        """Records a response of the store.

        Returns:
          Whether it ends an outage. Only targets missing from this response may
          have expired during the outage; targets removed later are gone.
        """
        self._log_epoch()
        self.on_contact()
        if not self._failing:
            return False
        self._failing = False
        self._log.event("store regained", self._replica.describe_versions())
        return True

    def _record_watching(self) -> None:
        if not self._watching:
            self._watching = True
            self._log.event("watching store", self._replica.describe_versions())

    def _record_following(self) -> None:
        """Records that updates come from a watcher with a working store."""
        if self._failing:
            self._failing = False
            self._log.event("store regained", "through another daemon")
        if self._watching:
            self._watching = False
            self._log.event(
                "following peers", self._replica.describe_versions()
            )
