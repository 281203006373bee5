"""Tests of mimosahaven.watching: load on the platform at design size."""

import random

import testtools
from testtools import matchers

from mimosahaven import watching
from tests import gossipsim

# Design size: 9 failure domains of 50 daemons.
DAEMONS = 450
DOMAINS = 9
# Bound of the page: 20 own reads a second in each failure domain, and the
# two watches of the 2 watchers, each at most every watch_wait_ms.
OWN_READS_PER_S = 20
WATCH_READS_PER_S = 4
READS_PER_S_MAX = DOMAINS * (OWN_READS_PER_S + WATCH_READS_PER_S)


class Readers:
    """A fleet whose daemons read a platform that can be down."""

    def __init__(self, **parts):
        self.fleet = gossipsim.SimulatedFleet(DAEMONS, DOMAINS, **parts)
        self.up = True
        self.own_reads = 0
        self.watch_reads = 0
        self.schedules, self.next_watch_ms = {}, {}
        for target, daemon in self.fleet.daemons.items():
            self.schedules[target] = watching.ReadSchedule(
                daemon.settings.gossip, daemon.rng, 0.0
            )
            if watching.is_watcher(daemon.view, daemon.settings):
                self.next_watch_ms[target] = 0.0

    def run(self, seconds):
        """Returns own reads and watch reads a second."""
        self.own_reads = self.watch_reads = 0
        end_ms = self.fleet.now_ms + seconds * 1000
        while self.fleet.now_ms < end_ms:
            self.fleet.step()
            for target, daemon in self.fleet.daemons.items():
                self.read(target, daemon, self.fleet.now_ms)
        return self.own_reads / seconds, self.watch_reads / seconds

    def read(self, target, daemon, now_ms):
        if target in self.next_watch_ms:
            if now_ms < self.next_watch_ms[target]:
                return
            self.next_watch_ms[target] = now_ms + 1_000
            self.watch_reads += watching.CALLS_PER_READ
        elif self.schedules[target].due(
            daemon.view.contact_ms, DAEMONS // DOMAINS, now_ms
        ):
            self.own_reads += watching.CALLS_PER_READ
        else:
            return
        if self.up:
            daemon.view.record_contact(now_ms)


class PlatformLoadTest(testtools.TestCase):
    def test_two_watchers_in_each_domain(self):
        self.assertThat(Readers().next_watch_ms, matchers.HasLength(18))

    def test_reads_stay_bounded_while_the_platform_is_up_down_and_back(self):
        # The platform allows about 2000 reads a second over all readers.
        readers = Readers()
        own, watches = readers.run(10)
        self.assertThat(own, matchers.Equals(0))
        self.assertThat(watches, matchers.LessThan(READS_PER_S_MAX))
        readers.up = False
        own, watches = readers.run(15)
        self.assertThat(own, matchers.GreaterThan(0))
        self.assertThat(own + watches, matchers.LessThan(READS_PER_S_MAX))
        readers.up = True
        readers.run(5)
        own, _ = readers.run(5)
        self.assertThat(own, matchers.Equals(0))

    def test_check_fails_without_gossip(self):
        # Each daemon must then watch by itself.
        readers = Readers(mechanisms={"gossip": False})
        _, watches = readers.run(3)
        self.assertThat(watches, matchers.GreaterThan(READS_PER_S_MAX))


class ReadScheduleTest(testtools.TestCase):
    def test_old_contact_does_not_count(self):
        # A watcher that is cut off from the platform must not keep the
        # others from reading.
        limits = gossipsim.make_settings(gossipsim.make_member(1, 1)).gossip
        schedule = watching.ReadSchedule(limits, random.Random(1), 0.0)
        reads = []
        for now_ms in range(0, 60_000, 100):
            contact_ms = now_ms - 2_500.0
            if schedule.due(contact_ms, 10, float(now_ms)):
                reads.append(now_ms)
        self.assertThat(reads[0], matchers.GreaterThan(3_000))
        # 10 daemons at 10 reads a second: one a second each.
        self.assertThat(abs(len(reads) - 57), matchers.LessThan(12), str(reads))
