import msgspec
import testtools

from mimosahaven.mesh import records
from mimosahaven.mesh import watcherselection
from tests.mesh import samples

SECOND_MS = 1_000.0


def fleet(domains, per_domain):
    return [
        samples.target(
            f"i-{domain}-{n}", f"10.{domain}.0.{n}", failure_domain=f"d{domain}"
        )
        for domain in range(domains)
        for n in range(per_domain)
    ]


def duties(targets):
    found = {}
    for target in targets:
        duty = watcherselection.WatcherSelection(
            target.host, target.failure_domain
        )
        duty.set_targets(targets)
        found[target.host] = duty
    return found


def settle(all_duties, dead=(), no_store=(), until_ms=4 * SECOND_MS):
    """Lets the daemons hear each other for a while; returns who watches."""
    watching = {}
    now_ms = 0.0
    while now_ms <= until_ms:
        for host, duty in all_duties.items():
            if host in dead:
                continue
            for source in duty.sources(now_ms):
                if source in dead:
                    duty.forget(source)
                else:
                    has_store = (
                        watching.get(source, False) and source not in no_store
                    )
                    duty.record_heartbeat(source, has_store, now_ms)
        watching = {
            host: duty.should_watch(now_ms)
            for host, duty in all_duties.items()
            if host not in dead
        }
        now_ms += 50.0
    return {host for host, watches in watching.items() if watches}


class CallsTest(testtools.TestCase):
    """Every change wakes the whole fleet, seen on the grown sites."""

    def test_watchers_do_not_grow_with_the_fleet(self):
        for per_domain in (4, 23, 50):
            watching = settle(duties(fleet(3, per_domain)))
            self.assertEqual(6, len(watching))

    def test_each_failure_domain_has_its_own(self):
        watching = settle(duties(fleet(4, 5)))
        for domain in range(4):
            inside = [h for h in watching if h.startswith(f"10.{domain}.")]
            self.assertEqual(2, len(inside))


class LossTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.duties = duties(fleet(2, 20))
        self.designated = {
            host for host, duty in self.duties.items() if duty.is_designated
        }

    def test_with_one_watcher_left_nobody_steps_in(self):
        lost = next(iter(self.designated))
        watching = settle(self.duties, dead={lost})
        self.assertEqual(self.designated - {lost}, watching)

    def test_few_step_in_when_all_watchers_are_dead(self):
        watching = settle(self.duties, dead=self.designated)
        self.assertEqual(2, len(watching))

    def test_few_step_in_when_the_store_turns_the_watchers_away(self):
        watching = settle(self.duties, no_store=self.designated)
        self.assertEqual(2, len(watching - self.designated))

    def test_all_ask_when_the_store_turns_all_away(self):
        watching = settle(self.duties, no_store=set(self.duties))
        self.assertEqual(set(self.duties), watching)

    def test_a_silent_watcher_is_replaced_within_the_bound(self):
        # A change must be in force within 2 s.
        host, duty = next(
            (host, duty)
            for host, duty in self.duties.items()
            if not duty.is_designated
        )
        for source in duty.sources(0.0):
            duty.record_heartbeat(source, True, 0.0)
        self.assertFalse(
            duty.should_watch(watcherselection.HEARTBEAT_TIMEOUT_MS)
        )
        now_ms = watcherselection.HEARTBEAT_TIMEOUT_MS + 1
        duty.should_watch(now_ms)
        self.assertTrue(
            duty.should_watch(now_ms + watcherselection.STEP_IN_MAX_MS), host
        )
        self.assertTrue(
            watcherselection.HEARTBEAT_TIMEOUT_MS
            + watcherselection.STEP_IN_MAX_MS
            < 2 * SECOND_MS
        )

    def test_who_stepped_in_steps_back(self):
        settle(self.duties, dead=self.designated)
        self.assertEqual(self.designated, settle(self.duties))


class LeavingTest(testtools.TestCase):
    def test_a_daemon_beside_a_leaving_target_hands_over(self):
        targets = fleet(1, 6)
        before = duties(targets)
        leaving = next(h for h, duty in before.items() if duty.is_designated)
        targets = [
            target
            if target.host != leaving
            else msgspec.structs.replace(target, state=records.DRAINING_STATE)
            for target in targets
        ]
        after = duties(targets)
        self.assertFalse(after[leaving].is_designated)
        self.assertEqual(2, sum(duty.is_designated for duty in after.values()))
