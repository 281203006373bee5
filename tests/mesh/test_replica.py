import asyncio
import random

import testtools

from mimosahaven.mesh import directory
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import watchduty
from tests.mesh import samples


class NoLog:
    def event(self, event, detail="", code=0):
        pass


class NoPeers:
    def __init__(self, state=None):
        self.state = state
        self.asked = []

    async def fetch(self, host, port, request):
        self.asked.append(host)
        return self.state


def make(peers=None, seed=1):
    settings = settings_lib.MeshSettings.model_validate(
        {
            "vm": "vm",
            "failure_domain": "a",
            "service": "katalog",
            "target": "10.0.0.1:80",
            "listen": {
                "callers": "10.0.0.1:1",
                "peers": "10.0.0.1:2",
                "readiness": "10.0.0.1:3",
            },
            "store": {"endpoint": "10.0.0.1:4"},
        }
    )
    return replica_lib.Replica(
        settings, None, peers or NoPeers(), NoLog(), random.Random(seed)
    )


def fill(replica, count):
    targets = [
        samples.target(f"i-{i}", f"10.0.{i // 200}.{i % 200}")
        for i in range(count)
    ]
    replica.directory.replace(targets, 1, 0.0, False)
    replica.duty.set_targets(targets)


class WatchWaitTest(testtools.TestCase):
    """A store that is silent about a change, seen on a standard day."""

    def test_some_daemon_asks_again_well_within_the_bound(self):
        for count in (13, 90):
            worst_ms = 0.0
            for day in range(50):
                waits = []
                for daemon in range(count):
                    replica = make(seed=day * 1000 + daemon)
                    fill(replica, count)
                    waits.append(replica.watch_wait_ms())
                worst_ms = max(worst_ms, sorted(waits)[1])
            # A change is in force within 2 s on the small sites (13 VMs) and
            # 2.5 s on the large ones; half a second is left for the peers.
            bound_ms = 1_500.0 if count == 13 else 5_000.0
            self.assertTrue(worst_ms < bound_ms, (count, worst_ms))

    def test_while_the_store_is_away_its_return_is_asked_for(self):
        replica = make()
        fill(replica, 13)
        replica._note_failure(feed_lib.FeedError("no answer"))
        self.assertEqual(0.0, replica.watch_wait_ms())

    def test_calls_of_the_fleet_do_not_grow_with_it(self):
        rates = []
        for count in (13, 90):
            replica = make()
            fill(replica, count)
            watchers = 0
            for target in replica.directory.targets:
                duty = watchduty.WatchDuty(target.host, target.failure_domain)
                duty.set_targets(replica.directory.targets)
                watchers += duty.watches(0.0)
            waits = [replica.watch_wait_ms() for _ in range(500)]
            rates.append(watchers * 1000 / (sum(waits) / len(waits)))
        self.assertTrue(rates[1] < rates[0] * 1.1, rates)


class PeerVersionsTest(testtools.TestCase):
    def test_a_peer_that_knows_more_is_asked_after_a_while(self):
        newer = samples.table(samples.route(), version=9)
        peers = NoPeers(frames.State(newer, None, 1, {}))
        replica = make(peers)
        replica._use_table(samples.table(samples.route(), version=1), "store")
        replica.on_peer_versions("10.0.0.7", 9, 0, 0.0)

        async def scene():
            await replica.tick(replica_lib.PEER_WAIT_MS - 1)
            self.assertEqual([], peers.asked)
            await replica.tick(replica_lib.PEER_WAIT_MS)

        asyncio.run(scene())
        self.assertEqual(["10.0.0.7"], peers.asked)
        self.assertEqual(9, replica.table_version)

    def test_an_older_table_never_comes_back(self):
        replica = make()
        replica._use_table(samples.table(samples.route(), version=5), "store")
        replica._use_table(samples.table(samples.route(), version=4), "peer")
        self.assertEqual(5, replica.table_version)


class OutageTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.replica = make()
        fill(self.replica, 2)
        self.replica._note_failure(feed_lib.FeedError("down"))

    def test_what_lapsed_in_an_outage_is_kept_for_a_while(self):
        self.replica._use_changes(feed_lib.Changes(5, None, [], ["i-0"]))
        self.assertEqual(2, len(self.replica.directory))

    def test_what_leaves_after_the_return_is_gone_at_once(self):
        # Found by a hunt (trouble-1, seed 503164754827): a target that left
        # 0.8 s after the store's return got requests for 2 s more.
        self.replica._use_changes(feed_lib.Changes(5, None, [], []))
        self.replica._use_changes(feed_lib.Changes(6, None, [], ["i-0"]))
        self.assertEqual(1, len(self.replica.directory))

    def test_followers_keep_what_lapsed_as_long_as_the_watcher(self):
        published = []
        self.replica.publish = published.append
        self.replica._use_changes(feed_lib.Changes(5, None, [], ["i-0"]))
        follower = make()
        fill(follower, 2)
        follower.on_source("10.0.0.1", published[0], 0.0)
        self.assertEqual(2, len(follower.directory))
        follower.directory.expire(directory.LAPSE_GRACE_MS + 1)
        self.assertEqual(1, len(follower.directory))

    def test_what_is_listed_again_does_not_lapse(self):
        targets = list(self.replica.directory.targets)
        self.replica._use_snapshot(feed_lib.Snapshot(5, None, targets[:1]))
        self.replica._use_snapshot(feed_lib.Snapshot(6, None, targets))
        self.assertEqual([], self.replica.directory.expire(1e12))


class NewsTest(testtools.TestCase):
    """Changes that come from a watcher, late, twice or with a gap."""

    def setUp(self):
        super().setUp()
        self.replica = make()
        fill(self.replica, 2)
        self.published = []
        self.replica.publish = self.published.append

    def tell(self, after, revision, changed=(), gone=()):
        news = frames.News(after, revision, None, list(changed), list(gone), {})
        self.replica.on_source("10.0.0.9", news, 0.0)

    def test_news_is_taken_in_and_passed_on(self):
        self.tell(1, 4, [samples.target("i-9", "10.9.0.1", revision=4)])
        self.assertEqual(3, len(self.replica.directory))
        self.assertEqual(4, self.replica.directory.revision)
        self.assertEqual(1, len(self.published))

    def test_news_of_a_second_watcher_changes_nothing(self):
        self.tell(1, 5, gone=["i-1"])
        self.tell(1, 4, [samples.target("i-1", "10.0.0.1", revision=4)])
        self.tell(1, 5, gone=["i-1"])
        self.assertEqual(1, len(self.replica.directory))
        self.assertEqual(1, len(self.published))

    def test_older_parts_of_news_do_not_bring_back_what_is_gone(self):
        self.tell(1, 5, gone=["i-1"])
        old = samples.target("i-1", "10.0.0.1", revision=4)
        new = samples.target("i-9", "10.9.0.1", revision=6)
        self.tell(1, 6, [old, new])
        ids = {target.target_id for target in self.replica.directory.targets}
        self.assertEqual({"i-0", "i-9"}, ids)

    def test_a_gap_is_filled_from_the_sender(self):
        state = frames.State(None, [samples.target()], 9, {})
        peers = NoPeers(state)
        self.replica = make(peers)
        fill(self.replica, 2)
        self.tell(7, 9)
        self.assertEqual(1, self.replica.directory.revision)

        async def scene():
            await self.replica.tick(replica_lib.PEER_WAIT_MS)

        self.replica._use_table(samples.table(samples.route()), "store")
        asyncio.run(scene())
        self.assertEqual(["10.0.0.9"], peers.asked)
        self.assertEqual(9, self.replica.directory.revision)
