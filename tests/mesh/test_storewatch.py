"""Tests of when and how often the store is queried."""

import asyncio
import random

import testtools

from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import storewatch
from mimosahaven.mesh import watcherselection
from tests.mesh import samples
from tests.mesh import test_replica
from tests.mesh import virtualtime

DOMAINS = ("a", "b", "c")


def make_watch(count, seed=1):
    """Returns the store watch and replica of a fleet watcher."""
    replica = test_replica.make_replica()
    targets = [
        samples.target(
            f"i-{i}",
            f"10.0.{i // 200}.{i % 200}",
            failure_domain=DOMAINS[i % len(DOMAINS)],
        )
        for i in range(count)
    ]
    replica.directory.replace(targets, 1, 0.0, False)
    selections = make_selections(targets)
    replica.watcher_selection = next(
        selection for selection in selections if selection.is_fleet_watcher
    )
    watch = storewatch.StoreWatch(
        replica._settings,
        None,
        replica,
        test_replica.NullLog(),
        random.Random(seed),
    )
    watch._record_watching()
    return watch, replica


def make_selections(targets):
    selections = []
    for target in targets:
        selection = watcherselection.WatcherSelection(
            target.host, target.failure_domain
        )
        selection.set_targets(targets)
        selections.append(selection)
    return selections


def watcher_count(targets):
    return sum(s.should_watch(0.0) for s in make_selections(targets))


class WatchWaitTest(testtools.TestCase):
    """A store may fail to report a change to its watchers.

    This was seen in a standard run. The change is then found by the next watch
    that ends.
    """

    def test_a_watch_ends_well_within_the_bound(self):
        for count in (13, 90):
            worst_ms = 0.0
            for run in range(50):
                _, replica = make_watch(count)
                watchers = watcher_count(replica.directory.targets)
                waits = [
                    make_watch(count, run * 1000 + n)[0].watch_wait_ms()
                    for n in range(watchers)
                ]
                worst_ms = max(worst_ms, sorted(waits)[1])
            # A change must be in force within 2 s on small sites (13 VMs) and
            # within 2.5 s on large ones; 0.5 s is left to inform the peers.
            bound_ms = 1_500.0 if count == 13 else 2_000.0
            self.assertTrue(worst_ms < bound_ms, (count, worst_ms))

    def test_the_first_watch_shows_at_once_whether_the_store_responds(self):
        watch, _ = make_watch(13)
        watch._record_following()
        self.assertEqual(0.0, watch.watch_wait_ms())

    def test_store_is_polled_during_an_outage(self):
        watch, _ = make_watch(13)
        watch.record_failure(feed_lib.FeedError("no response"))
        self.assertEqual(0.0, watch.watch_wait_ms())

    def test_watch_rate_does_not_grow_with_the_fleet(self):
        rates = []
        for count in (13, 90):
            watch, replica = make_watch(count)
            watchers = watcher_count(replica.directory.targets)
            waits = [watch.watch_wait_ms() for _ in range(500)]
            rates.append(watchers * 1000 / (sum(waits) / len(waits)))
        self.assertTrue(rates[1] < rates[0] * 1.1, rates)


class BrokenFeed:
    """A feed whose first calls raise an unexpected error."""

    epoch = 0

    def __init__(self, targets):
        self._targets = targets
        self.calls = 0

    async def snapshot(self):
        self.calls += 1
        if self.calls <= 2:
            raise KeyError("not foreseen")
        return feed_lib.Snapshot(5, None, self._targets)

    async def changes(self, after, wait_ms):
        await asyncio.sleep(3600)

    async def check(self):
        pass


class UnexpectedErrorTest(testtools.TestCase):
    def test_an_unexpected_error_does_not_end_the_watch(self):
        async def scenario():
            watch, replica = make_watch(3)
            replica.complete = False
            watch._feed = BrokenFeed(list(replica.directory.targets))
            task = asyncio.ensure_future(watch.run())
            async with asyncio.timeout(20):
                while not replica.complete:
                    self.assertFalse(task.done())
                    await asyncio.sleep(0.01)
            task.cancel()
            self.assertEqual(5, replica.directory.revision)

        asyncio.run(scenario())


class ForgetfulFeed:
    """A feed that never has the changes after any revision."""

    epoch = 0

    def __init__(self, targets):
        self._targets = targets
        self.calls = 0

    async def snapshot(self):
        await self._respond()
        return feed_lib.Snapshot(5, None, self._targets)

    async def changes(self, after, wait_ms):
        await self._respond()
        raise feed_lib.HistoryGoneError("gone")

    async def check(self):
        await self._respond()

    async def _respond(self):
        self.calls += 1
        await asyncio.sleep(0.001)


class HistoryGoneTest(testtools.TestCase):
    def test_a_store_without_history_is_not_read_in_a_loop(self):
        # Seen with a restored store: 130 requests per second and watcher.
        async def scenario():
            watch, replica = make_watch(3)
            watch._feed = ForgetfulFeed(list(replica.directory.targets))
            task = asyncio.ensure_future(watch.run())
            await asyncio.sleep(1.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return watch._feed.calls

        # Twice at once, then a watch and a snapshot after each retry delay.
        self.assertTrue(asyncio.run(scenario()) < 20)


class ResettingFeed(ForgetfulFeed):
    """A feed that fails all watches at once, and no other request."""

    async def changes(self, after, wait_ms):
        await self._respond()
        if wait_ms > 0:
            raise feed_lib.FeedError("reset")
        return feed_lib.Changes(after, None, [], [])


class ResetWatchTest(testtools.TestCase):
    def test_a_store_that_resets_watches_is_not_read_in_a_loop(self):
        async def scenario():
            watch, replica = make_watch(3)
            watch._feed = ResettingFeed(list(replica.directory.targets))
            task = asyncio.ensure_future(watch.run())
            await asyncio.sleep(1.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return watch._feed.calls

        # A watch and a read after each retry delay.
        self.assertTrue(asyncio.run(scenario()) < 25)


class LongSnapshotFeed(ForgetfulFeed):
    """A feed whose snapshot takes longer than a single response may take."""

    async def snapshot(self):
        self.calls += 1
        await asyncio.sleep(1.0)
        return feed_lib.Snapshot(5, None, self._targets)

    async def check(self):
        pass


class LongSnapshotTest(testtools.TestCase):
    def test_a_snapshot_may_take_longer_than_a_response(self):
        async def scenario():
            watch, replica = make_watch(3)
            replica.complete = False
            watch._feed = LongSnapshotFeed(list(replica.directory.targets))
            self.assertTrue(watch.has_store)
            await watch.read()
            self.assertTrue(replica.complete)

        virtualtime.run(scenario())
