"""Tests of mimosahaven.watching: platform load at the design size."""

import random

import testtools
from testtools import matchers

from mimosahaven import watching
from tests import gossipsim

# Design size: 9 failure domains of 50 daemons.
DAEMONS = 450
DOMAINS = 9
# Documented limit: 20 reads a second by non-watchers in each failure domain,
# and the two watches of the 2 watchers, each at most every watch_wait_ms.
POLL_READS_PER_S = 20
WATCH_READS_PER_S = 4
READS_PER_S_MAX = DOMAINS * (POLL_READS_PER_S + WATCH_READS_PER_S)


class SimulatedReaders:
    """A simulated fleet that reads a platform, which can be down."""

    def __init__(self, **overrides):
        self.fleet = gossipsim.SimulatedFleet(DAEMONS, DOMAINS, **overrides)
        self.platform_up = True
        self.poll_reads = 0
        self.watch_reads = 0
        self.schedules, self.next_watch_ms = {}, {}
        for target, daemon in self.fleet.daemons.items():
            self.schedules[target] = watching.ReadSchedule(
                daemon.settings.gossip, daemon.rng, 0.0
            )
            if watching.is_watcher(daemon.fleet_view, daemon.settings):
                self.next_watch_ms[target] = 0.0

    def run(self, seconds):
        """Returns reads by non-watchers and watch reads per second."""
        self.poll_reads = self.watch_reads = 0
        end_ms = self.fleet.now_ms + seconds * 1000
        while self.fleet.now_ms < end_ms:
            self.fleet.step()
            for target, daemon in self.fleet.daemons.items():
                self.read(target, daemon, self.fleet.now_ms)
        return self.poll_reads / seconds, self.watch_reads / seconds

    def read(self, target, daemon, now_ms):
        if target in self.next_watch_ms:
            if now_ms < self.next_watch_ms[target]:
                return
            self.next_watch_ms[target] = now_ms + 1_000
            self.watch_reads += watching.CALLS_PER_READ
        elif self.schedules[target].due(
            daemon.fleet_view.contact_ms, DAEMONS // DOMAINS, now_ms
        ):
            self.poll_reads += watching.CALLS_PER_READ
        else:
            return
        if self.platform_up:
            daemon.fleet_view.record_contact(now_ms)


class PlatformLoadTest(testtools.TestCase):
    def test_two_watchers_in_each_domain(self):
        self.assertThat(
            SimulatedReaders().next_watch_ms, matchers.HasLength(18)
        )

    def test_reads_stay_bounded_while_the_platform_is_up_down_and_back(self):
        # The platform allows about 2000 reads a second over all readers.
        readers = SimulatedReaders()
        polls, watches = readers.run(10)
        self.assertThat(polls, matchers.Equals(0))
        self.assertThat(watches, matchers.LessThan(READS_PER_S_MAX))
        readers.platform_up = False
        polls, watches = readers.run(15)
        self.assertThat(polls, matchers.GreaterThan(0))
        self.assertThat(polls + watches, matchers.LessThan(READS_PER_S_MAX))
        readers.platform_up = True
        readers.run(5)
        polls, _ = readers.run(5)
        self.assertThat(polls, matchers.Equals(0))

    def test_reads_exceed_the_bound_without_gossip(self):
        # Without gossip, every daemon has to watch the platform.
        readers = SimulatedReaders(mechanisms={"gossip": False})
        _, watches = readers.run(3)
        self.assertThat(watches, matchers.GreaterThan(READS_PER_S_MAX))


class ReadScheduleTest(testtools.TestCase):
    def test_old_contact_does_not_count(self):
        # A watcher that cannot reach the platform must not prevent the other
        # daemons from reading it.
        gossip_settings = gossipsim.make_settings(
            gossipsim.make_member(1, 1)
        ).gossip
        schedule = watching.ReadSchedule(gossip_settings, random.Random(1), 0.0)
        reads = []
        for now_ms in range(0, 60_000, 100):
            contact_ms = now_ms - 2_500.0
            if schedule.due(contact_ms, 10, float(now_ms)):
                reads.append(now_ms)
        self.assertThat(reads[0], matchers.GreaterThan(3_000))
        # 10 daemons share 10 reads a second: one a second each, after the first
        # 3 s.
        self.assertThat(abs(len(reads) - 57), matchers.LessThan(12), str(reads))
