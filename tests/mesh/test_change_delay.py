"""Time until a change of the configuration is in force on all daemons.

Each test is a row of the table in docs/design.md, section 18.
"""

import asyncio

import testtools
from testtools import matchers

from mimosahaven.mesh import settings as settings_lib
from tests.mesh import modelfleet
from tests.mesh import virtualtime

APPLY_MS = settings_lib.BoundSettings().apply_s * 1000
STABLE_S = settings_lib.BoundSettings().stable_s
# Faults and changes per test, each at another moment of the running watches.
ROUNDS = 20
# Longer than all timeouts, so that each round begins in a fleet at rest.
SETTLE_S = 4.0
# Longest time from a fault to the change.
LAG_MAX_S = 1.0


class ChangeDelayTestCase(testtools.TestCase):
    def worst_delay_ms(self, fault, excused_s=0.0, **fleet_options):
        """Returns the longest time from a change until it is in force.

        Args:
          fault: Coroutine function that injects a fault into a fleet; returns
            the VMs to which the bound does not apply.
          excused_s: Time from the fault in which the bound does not apply.
          fleet_options: Arguments of the fleet.
        """

        async def run_round(fleet):
            await asyncio.sleep(fleet.rng.uniform(0, 2))
            excused_hosts = await fault(fleet)
            # Most changes come directly after the fault.
            lag_s = LAG_MAX_S * fleet.rng.random() ** 3
            await asyncio.sleep(lag_s)
            delay_ms = await fleet.change_delay_ms(
                fleet.daemons.keys() - excused_hosts, SETTLE_S
            )
            fleet.end_faults()
            await asyncio.sleep(SETTLE_S)
            excused_ms = (excused_s - lag_s) * 1000 - APPLY_MS
            return delay_ms - max(0.0, excused_ms)

        async def scenario():
            fleet = modelfleet.ModelFleet(1, **fleet_options)
            fleet.start()
            await asyncio.sleep(SETTLE_S)
            delays_ms = [await run_round(fleet) for _ in range(ROUNDS)]
            fleet.stop()
            return max(delays_ms)

        return virtualtime.run(scenario())

    def assert_in_time(self, fault, **options):
        self.assertThat(
            self.worst_delay_ms(fault, **options), matchers.LessThan(APPLY_MS)
        )


async def no_fault(fleet):
    return set()


async def cut_off_one_watcher(fleet):
    fleet.store.cut_off = {min(fleet.fleet_watchers())}
    return fleet.store.cut_off


async def cut_off_watchers(fleet):
    """Takes the path to the store from all fleet watchers."""
    fleet.store.cut_off = fleet.fleet_watchers()
    return fleet.store.cut_off


async def cut_off_relays(fleet):
    """Takes the path to the store from all fleet watchers and relays."""
    fleet.store.cut_off = fleet.fleet_watchers() | fleet.relays()
    return fleet.store.cut_off


async def cut_off_all_but_one_per_domain(fleet):
    """Takes the path to the store from all but the last in each order."""
    fleet.store.cut_off = fleet.all_but_last_candidates()
    return fleet.store.cut_off


async def make_watches_deaf(fleet):
    """Lets no watch return before its wait is over."""
    fleet.store.deaf = set(fleet.daemons)
    return set()


async def silence_connections(fleet):
    fleet.store.silence_connections()
    return set()


async def lose_responses(fleet):
    fleet.store.lose_responses()
    return set()


async def forget_history(fleet):
    fleet.store.put_table()
    fleet.store.forget_history()
    return set()


async def slow_store_down(fleet):
    fleet.store.response_s = 0.2
    return set()


async def slow_store_down_beyond_the_timeout(fleet):
    fleet.store.response_s = 0.8
    return set()


async def lose_vms(fleet, hosts):
    """Cuts VMs off from the store and from all other VMs."""
    fleet.unreachable = fleet.store.cut_off = hosts
    return hosts


async def lose_one_watcher(fleet):
    return await lose_vms(fleet, {min(fleet.fleet_watchers())})


async def lose_watchers(fleet):
    return await lose_vms(fleet, fleet.fleet_watchers())


async def lose_relays(fleet):
    return await lose_vms(fleet, fleet.relays() - fleet.fleet_watchers())


async def lose_watchers_and_relays(fleet):
    return await lose_vms(fleet, fleet.relays() | fleet.fleet_watchers())


async def lose_watchers_and_cut_off_relays(fleet):
    lost = await lose_vms(fleet, fleet.fleet_watchers())
    fleet.store.cut_off = fleet.relays() | lost
    return fleet.store.cut_off


async def cut_links_from_relays(fleet):
    """Lets nothing that a relay sends reach its domain, but not the reverse."""
    fleet.cut_links = {
        (relay, host) for relay in fleet.relays() for host in fleet.daemons
    }
    return fleet.relays()


class CutOffWatcherTest(ChangeDelayTestCase):
    """Guards against CONFIG: daemons that wait for a cut-off watcher."""

    def test_without_a_fault(self):
        self.assert_in_time(no_fault)

    def test_one_fleet_watcher_is_cut_off_from_the_store(self):
        self.assert_in_time(cut_off_one_watcher)

    def test_all_fleet_watchers_are_cut_off_from_the_store(self):
        self.assert_in_time(cut_off_watchers)

    def test_all_relays_are_cut_off_from_the_store(self):
        self.assert_in_time(cut_off_relays)

    def test_one_daemon_of_each_domain_reaches_the_store(self):
        self.assert_in_time(cut_off_all_but_one_per_domain, per_domain=8)


class StoreFaultTest(ChangeDelayTestCase):
    """Guards against CONFIG: a store that responds late, or not at all."""

    def test_no_watch_reports_the_change(self):
        self.assert_in_time(make_watches_deaf)

    def test_open_connections_go_silent(self):
        self.assert_in_time(silence_connections, excused_s=STABLE_S)

    def test_responses_in_progress_are_lost(self):
        self.assert_in_time(lose_responses)

    def test_the_history_is_discarded(self):
        self.assert_in_time(forget_history)

    def test_the_store_is_slow(self):
        self.assert_in_time(slow_store_down)

    def test_the_store_is_slower_than_the_timeout_of_a_check(self):
        self.assert_in_time(slow_store_down_beyond_the_timeout)


class LostDaemonTest(ChangeDelayTestCase):
    """Guards against CONFIG: daemons that follow a lost VM."""

    def test_one_fleet_watcher_is_lost(self):
        self.assert_in_time(lose_one_watcher)

    def test_all_fleet_watchers_are_lost(self):
        self.assert_in_time(lose_watchers)

    def test_all_relays_are_lost(self):
        self.assert_in_time(lose_relays)

    def test_all_fleet_watchers_and_relays_are_lost(self):
        self.assert_in_time(lose_watchers_and_relays)

    def test_fleet_watchers_are_lost_and_relays_cut_off(self):
        self.assert_in_time(lose_watchers_and_cut_off_relays)

    def test_links_from_all_relays_are_cut_one_way(self):
        self.assert_in_time(cut_links_from_relays)
