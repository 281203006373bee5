"""Tests of mimosahaven.logreader."""

import json

import testtools

from mimosahaven import logreader


def encode_line(at_ms, id_, event, **fields):
    return json.dumps(
        {"at_ms": at_ms, "vm": "vm-1", "event": event, "id": id_} | fields
    )


class FindLinesTest(testtools.TestCase):
    LINES = (
        "no json at all r1",
        "{broken r1",
        "  12.5 vm-2 " + encode_line(3_000, "r1", "gave up", code=4002),
        encode_line(
            2_000, "r1.c1", "refused at i-3", code=2004, detail="left 3 ms"
        ),
        encode_line(1_000, "r10", "answer"),
        encode_line(1_000, "r2", "shed", detail="for r1"),
    )

    def test_finds_a_request_and_its_calls_by_time(self):
        found = logreader.find_lines(self.LINES, "r1")
        self.assertEqual(["r1.c1", "r1"], [line.id for line in found])

    def test_format_line(self):
        found = logreader.find_lines(self.LINES, "r1")
        self.assertEqual(
            "00:00:02.000 vm-1 call .c1: refused at i-3 (2004): left 3 ms",
            logreader.format_line(found[0], "r1"),
        )
