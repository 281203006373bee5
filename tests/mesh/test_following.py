import asyncio

import testtools

from mimosahaven import clock
from mimosahaven.mesh import feed as feed_lib
from tests.mesh import fleet as fleet_lib
from tests.mesh import samples


def table_news(version):
    table = samples.table(samples.route(), version=version)
    return feed_lib.Changes(version, table, [], [])


class FollowingTest(testtools.TestCase):
    """Daemons that follow others, on sockets."""

    def play(self, scene):
        async def whole():
            async with fleet_lib.Fleet(["katalog"] * 5) as fleet:
                watchers = [
                    daemon.replica.duty.designated for daemon in fleet.daemons
                ]
                await fleet_lib.wait_until(
                    lambda: all(
                        len(daemon.followers) >= 3
                        for daemon, watches in zip(
                            fleet.daemons, watchers, strict=True
                        )
                        if watches
                    )
                )
                await scene(fleet, watchers)

        asyncio.run(asyncio.wait_for(whole(), 30))

    async def until_version(self, daemons, version):
        await fleet_lib.wait_until(
            lambda: all(
                daemon.replica.table_version == version for daemon in daemons
            )
        )

    def test_news_of_one_watcher_reaches_all(self):
        async def scene(fleet, watchers):
            fleet.feeds[watchers.index(True)].publish(table_news(9))
            await self.until_version(fleet.daemons, 9)

        self.play(scene)

    def test_another_daemon_steps_in_when_all_watchers_are_gone(self):
        async def scene(fleet, watchers):
            left = []
            for daemon, watches in zip(fleet.daemons, watchers, strict=True):
                if watches:
                    daemon.stop()
                else:
                    left.append(daemon)
            await fleet_lib.wait_until(
                lambda: any(
                    daemon.replica.duty.watches(clock.monotonic_ms())
                    for daemon in left
                )
            )
            for feed, watches in zip(fleet.feeds, watchers, strict=True):
                if not watches:
                    feed.publish(table_news(9))
            await self.until_version(left, 9)

        self.play(scene)

    def test_a_store_that_turns_the_watchers_away_is_asked_by_another(self):
        async def scene(fleet, watchers):
            for feed, watches in zip(fleet.feeds, watchers, strict=True):
                if watches:
                    feed.down = True
                    feed.publish(feed_lib.Changes(2, None, [], []))
                else:
                    feed.publish(table_news(9))
            await self.until_version(fleet.daemons, 9)

        self.play(scene)

    def test_a_daemon_that_stops_is_left_at_once(self):
        async def scene(fleet, watchers):
            stopping = fleet.daemons[watchers.index(True)]
            stopping._term_ms = 0.0
            self.assertFalse(stopping.heartbeat().has_store)

        self.play(scene)
