import asyncio

import testtools

from mimosahaven import clock
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import subscriptions
from tests.mesh import fleet as fleet_lib
from tests.mesh import samples


def table_change(version):
    table = samples.table(samples.route(), version=version)
    return feed_lib.Changes(version, table, [], [])


class HeartbeatTest(testtools.TestCase):
    """Guards against CONFIG: relays that learn late of a lost watch."""

    def test_the_loss_of_the_own_watch_is_told_at_once(self):
        # A fleet watcher is a relay, too, and still has the store through the
        # other fleet watcher.
        followers = subscriptions.Followers()
        watching = frames.Sign(True, 1, 1, True)
        following = frames.Sign(True, 1, 1, False)
        self.assertTrue(followers.heartbeat_due(watching, 1_000.0))
        self.assertFalse(followers.heartbeat_due(watching, 1_050.0))
        self.assertTrue(followers.heartbeat_due(following, 1_100.0))
        self.assertFalse(followers.heartbeat_due(following, 1_150.0))


class SubscriptionsTest(testtools.TestCase):
    """Daemons that follow others, over real sockets."""

    def run_scenario(self, scenario):
        async def run():
            async with fleet_lib.Fleet(["katalog"] * 5) as fleet:
                are_relays = [
                    daemon.replica.watcher_selection.is_relay
                    for daemon in fleet.daemons
                ]
                await fleet_lib.wait_until(
                    lambda: all(
                        len(daemon.followers) >= 3
                        for daemon, is_relay in zip(
                            fleet.daemons, are_relays, strict=True
                        )
                        if is_relay
                    )
                )
                await scenario(fleet, are_relays)

        asyncio.run(asyncio.wait_for(run(), 30))

    async def wait_for_version(self, daemons, version):
        await fleet_lib.wait_until(
            lambda: all(
                daemon.replica.table_version == version for daemon in daemons
            )
        )

    def test_change_read_by_the_fleet_watcher_reaches_all(self):
        async def scenario(fleet, are_relays):
            [index] = [
                index
                for index, daemon in enumerate(fleet.daemons)
                if daemon.replica.watcher_selection.is_fleet_watcher
            ]
            fleet.feeds[index].publish(table_change(9))
            await self.wait_for_version(fleet.daemons, 9)

        self.run_scenario(scenario)

    def test_another_daemon_takes_over_when_all_relays_stop(self):
        async def scenario(fleet, are_relays):
            remaining = []
            for daemon, is_relay in zip(fleet.daemons, are_relays, strict=True):
                if is_relay:
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
            for feed, is_relay in zip(fleet.feeds, are_relays, strict=True):
                if not is_relay:
                    feed.publish(table_change(9))
            await self.wait_for_version(remaining, 9)

        self.run_scenario(scenario)

    def test_another_daemon_takes_over_when_the_store_refuses_relays(self):
        async def scenario(fleet, are_relays):
            for feed, is_relay in zip(fleet.feeds, are_relays, strict=True):
                if is_relay:
                    feed.down = True
                    feed.publish(feed_lib.Changes(2, None, [], []))
                else:
                    feed.publish(table_change(9))
            await self.wait_for_version(fleet.daemons, 9)

        self.run_scenario(scenario)

    def test_stopping_daemon_reports_no_store_in_its_heartbeat(self):
        async def scenario(fleet, are_relays):
            stopping = fleet.daemons[are_relays.index(True)]
            stopping.term_ms = 0.0
            self.assertFalse(stopping.heartbeat().has_store)

        self.run_scenario(scenario)

    def test_an_odd_record_of_a_source_is_refused_and_following_goes_on(self):
        # As a daemon of another version could send it.
        async def scenario(fleet, are_relays):
            odd = samples.target("i-9", slots=10**9)
            refused = []
            for daemon, is_relay in zip(fleet.daemons, are_relays, strict=True):
                if is_relay:
                    daemon.followers.publish(frames.State(None, [odd], 99, {}))
                else:
                    self.patch(
                        daemon.peers,
                        "on_frame_error",
                        lambda host, detail: refused.append((host, detail)),
                    )
            await fleet_lib.wait_until(lambda: len(refused) >= 3)
            for _, detail in refused:
                self.assertIn("1000000", detail)
            for feed in fleet.feeds:
                feed.publish(table_change(9))
            await self.wait_for_version(fleet.daemons, 9)
            for daemon in fleet.daemons:
                self.assertIsNone(daemon.replica.directory.get("i-9"))

        self.run_scenario(scenario)

    def test_a_fetch_from_a_silent_peer_does_not_stop_the_timers(self):
        # The daemon sent no heartbeats for the 1.9 s of the timeouts.
        async def scenario(fleet, are_relays):
            daemon = fleet.daemons[are_relays.index(True)]
            requests, ticks = [], []

            async def fetch(host, port, request):
                requests.append(host)
                await asyncio.get_running_loop().create_future()

            self.patch(daemon.peers, "fetch", fetch)
            self.patch(daemon.runner, "tick", ticks.append)
            daemon.on_peer_versions(fleet.hosts[-1], 99, 0)
            await fleet_lib.wait_until(lambda: requests)
            tick_count = len(ticks)
            await fleet_lib.wait_until(lambda: len(ticks) > tick_count + 2)

        self.run_scenario(scenario)
