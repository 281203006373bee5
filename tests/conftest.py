"""Lets the tests that KNOWN-RED.txt lists fail, and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
# An entry for a test of this suite begins with this and the ID of the test.
TEST_FIELD = "test: "


def _known_red_ids():
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(TEST_FIELD).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(TEST_FIELD)
    )


def pytest_collection_modifyitems(items):
    known_red_ids = _known_red_ids()
    for item in items:
        if item.nodeid in known_red_ids:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(
                f"known red, {outcome}: {report.nodeid}"
            )
