"""Tests of mimosahaven.gossip with many simulated daemons."""

import testtools
from testtools import matchers

from mimosahaven import codes
from mimosahaven import messages
from mimosahaven import table
from tests import gossipsim

# Design limits: a table is in force at all 450 daemons within 5 s, and gossip
# takes at most 11 KB/s per daemon.
DAEMONS = 450
DOMAINS = 9
IN_FORCE_MS = 5_000
BYTES_PER_S = 11_000
GOSSIP_OFF = {"mechanisms": {"gossip": False}}


def publish(fleet, target, version, **fields):
    text = gossipsim.table_text(version, **fields)
    gossip = fleet.daemons[target].gossip
    effects = gossip.offer_table(text, "platform", fleet.now_ms)
    fleet.deliver(target, effects.pushes)


def fault_codes_of(fleet):
    return {
        frozenset(r.fault.code for r in daemon.store.faults)
        for daemon in fleet.daemons.values()
    }


class SpreadTest(testtools.TestCase):
    def assert_within(self, found_ms, limit_ms):
        self.assertThat(found_ms, matchers.Not(matchers.Is(None)))
        self.assertThat(found_ms, matchers.Not(matchers.GreaterThan(limit_ms)))

    def test_table_reaches_450_daemons_within_5_s_and_11_kb_per_s(self):
        fleet = gossipsim.SimulatedFleet(DAEMONS, DOMAINS)
        fleet.loss = 0.2
        publish(fleet, "katalog-3", 2)
        reach_ms = fleet.run_until(lambda: fleet.versions() == {2}, 20_000)
        self.assert_within(reach_ms, IN_FORCE_MS)
        fleet.bytes.clear()
        start_ms = fleet.now_ms
        fleet.run_until(lambda: False, 5_000)
        seconds = (fleet.now_ms - start_ms) / 1000
        highest = max(fleet.bytes.values()) / seconds
        self.assertThat(highest, matchers.LessThan(BYTES_PER_S))

    def test_large_documents_are_not_sent_twice(self):
        # Unrequested pushes of a large table would exceed the byte limit.
        fleet = gossipsim.SimulatedFleet(90, DOMAINS)
        text = gossipsim.table_text(2, rows=500)
        size = len(text)
        # A daemon of an older release may refuse a table that is valid here.
        fault = messages.TableFault(5002, 2, table.text_hash(text), 1, "x")
        for daemon in fleet.daemons.values():
            daemon.store.record_peer_fault(fault, "katalog-9", 0.0)
        publish(fleet, "katalog-3", 2, rows=500)
        fleet.run_until(lambda: fleet.versions() == {2}, IN_FORCE_MS)
        # Each byte is counted at its sender and at its receiver.
        copies = sum(fleet.bytes.values()) / 2 / size / 90
        self.assertThat(fleet.versions(), matchers.Equals({2}))
        self.assertThat(copies, matchers.LessThan(1.5))

    def test_nothing_spreads_without_gossip(self):
        fleet = gossipsim.SimulatedFleet(30, 3, **GOSSIP_OFF)
        publish(fleet, "katalog-3", 2)
        reach_ms = fleet.run_until(lambda: fleet.versions() == {2}, 20_000)
        self.assertThat(reach_ms, matchers.Is(None))

    def test_partition_heals(self):
        fleet = gossipsim.SimulatedFleet(60, 3)
        domain = {vm.target: vm.failure_domain for vm in fleet.members}
        fleet.is_partitioned = lambda a, b: (
            (domain[a] == "domain-0") != (domain[b] == "domain-0")
        )
        publish(fleet, "katalog-0", 2)
        publish(fleet, "katalog-1", 3)
        split_ms = fleet.run_until(lambda: fleet.versions() == {2, 3}, 5_000)
        self.assert_within(split_ms, IN_FORCE_MS)
        fleet.is_partitioned = lambda a, b: False
        healed_ms = fleet.run_until(lambda: fleet.versions() == {3}, 20_000)
        self.assert_within(healed_ms, IN_FORCE_MS)

    def test_conflicting_tables_of_one_version_are_reported_everywhere(self):
        fleet = gossipsim.SimulatedFleet(60, 3)
        publish(fleet, "katalog-0", 2, weight=10)
        publish(fleet, "katalog-1", 2, weight=90)
        conflict = {frozenset({int(codes.Code.TABLE_CONFLICT)})}
        spread_ms = fleet.run_until(
            lambda: fault_codes_of(fleet) == conflict, 10_000
        )
        self.assert_within(spread_ms, IN_FORCE_MS)
        publish(fleet, "katalog-2", 3)
        no_faults = {frozenset()}
        cleared_ms = fleet.run_until(
            lambda: fault_codes_of(fleet) == no_faults, 10_000
        )
        self.assertThat(fleet.versions(), matchers.Equals({3}))
        self.assert_within(cleared_ms, IN_FORCE_MS)

    def test_invalid_table_is_reported_everywhere(self):
        fleet = gossipsim.SimulatedFleet(60, 3)
        publish(fleet, "katalog-0", 2, weight=101)
        invalid = {frozenset({int(codes.Code.TABLE_INVALID)})}
        spread_ms = fleet.run_until(
            lambda: fault_codes_of(fleet) == invalid, 10_000
        )
        self.assert_within(spread_ms, IN_FORCE_MS)
        self.assertThat(fleet.versions(), matchers.Equals({1}))

    def test_new_list_reaches_all(self):
        fleet = gossipsim.SimulatedFleet(60, 3)
        daemon = fleet.daemons["katalog-0"]
        text = gossipsim.list_text(2, fleet.members[:-1])
        effects = daemon.gossip.offer_list(text, fleet.now_ms)
        fleet.deliver("katalog-0", effects.pushes)
        views = [daemon.fleet_view for daemon in fleet.daemons.values()]
        spread_ms = fleet.run_until(
            lambda: all(view.version == 2 for view in views), IN_FORCE_MS
        )
        self.assert_within(spread_ms, IN_FORCE_MS)

    def test_leaving_and_restart_reach_450_daemons(self):
        # Peers must stop sending new work within seconds and resume after a
        # restart, although incarnations have no order. With only a bounded
        # number of sends, a daemon that missed the report kept the old state.
        fleet = gossipsim.SimulatedFleet(DAEMONS, DOMAINS)
        fleet.loss = 0.2
        target = "katalog-7"

        def all_others_see(leaving):
            return all(
                daemon.fleet_view.is_leaving(target) == leaving
                for name, daemon in fleet.daemons.items()
                if name != target
            )

        fleet.run_until(lambda: False, 2_000)
        gossip = fleet.daemons[target].gossip
        fleet.deliver(target, gossip.set_state("leaving", fleet.now_ms))
        left_ms = fleet.run_until(lambda: all_others_see(True), 20_000)
        self.assert_within(left_ms, IN_FORCE_MS)
        self.assertThat(gossip.set_state("ready", 0.0), matchers.Equals([]))
        self.assertThat(gossip.reports.own.state, matchers.Equals("leaving"))
        restarted = fleet.restart(target)
        restarted.gossip.offer_list(
            gossipsim.list_text(1, fleet.members), fleet.now_ms
        )
        restarted.gossip.set_state("ready", fleet.now_ms)
        returned_ms = fleet.run_until(lambda: all_others_see(False), 20_000)
        self.assert_within(returned_ms, 2 * IN_FORCE_MS)

    def test_strikes_are_spread_once(self):
        fleet = gossipsim.SimulatedFleet(30, 3)
        strike = messages.Strike("f", "katalog-1.x.1", False)
        gossip = fleet.daemons["katalog-0"].gossip
        self.assertTrue(gossip.add_strike(strike, 0.0))
        self.assertFalse(gossip.add_strike(strike, 0.0))
        digest = gossip.digest(0.0)
        first, second = (
            fleet.daemons["katalog-1"].gossip.on_message(digest, "katalog-0", 0)
            for _ in range(2)
        )
        self.assertThat(first.strikes, matchers.Equals([strike]))
        self.assertThat(second.strikes, matchers.Equals([]))


class SurplusTest(testtools.TestCase):
    def test_surplus_stays_in_the_failure_domain(self):
        """The surplus of 100 rows in every digest took 20 KB/s per daemon."""
        fleet = gossipsim.SimulatedFleet(30, 3)
        gossip = fleet.daemons["katalog-3"].gossip
        gossip.surplus = {"shop/order": 1.5}
        local_domain = fleet.daemons["katalog-3"].settings.target.failure_domain
        surplus_by_locality = {
            sent.member.failure_domain == local_domain: sent.message.surplus
            for number in range(20)
            for sent in gossip.next_round(fleet.now_ms + number)
        }
        self.assertThat(
            surplus_by_locality,
            matchers.Equals({True: {"shop/order": 1.5}, False: {}}),
        )
