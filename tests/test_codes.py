"""Tests of mimosahaven.codes and of the documents that list the codes."""

import pathlib
import re

import testtools
from testtools import matchers

from mimosahaven import cli_common
from mimosahaven import codes

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def numbered_rows(name: str) -> list[list[str]]:
    """Returns the cells of the table rows that start with a number."""
    text = (DOCS / name).read_text(encoding="utf-8")
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if re.match(r"\| \d", line)
    ]


class CodesDocumentTest(testtools.TestCase):
    def test_every_code_is_documented_with_its_properties(self):
        expected = []
        for code in codes.Code:
            info = codes.describe(code)
            expected.append(
                [
                    str(int(code)),
                    code.name,
                    str(info.http_status),
                    info.run_state.value,
                    info.text,
                ]
            )
        documented = [row for row in numbered_rows("CODES.md") if len(row) == 5]
        self.assertThat(documented, matchers.Equals(expected))

    def test_exit_codes(self):
        documented = [
            row[:2] for row in numbered_rows("CODES.md") if len(row) == 3
        ]
        self.assertThat(
            documented,
            matchers.Equals(
                [[str(int(c)), c.name] for c in cli_common.ExitCode]
            ),
        )

    def test_operations_guide_mentions_the_codes_that_callers_receive(self):
        text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        for code in codes.Code:
            if 2000 <= code < 5000:
                self.assertThat(
                    text, matchers.MatchesRegex(rf"(?s).*\b{code.name}\b")
                )
