"""Tests of mimosahaven.cli_status and mimosahaven.cli_common."""

import json
from unittest import mock

import testtools
from testtools import matchers

from mimosahaven import cli_status
from mimosahaven import status
from tests import fakedaemons


class StatusProgramTest(testtools.TestCase):
    def start_fleet(self, **other_fields):
        """Starts two daemons, of which the first lists the second."""
        first, other = (
            fakedaemons.FakeDaemon(self),
            fakedaemons.FakeDaemon(self),
        )
        first.status = fakedaemons.make_status(
            "a",
            targets=[
                fakedaemons.make_target_status("b", "leaving", other.port)
            ],
        )
        other.status = fakedaemons.make_status("b", "z2", **other_fields)
        return first, other

    def run_status(self, *arguments):
        return fakedaemons.run_main(cli_status.main, *arguments)

    def test_discovers_the_other_daemons(self):
        first, other = self.start_fleet(
            rows=[status.RowStatus("shop/order", 5, 3, {"ROW_LIMIT": 2}, 1)],
            quarantine=[status.QuarantineStatus("f00d", 2, True, 9_000.0)],
        )
        code, out, err = self.run_status("--daemon", first.address)
        self.assertThat((code, err), matchers.Equals((0, "")))
        for text in (
            "2 answered (2 ready)",
            "abc",
            "1.0 s",
            "b (presse) is leaving seen from z1",
            "shop/order",
            "2 ROW_LIMIT",
            "f00d",
        ):
            self.assertThat(out, matchers.Contains(text))

    def test_only_the_given_daemons_are_queried(self):
        first, other = self.start_fleet()
        third = fakedaemons.FakeDaemon(self)
        third.status = fakedaemons.make_status("c")
        code, out, _ = self.run_status(
            *("--daemon", first.address, "--daemon", third.address, "--json")
        )
        self.assertThat(code, matchers.Equals(0))
        self.assertThat(
            set(json.loads(out)["daemons"]),
            matchers.Equals({first.address, third.address}),
        )

    def test_check_fails_when_tables_differ(self):
        for version, expected in ((3, 0), (4, 1)):
            first, _ = self.start_fleet(
                table=status.TableStatus(version, "abc")
            )
            code, _, err = self.run_status("--daemon", first.address, "--check")
            self.assertThat(code, matchers.Equals(expected))
            self.assertThat(err.splitlines(), matchers.HasLength(expected))

    def test_check_fails_with_a_malformed_response(self):
        first, other = self.start_fleet()
        malformed = fakedaemons.FakeDaemon(self, body=b"{}")
        first.status = fakedaemons.make_status(
            "a",
            targets=[fakedaemons.make_target_status("b", port=malformed.port)],
        )
        code, out, _ = self.run_status("--daemon", first.address, "--check")
        self.assertThat(code, matchers.Equals(1))
        self.assertThat(
            out, matchers.Contains(f"{malformed.address}: malformed response")
        )

    def test_no_daemon_is_reachable(self):
        code, _, err = self.run_status("--daemon", "127.0.0.1:1")
        self.assertThat(code, matchers.Equals(3))
        self.assertThat(err.splitlines(), matchers.HasLength(1))

    def test_watch_continues_during_an_outage(self):
        # An operator who watches an outage must not lose the display.
        sleeps = mock.AsyncMock(side_effect=[None, KeyboardInterrupt])
        with mock.patch.object(cli_status.asyncio, "sleep", sleeps):
            code, out, _ = self.run_status(
                *("--daemon", "127.0.0.1:1", "--watch", "1", "--json")
            )
        self.assertThat(code, matchers.Equals(0))
        self.assertThat(out.splitlines(), matchers.HasLength(2))

    def test_usage_errors_are_one_line(self):
        for arguments in (
            [],
            ["--daemon", "localhost:1"],
            ["--daemon", "127.0.0.1:0"],
            ["--daemon", "127.0.0.1:1", "--watch", "x"],
        ):
            code, _, err = self.run_status(*arguments)
            self.assertThat(code, matchers.Equals(2))
            self.assertThat(err.splitlines(), matchers.HasLength(1))

    def test_help_and_version(self):
        code, out, _ = self.run_status("--help")
        self.assertThat(code, matchers.Equals(0))
        self.assertThat(out, matchers.Contains("Example:"))
        _, out, _ = self.run_status("--version")
        self.assertThat(out, matchers.StartsWith("mimosahaven-status "))
