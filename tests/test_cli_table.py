"""Tests of mimosahaven.cli_table."""

import json
import pathlib
import tempfile

import testtools
from click import testing
from testtools import matchers

from mimosahaven import cli_table

ORDER = {"caller": "shop", "kind": "order", "weight": 90, "idempotent": False}
ORDER |= {"deadline_ms": 3000, "retry_budget": 3, "rate_limit_per_s": 200}
BROWSE = {"caller": "shop", "kind": "*", "weight": 10, "idempotent": True}
BROWSE |= {"deadline_ms": 500}


class TableCommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, name, version, *rows):
        path = self.directory / name
        document = {"version": version, "rows": rows, "services": {}}
        path.write_text(json.dumps(document))
        return str(path)

    def run_command(self, *arguments):
        result = testing.CliRunner().invoke(cli_table.main, arguments)
        return result.exit_code, result.output

    def assert_run(self, exit_code, expected_texts, *arguments):
        actual_code, output = self.run_command(*arguments)
        self.assertThat(actual_code, matchers.Equals(exit_code), output)
        for expected in expected_texts:
            self.assertThat(output, matchers.Contains(expected))
        return output

    def test_check_lists_all_faults(self):
        good = self.write("good", 1, ORDER, BROWSE)
        bad = self.write("bad", 0, ORDER, ORDER)
        self.assert_run(0, ["2 rows, ok", "no row for */*"], "check", good)
        self.assert_run(2, ["version: 0", "rows.1"], "check", bad)
        missing = str(self.directory / "missing")
        output = self.assert_run(2, ["give the path"], "check", missing)
        self.assertThat(output.count("\n"), matchers.Equals(1))

    def test_show_and_diff(self):
        old = self.write("old", 1, ORDER, BROWSE)
        new = self.write("new", 2, ORDER | {"weight": 80})
        self.assert_run(0, ["shop/order", "200", "90"], "show", old)
        self.assert_run(0, ["no difference"], "diff", old, old)
        self.assert_run(1, ["weight", "80", "absent"], "diff", old, new)
        # The operator must see that the daemons would refuse the new table.
        self.assert_run(2, ["set it above 2"], "diff", new, old)

    def test_explain(self):
        path = self.write("table", 1, ORDER, BROWSE)
        output = self.assert_run(
            0, ["row shop/*", "500 ms"], "explain", path, "shop", "browse"
        )
        shed_order = output[output.index("Shed order") :]
        first, second = map(shed_order.index, ("shop/*", "shop/order"))
        self.assertThat(first, matchers.LessThan(second))
        self.assert_run(1, ["add a row"], "explain", path, "other", "order")

    def test_each_help_has_an_example(self):
        for arguments in ([], ["check"], ["show"], ["diff"], ["explain"]):
            self.assert_run(
                0, ["Example: mimosahaven-table"], *arguments, "--help"
            )
