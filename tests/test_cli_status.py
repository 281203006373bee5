"""Tests of mimosahaven.cli_status and what it shares with other programs."""

import json
from unittest import mock

import testtools
from testtools import matchers

from mimosahaven import cli_status
from mimosahaven import status
from tests import fakedaemons


class StatusProgramTest(testtools.TestCase):
    def fleet(self, **second):
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
        other.status = fakedaemons.make_status("b", "z2", **second)
        return first, other

    def run_status(self, *arguments):
        return fakedaemons.run_main(cli_status.main, *arguments)

    def test_learns_the_other_daemons(self):
        first, other = self.fleet(
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

    def test_several_daemons_are_asked_alone(self):
        first, other = self.fleet()
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
            first, _ = self.fleet(table=status.TableStatus(version, "abc"))
            code, _, err = self.run_status("--daemon", first.address, "--check")
            self.assertThat(code, matchers.Equals(expected))
            self.assertThat(err.splitlines(), matchers.HasLength(expected))

    def test_check_fails_without_an_answer(self):
        first, other = self.fleet()
        garbled = fakedaemons.FakeDaemon(self, body=b"{}")
        first.status = fakedaemons.make_status(
            "a",
            targets=[fakedaemons.make_target_status("b", port=garbled.port)],
        )
        code, out, _ = self.run_status("--daemon", first.address, "--check")
        self.assertThat(code, matchers.Equals(1))
        self.assertThat(
            out, matchers.Contains(f"{garbled.address}: unreadable answer")
        )

    def test_nothing_reachable(self):
        code, _, err = self.run_status("--daemon", "127.0.0.1:1")
        self.assertThat(code, matchers.Equals(3))
        self.assertThat(err.splitlines(), matchers.HasLength(1))

    def test_watch_survives_an_outage(self):
        # Whoever watches an incident must not lose the view in its middle.
        sleeps = mock.AsyncMock(side_effect=[None, KeyboardInterrupt])
        with mock.patch.object(cli_status.asyncio, "sleep", sleeps):
            code, out, _ = self.run_status(
                *("--daemon", "127.0.0.1:1", "--watch", "1", "--json")
            )
        self.assertThat(code, matchers.Equals(0))
        self.assertThat(out.splitlines(), matchers.HasLength(2))

    def test_wrong_usage_takes_one_line(self):
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
