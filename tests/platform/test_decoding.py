import json

import hypothesis
import testtools
from hypothesis import strategies
from mimosahaven_platform import decoding
from mimosahaven_platform import store

from mimosahaven.mesh import frames
from mimosahaven.mesh import records

CONFIG = {
    "version": "0000000c",
    "routes": {
        "columns": [
            "name",
            "host",
            "prefix",
            "kind",
            "timeout_s",
            "slo_s",
            "priority",
            "splits",
            "max_attempts",
            "service",
            "new_field",
        ],
        "rows": [
            [
                "r-1",
                "a.example",
                "/x/",
                "non_idempotent",
                1.2,
                1.5,
                0,
                None,
                2,
                "s1",
                7,
            ],
            [
                "r-2",
                "a.example",
                "/y/",
                "download",
                1,
                0.4,
                2,
                [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10},
                ],
                1,
                None,
                None,
            ],
        ],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
ENTRY = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 91,
    "state": "ready",
    "cold_left_s": 1.5,
    "seq": 4,
    "born": 1700000000000,
}


def encode(value):
    return json.dumps(value).encode()


class DecodeTableTest(testtools.TestCase):
    def test_rows_become_routes_in_ms(self):
        table = decoding.decode_table(encode(CONFIG))
        self.assertEqual(12, table.version)
        non_idempotent, download = table.routes
        self.assertTrue(non_idempotent.at_most_once)
        self.assertEqual(
            (1200.0, 1500.0),
            (non_idempotent.timeout_ms, non_idempotent.objective_ms),
        )
        self.assertEqual((records.Share("s1", 1.0),), non_idempotent.shares)
        self.assertFalse(download.at_most_once)
        self.assertEqual(2, len(download.shares))
        self.assertEqual(15_000.0, table.limits.idle_timeout_ms)

    def test_invalid_configuration_is_an_error(self):
        invalid = [b"", b"{}", b"\xff"]
        for name, value in (("version", "zz"), ("routes", []), ("limits", {})):
            invalid.append(encode(CONFIG | {name: value}))
        rows = CONFIG["routes"]["rows"]
        no_service = rows[0][:9] + [None, None]
        unknown_kind = rows[0][:3] + ["sometimes"] + rows[0][4:]
        for row in (no_service, unknown_kind):
            routes = CONFIG["routes"] | {"rows": [row]}
            invalid.append(encode(CONFIG | {"routes": routes}))
        for data in invalid:
            self.assertRaises(
                decoding.DecodingError, decoding.decode_table, data
            )


def assert_refused(case, data):
    case.assertRaises(
        decoding.DecodingError, decoding.decode_target, "i-1", data, 5
    )


class DecodeTargetTest(testtools.TestCase):
    def test_an_entry_becomes_a_target(self):
        target = decoding.decode_target("i-1", encode(ENTRY), 5)
        self.assertEqual(("10.128.0.9", 8080), (target.host, target.port))
        self.assertEqual(records.SERVING_STATE, target.state)
        self.assertEqual(1500.0, target.cold_ms)
        self.assertEqual((91, 5), (target.slots, target.revision))
        self.assertEqual(("i-1", 1_700_000_000_000), target.incarnation)

    def test_invalid_entries_are_refused(self):
        changes = (
            {"state": "resting"},
            {"slots": "many"},
            {"slots": 0},
            {"address": "nowhere"},
            {"address": "10.0.0.1:99999"},
            {"service": None},
            {"born": 1.5},
        )
        for change in changes:
            assert_refused(self, encode(ENTRY | change))
        for data in (b"", b"[]", b"\xff\xfe"):
            assert_refused(self, data)


# Values of other types and bounds, and text that looks like a number.
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.sampled_from(["10.0.0.1:\u00b2", "10.0.0.1:9" * 2, "-1", "0x"]),
    strategies.sampled_from(
        [2**63, 2**64, -(2**63) - 1, 10**18, 1e308, -1e308]
    ),
    strategies.sampled_from(["x" * 100_000, "10.0.0.1:" + "1" * 5_000]),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.dictionaries(strategies.text(max_size=3), strategies.none()),
)


class OtherWritersTest(testtools.TestCase):
    """Entries may come from other writers; none may end the store's watch."""

    def test_a_port_that_is_a_digit_but_not_a_number(self):
        entry = ENTRY | {"address": "10.128.0.9:\u00b2"}
        assert_refused(self, encode(entry))

    def test_a_value_that_is_not_ascii_text(self):
        item = store._Item(key="servers/i-1", value="\u00e4\u00e4\u00e4\u00e4")
        changes = store._parse_changes([item], 3)
        self.assertEqual((["i-1"], 1), (changes.gone, len(changes.faults)))

    @hypothesis.settings(database=None, derandomize=True, deadline=None)
    @hypothesis.given(
        field=strategies.sampled_from(sorted(ENTRY)), value=ODD_VALUES
    )
    def test_any_field_of_an_entry(self, field, value):
        try:
            target = decoding.decode_target(
                "i-1", encode(ENTRY | {field: value}), 1
            )
        except decoding.DecodingError:
            return
        self.assert_can_be_passed_on(frames.State(None, [target], 1, {}))

    @hypothesis.settings(database=None, derandomize=True, deadline=None)
    @hypothesis.given(
        column=strategies.integers(0, len(CONFIG["routes"]["columns"]) - 1),
        value=ODD_VALUES,
    )
    def test_any_field_of_a_route(self, column, value):
        [row, _] = CONFIG["routes"]["rows"]
        row = row[:column] + [value] + row[column + 1 :]
        routes = CONFIG["routes"] | {"rows": [row]}
        try:
            table = decoding.decode_table(encode(CONFIG | {"routes": routes}))
        except decoding.DecodingError:
            return
        self.assert_can_be_passed_on(frames.State(table, None, 1, {}))

    @hypothesis.settings(database=None, derandomize=True, deadline=None)
    @hypothesis.given(
        field=strategies.sampled_from(sorted(CONFIG["limits"])),
        value=ODD_VALUES,
    )
    def test_any_field_of_the_limits(self, field, value):
        limits = CONFIG["limits"] | {field: value}
        try:
            table = decoding.decode_table(encode(CONFIG | {"limits": limits}))
        except decoding.DecodingError:
            return
        self.assert_can_be_passed_on(frames.State(table, None, 1, {}))

    def test_numbers_out_of_range(self):
        for change in (
            {"slots": 2**64},
            {"slots": 10**18},
            {"seq": 2**64},
            {"seq": -(2**63) - 1},
            {"born": 2**64},
            {"born": -1},
            {"cold_left_s": 1e308},
            {"cold_left_s": -1.0},
            {"address": "10.0.0.1:70000"},
            {"address": "10.0.0.1:" + "1" * 5_000},
            {"address": "host.example:80"},
            {"address": "10.0.0.1\u0000:80"},
            {"service": "s" * 1_000_000},
            {"zone": "z" * 1_000_000},
        ):
            assert_refused(self, encode(ENTRY | change))
        assert_refused(self, encode(ENTRY).replace(b"91", b"1" * 5_000))

    def test_an_odd_configuration(self):
        [row, other] = CONFIG["routes"]["rows"]
        columns = CONFIG["routes"]["columns"]
        for column, value in (
            ("timeout_s", 1e308),
            ("timeout_s", -1.0),
            ("slo_s", 1e308),
            ("priority", 2**64),
            ("max_attempts", 2**64),
            ("splits", [{"service": "s1", "weight": 1e308}]),
            ("name", "n" * 1_000_000),
        ):
            odd = list(row)
            odd[columns.index(column)] = value
            routes = CONFIG["routes"] | {"rows": [odd, other]}
            data = encode(CONFIG | {"routes": routes})
            self.assertRaises(
                decoding.DecodingError, decoding.decode_table, data
            )
        data = encode(CONFIG | {"version": "f" * 5_000})
        self.assertRaises(decoding.DecodingError, decoding.decode_table, data)

    def assert_can_be_passed_on(self, frame):
        [received] = frames.FrameDecoder().feed(frames.encode(frame))
        self.assertEqual(frame, received)

    @hypothesis.settings(database=None, derandomize=True, deadline=None)
    @hypothesis.given(data=strategies.binary(max_size=40))
    def test_any_bytes(self, data):
        assert_refused(self, data)
        self.assertRaises(decoding.DecodingError, decoding.decode_table, data)
