"""Time until a change of the configuration is in force on all daemons."""

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
            lag_s = fleet.rng.uniform(0, 1)
            await asyncio.sleep(lag_s)
            delay_ms = await fleet.change_delay_ms(
                fleet.daemons.keys() - excused_hosts, SETTLE_S
            )
            store = fleet.store
            store.cut_off, store.deaf = set(), set()
            store.response_s = modelfleet.RESPONSE_S
            fleet.unreachable = set()
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


async def cut_off_watchers(fleet):
    """Takes the path to the store from all fleet watchers."""
    fleet.store.cut_off = fleet.fleet_watchers()
    return fleet.store.cut_off


async def cut_off_one_watcher(fleet):
    fleet.store.cut_off = {min(fleet.fleet_watchers())}
    return fleet.store.cut_off


async def cut_off_relays(fleet):
    """Takes the path to the store from all fleet watchers and relays."""
    fleet.store.cut_off = fleet.fleet_watchers() | fleet.relays()
    return fleet.store.cut_off


async def cut_off_all_but_one_per_domain(fleet):
    """Takes the path to the store from all but the last in each order."""
    fleet.store.cut_off = fleet.all_but_last_candidates()
    return fleet.store.cut_off


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
