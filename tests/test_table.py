"""Tests of mimosahaven.table."""

import json

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies
from testtools import matchers

from mimosahaven import codes
from mimosahaven import table

Code = codes.Code
STORES = 5


def make_row(caller, kind, weight=10, **limits):
    fields = {"idempotent": True, "deadline_ms": 1000} | limits
    return {"caller": caller, "kind": kind, "weight": weight} | fields


def make_text(version, weight=10, rows=None):
    rows = rows or [make_row("*", "*", weight)]
    return json.dumps({"version": version, "rows": rows})


class ParseTest(testtools.TestCase):
    def test_all_faults_are_reported_at_once(self):
        # Reporting one fault at a time would cost one publication per fault.
        rows = [
            make_row("shop", "order", weight=101),
            make_row("shop", "browse", deadline_ms=2, retry_budget=4),
            make_row("shop", "order", rate_limit_per_s=float("inf")),
            make_row("shop", "proof", deadline_ms="1000"),
        ]
        group = self.assertRaises(
            ExceptionGroup, table.parse_table, make_text(1, rows=rows)
        )
        details = "\n".join(error.detail for error in group.exceptions)
        for expected in (
            "rows.0.weight: 101",
            "rows.1.deadline_ms: 2: too short for 5 attempts",
            "rows.2.rate_limit_per_s: inf",
            "rows.2: shop/order: same caller and kind as rows.0",
            "rows.3.deadline_ms: '1000'",
        ):
            self.assertThat(details, matchers.Contains(expected))
        self.assertThat(len(group.exceptions), matchers.Equals(5))

    def test_unusable_documents_are_refused(self):
        nested = "[" * 100_000
        # Not JSON, so that the JSON5 parser gets it.
        nested_json5 = "{a: " + "[" * 4_000
        for text in (
            "",
            "{",
            "[]",
            '{"version": 1}',
            '{"a":1,"a":2}',
            nested,
            nested_json5,
        ):
            self.assertRaises(ExceptionGroup, table.parse_table, text)
        # No message between daemons can carry this version.
        self.assertRaises(ExceptionGroup, table.parse_table, make_text(2**64))
        group = self.assertRaises(
            ExceptionGroup, table.parse_table, '{"version": 1, "rows": []}'
        )
        self.assertThat(str(group.exceptions[0]), matchers.Contains("no row"))

    def test_comments_and_slashes_in_strings(self):
        text = make_text(3, rows=[make_row("a//b", "/*x*/")])
        parsed = table.parse_table(f"// head\n{text} /* tail */")
        self.assertThat(parsed.rows[0].row_id, matchers.Equals("a//b//*x*/"))
        json5_table = table.parse_table(
            f"{{rows: {json.dumps([make_row('*', '*')])}, version: 4}}"
        )
        self.assertThat(json5_table.version, matchers.Equals(4))

    def test_most_specific_row_applies(self):
        keys = [("*", "*"), ("*", "order"), ("shop", "*"), ("shop", "order")]
        rows = [make_row(*key) for key in keys]
        for last in range(4, 0, -1):
            found = table.parse_table(make_text(1, rows=rows[:last])).find_row(
                "shop", "order"
            )
            expected = "/".join(keys[last - 1])
            self.assertThat(found.row_id, matchers.Equals(expected))


class StoreTest(testtools.TestCase):
    def offer(self, store, text, source=table.PLATFORM_SOURCE):
        return store.offer(text, source, 1.0).code

    def codes_of(self, store):
        return {Code(reported.fault.code) for reported in store.faults}

    def test_refused_tables_are_reported_until_a_newer_one(self):
        store = table.TableStore()
        self.assertTrue(store.offer(make_text(5), "platform", 1.0).accepted)
        for text, code in (
            (make_text(4), Code.TABLE_OLDER),
            (make_text(5, weight=90), Code.TABLE_CONFLICT),
            ('{"version": 6, "rows": 1}', Code.TABLE_INVALID),
        ):
            self.assertThat(self.offer(store, text), matchers.Equals(code))
            self.assertThat(self.codes_of(store), matchers.Contains(code))
        expected = table.text_hash(store.text)
        self.assertThat(store.hash, matchers.Equals(expected))
        self.assertThat(store.version, matchers.Equals(5))
        self.assertThat(store.faults_to_gossip(), matchers.HasLength(2))
        self.assertTrue(store.offer(make_text(7), "katalog-1", 2.0).accepted)
        self.assertThat(store.faults, matchers.Equals([]))

    def test_delayed_gossip_is_no_fault(self):
        # Reordered messages are normal and must not be reported to operators.
        store = table.TableStore()
        self.offer(store, make_text(5))
        code = self.offer(store, make_text(4), "katalog-1")
        self.assertThat(code, matchers.Equals(Code.TABLE_OLDER))
        self.assertThat(store.faults, matchers.Equals([]))
        self.assertThat(self.offer(store, make_text(5)), matchers.Is(None))

    def test_two_tables_with_one_version_conflict(self):
        stores = [table.TableStore(), table.TableStore()]
        for store, weight in zip(stores, (10, 90), strict=True):
            self.offer(store, make_text(5, weight))
        stores[0].check_peer_version(5, stores[1].hash, "katalog-2", 2.0)
        stores[1].record_peer_fault(
            stores[0].faults_to_gossip()[0], "katalog-1", 3.0
        )
        for store, weight in zip(stores, (10, 90), strict=True):
            found = self.codes_of(store)
            self.assertThat(found, matchers.Equals({Code.TABLE_CONFLICT}))
            self.assertThat(store.table.rows[0].weight, matchers.Equals(weight))


class TableOrder(stateful.RuleBasedStateMachine):
    """Stores that exchange tables over a lossy, reordering network."""

    ordered = True

    def __init__(self):
        super().__init__()
        self.stores = [table.TableStore(self.ordered) for _ in range(STORES)]
        self.seen = [0] * STORES
        self.published = []
        self.network = []

    def offer(self, index, text, source="peer"):
        if text:
            self.stores[index].offer(text, source, 0.0)

    index = strategies.integers(0, STORES - 1)

    @stateful.rule()
    def publish(self):
        self.published.append(make_text(len(self.published) + 1))

    @stateful.rule(index=index)
    def race(self, index):
        """A second operator publishes another text with the same version."""
        text = make_text(max(1, len(self.published)), weight=90)
        self.offer(index, text, table.PLATFORM_SOURCE)

    @stateful.rule(index=index, age=strategies.integers(0, 2))
    def read_platform(self, index, age):
        if age < len(self.published):
            self.offer(index, self.published[-1 - age], table.PLATFORM_SOURCE)

    @stateful.rule(sender=index, receiver=index)
    def send(self, sender, receiver):
        self.network.append((receiver, self.stores[sender].text))

    @stateful.rule(place=strategies.integers(0, 50), copies=index)
    def deliver(self, place, copies):
        """Delivers a message in any order: never, once or several times."""
        if self.network:
            receiver, text = self.network.pop(place % len(self.network))
            self.offer(receiver, text if copies else "")
            self.network += [(receiver, text)] * (copies - 1)

    @stateful.rule(index=index)
    def restart(self, index):
        """A restarted daemon asks 3 peers, then reads a stale platform."""
        self.stores[index] = table.TableStore(self.ordered)
        peers = [self.stores[(index + step) % STORES] for step in (1, 2, 3)]
        newest = max(peer.version for peer in peers)
        for peer in peers:
            self.offer(index, peer.text)
        if self.published:
            self.offer(index, self.published[0], table.PLATFORM_SOURCE)
        assert self.stores[index].version >= newest
        self.seen[index] = newest

    @stateful.invariant()
    def versions_never_go_down(self):
        for index, store in enumerate(self.stores):
            assert store.version >= self.seen[index]
            self.seen[index] = store.version

    def teardown(self):
        newest = max(store.version for store in self.stores)
        for index in range(STORES):
            for store in self.stores:
                self.offer(index, store.text)
        assert {store.version for store in self.stores} == {newest}
        conflict = len({store.hash for store in self.stores}) > 1
        for store in self.stores:
            found = [reported.fault.code for reported in store.faults]
            assert not conflict or Code.TABLE_CONFLICT in found


class UnorderedTableOrder(TableOrder):
    ordered = False


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
    database=None,
)


class OrderTest(testtools.TestCase):
    def test_versions_never_go_down_and_all_converge(self):
        stateful.run_state_machine_as_test(TableOrder, settings=SETTINGS)

    def test_check_fails_without_the_order_rules(self):
        self.assertRaises(
            AssertionError,
            stateful.run_state_machine_as_test,
            UnorderedTableOrder,
            settings=SETTINGS,
        )
