import msgspec
import testtools

from mimosahaven.mesh import records
from mimosahaven.mesh import watcherselection
from tests.mesh import samples

SECOND_MS = 1_000.0


def make_targets(domains, per_domain):
    return [
        samples.target(
            f"i-{domain}-{n}", f"10.{domain}.0.{n}", failure_domain=f"d{domain}"
        )
        for domain in range(domains)
        for n in range(per_domain)
    ]


def make_selections(targets):
    selections = {}
    for target in targets:
        selection = watcherselection.WatcherSelection(
            target.host, target.failure_domain
        )
        selection.set_targets(targets)
        selections[target.host] = selection
    return selections


def simulate(selections, dead=(), no_store=(), until_ms=4 * SECOND_MS):
    """Simulates heartbeats between the daemons; returns who watches."""
    watching = {}
    now_ms = 0.0
    while now_ms <= until_ms:
        for host, selection in selections.items():
            if host in dead:
                continue
            for source in selection.sources(now_ms):
                if source in dead:
                    selection.forget(source)
                else:
                    has_store = (
                        watching.get(source, False) and source not in no_store
                    )
                    selection.record_heartbeat(source, has_store, now_ms)
        watching = {
            host: selection.should_watch(now_ms)
            for host, selection in selections.items()
            if host not in dead
        }
        now_ms += 50.0
    return {host for host, watches in watching.items() if watches}


class WatcherCountTest(testtools.TestCase):
    """A change must not end a watch in every daemon of the fleet.

    Seen on sites whose fleet had grown.
    """

    def test_watcher_count_does_not_grow_with_the_fleet(self):
        for per_domain in (4, 23, 50):
            watching = simulate(make_selections(make_targets(3, per_domain)))
            self.assertEqual(6, len(watching))

    def test_each_failure_domain_has_its_own_watchers(self):
        watching = simulate(make_selections(make_targets(4, 5)))
        for domain in range(4):
            inside = [h for h in watching if h.startswith(f"10.{domain}.")]
            self.assertEqual(2, len(inside))


class WatcherLossTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.selections = make_selections(make_targets(2, 20))
        self.designated = {
            host
            for host, selection in self.selections.items()
            if selection.is_designated
        }

    def test_no_takeover_while_one_watcher_is_left(self):
        lost = next(iter(self.designated))
        watching = simulate(self.selections, dead={lost})
        self.assertEqual(self.designated - {lost}, watching)

    def test_few_take_over_when_all_watchers_are_dead(self):
        watching = simulate(self.selections, dead=self.designated)
        self.assertEqual(2, len(watching))

    def test_few_take_over_when_the_store_refuses_the_watchers(self):
        watching = simulate(self.selections, no_store=self.designated)
        self.assertEqual(2, len(watching - self.designated))

    def test_all_watch_when_the_store_refuses_all(self):
        watching = simulate(self.selections, no_store=set(self.selections))
        self.assertEqual(set(self.selections), watching)

    def test_silent_watcher_is_replaced_within_the_bound(self):
        # A change must be in force within 2 s.
        host, selection = next(
            (host, selection)
            for host, selection in self.selections.items()
            if not selection.is_designated
        )
        for source in selection.sources(0.0):
            selection.record_heartbeat(source, True, 0.0)
        self.assertFalse(
            selection.should_watch(watcherselection.HEARTBEAT_TIMEOUT_MS)
        )
        now_ms = watcherselection.HEARTBEAT_TIMEOUT_MS + 1
        selection.should_watch(now_ms)
        self.assertTrue(
            selection.should_watch(
                now_ms + watcherselection.TAKEOVER_DELAY_MAX_MS
            ),
            host,
        )
        self.assertTrue(
            watcherselection.HEARTBEAT_TIMEOUT_MS
            + watcherselection.TAKEOVER_DELAY_MAX_MS
            < 2 * SECOND_MS
        )

    def test_takeover_ends_when_the_watchers_return(self):
        simulate(self.selections, dead=self.designated)
        self.assertEqual(self.designated, simulate(self.selections))


class DrainTest(testtools.TestCase):
    def test_daemon_next_to_a_draining_target_is_replaced(self):
        targets = make_targets(1, 6)
        before = make_selections(targets)
        draining = next(
            h for h, selection in before.items() if selection.is_designated
        )
        targets = [
            target
            if target.host != draining
            else msgspec.structs.replace(target, state=records.DRAINING_STATE)
            for target in targets
        ]
        after = make_selections(targets)
        self.assertFalse(after[draining].is_designated)
        self.assertEqual(
            2, sum(selection.is_designated for selection in after.values())
        )
