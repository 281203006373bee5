import asyncio

import testtools

from mimosahaven import clock
from mimosahaven.mesh import feed as feed_lib
from tests.mesh import fleet as fleet_lib
from tests.mesh import samples


def table_change(version):
    table = samples.table(samples.route(), version=version)
    return feed_lib.Changes(version, table, [], [])


class SubscriptionsTest(testtools.TestCase):
    """Daemons that follow others, over real sockets."""

    def run_scenario(self, scenario):
        async def run():
            async with fleet_lib.Fleet(["katalog"] * 5) as fleet:
                are_watchers = [
                    daemon.replica.watcher_selection.is_designated
                    for daemon in fleet.daemons
                ]
                await fleet_lib.wait_until(
                    lambda: all(
                        len(daemon.followers) >= 3
                        for daemon, is_watcher in zip(
                            fleet.daemons, are_watchers, strict=True
                        )
                        if is_watcher
                    )
                )
                await scenario(fleet, are_watchers)

        asyncio.run(asyncio.wait_for(run(), 30))

    async def wait_for_version(self, daemons, version):
        await fleet_lib.wait_until(
            lambda: all(
                daemon.replica.table_version == version for daemon in daemons
            )
        )

    def test_change_read_by_one_watcher_reaches_all(self):
        async def scenario(fleet, are_watchers):
            fleet.feeds[are_watchers.index(True)].publish(table_change(9))
            await self.wait_for_version(fleet.daemons, 9)

        self.run_scenario(scenario)

    def test_another_daemon_takes_over_when_all_watchers_stop(self):
        async def scenario(fleet, are_watchers):
            remaining = []
            for daemon, is_watcher in zip(
                fleet.daemons, are_watchers, strict=True
            ):
                if is_watcher:
                    daemon.stop()
                else:
                    remaining.append(daemon)
            await fleet_lib.wait_until(
                lambda: any(
                    daemon.replica.watcher_selection.should_watch(
                        clock.monotonic_ms()
                    )
                    for daemon in remaining
                )
            )
            for feed, is_watcher in zip(fleet.feeds, are_watchers, strict=True):
                if not is_watcher:
                    feed.publish(table_change(9))
            await self.wait_for_version(remaining, 9)

        self.run_scenario(scenario)

    def test_another_daemon_takes_over_when_the_store_refuses_watchers(self):
        async def scenario(fleet, are_watchers):
            for feed, is_watcher in zip(fleet.feeds, are_watchers, strict=True):
                if is_watcher:
                    feed.down = True
                    feed.publish(feed_lib.Changes(2, None, [], []))
                else:
                    feed.publish(table_change(9))
            await self.wait_for_version(fleet.daemons, 9)

        self.run_scenario(scenario)

    def test_stopping_daemon_reports_no_store_in_its_heartbeat(self):
        async def scenario(fleet, are_watchers):
            stopping = fleet.daemons[are_watchers.index(True)]
            stopping._term_ms = 0.0
            self.assertFalse(stopping.heartbeat().has_store)

        self.run_scenario(scenario)
