"""Tests of mimosahaven.fleet."""

import itertools
import json

import testtools
from testtools import matchers

from mimosahaven import fleet
from mimosahaven import messages


def member(number, domain="a", **fields):
    values = {"service": "katalog", "region": "r", "host": "127.0.0.1"}
    values |= {"entry_port": 1, "link_port": number + 1} | fields
    return fleet.Member(f"t-{number}", failure_domain=domain, **values)


def make_view(*members, version=1, now_ms=0.0):
    view = fleet.FleetView()
    view.apply_list(fleet.MemberList(version, list(members)), now_ms)
    return view


def report(state, sequence, incarnation="x", target="t-1"):
    return messages.SelfReport(target, "katalog", incarnation, state, sequence)


class ParseListTest(testtools.TestCase):
    def test_unusable_lists_are_refused(self):
        good = {"target": "t", "service": "s", "failure_domain": "a"}
        good |= {"region": "r", "host": "127.0.0.1"}
        good |= {"entry_port": 1, "link_port": 2, "state": "live"}
        for members, version in (
            ([good, good], 1),
            ([good | {"host": "localhost"}], 1),
            ([good | {"link_port": 0}], 1),
            ([good | {"state": "gone"}], 1),
            ([{"target": "t"}], 1),
            ([good], 0),
            ([good], 2**64),
        ):
            text = json.dumps({"version": version, "members": members})
            self.assertRaises(fleet.ListError, fleet.parse_list, text)
        nested = f'{{"version": 1, "members": [], "more": {"[" * 100_000}'
        self.assertRaises(fleet.ListError, fleet.parse_list, nested)
        text = json.dumps({"version": 3, "members": [good]})
        self.assertThat(fleet.parse_list(text).version, matchers.Equals(3))


class FleetViewTest(testtools.TestCase):
    def assert_only(self, target, members):
        found = [member.target for member in members]
        self.assertThat(found, matchers.Equals([target]))

    def test_older_list_is_ignored(self):
        # A stale platform must not restore VMs that no longer exist.
        view = make_view(member(1), version=5)
        for version in (4, 5):
            listing = fleet.MemberList(version, [member(1), member(2)])
            self.assertFalse(view.apply_list(listing, 1.0))
        self.assert_only("t-1", view.targets("katalog"))

    def test_leaving_by_list_or_by_report(self):
        view = make_view(
            member(1), member(2, "b", state="leaving"), member(3, "b")
        )
        self.assertTrue(view.apply_self_report(report("leaving", 1), 1.0))
        self.assert_only("t-3", view.targets("katalog"))
        self.assert_only("t-3", view.daemons("b"))
        self.assertThat(view.failure_domains(), matchers.Equals(["b"]))

    def test_live_since_starts_anew(self):
        # A restarted target is cold and needs a slow start.
        view = make_view(member(1))
        self.assertThat(view.live_since_ms("t-1"), matchers.Equals(0.0))
        for now_ms, change, since_ms in (
            (1.0, report("ready", 1), 0.0),
            (3.0, report("ready", 2, "y"), 3.0),
            (3.5, report("ready", 3, "y"), 3.0),
        ):
            view.apply_self_report(change, now_ms)
            since = view.live_since_ms("t-1")
            self.assertThat(since, matchers.Equals(since_ms))
        view.apply_self_report(report("leaving", 3, "y"), 4.0)
        self.assertThat(view.live_since_ms("t-1"), matchers.Is(None))
        moved = fleet.MemberList(2, [member(1, link_port=77)])
        view.apply_list(moved, 5.0)
        self.assertThat(view.live_since_ms("t-1"), matchers.Equals(5.0))
        view.apply_self_report(report("ready", 9, "y"), 6.0)
        self.assertThat(view.incarnation_of("t-1"), matchers.Equals(""))
        self.assertThat(view.listed_since_ms("t-1"), matchers.Equals(0.0))

    def test_platform_age(self):
        view = make_view()
        self.assertThat(view.platform_age_ms(9.0), matchers.Equals(-1.0))
        view.record_contact(5.0)
        view.record_contact(3.0)
        self.assertThat(view.platform_age_ms(9.0), matchers.Equals(4.0))

    def test_reports_in_any_order(self):
        # Late reports must not clear the leaving state of a daemon, nor restore
        # an incarnation that was replaced.
        reports = [
            report("starting", 1, "z"),
            report("ready", 2, "z"),
            report("leaving", 3, "z"),
            report("starting", 4, "a"),
            report("ready", 5, "a"),
            report("ready", 2, "z"),
        ]
        for order in itertools.permutations(range(6)):
            self.check_order(reports, order)

    def check_order(self, reports, order):
        view = make_view(member(1))
        has_left = False
        for index in order:
            view.apply_self_report(reports[index], 1.0)
            has_left = has_left or index == 2
            if has_left and view.incarnation_of("t-1") == "z":
                self.assertTrue(view.is_leaving("t-1"))
        self.assertThat(view.report_of("t-1"), matchers.Equals(reports[4]))
        self.assertFalse(view.is_leaving("t-1"))
