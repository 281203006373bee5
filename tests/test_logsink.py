"""Tests of mimosahaven.logsink."""

import os

import testtools
from testtools import matchers

from mimosahaven import logsink


class NonBlockingSinkTest(testtools.TestCase):
    def test_stalled_reader_does_not_block(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        sink = logsink.NonBlockingSink(writer)
        lines = "".join(f"{i:099d}\n" for i in range(1_000))
        for _ in range(20):
            sink(lines)
        self.assertThat(sink.dropped_count, matchers.GreaterThan(0))
        written = os.read(reader, 10_000_000)
        # A partly written line would be joined with the next one.
        self.assertThat(written, matchers.EndsWith(b"\n"))
        self.assertThat(
            written.count(b"\n") + sink.dropped_count, matchers.Equals(20_000)
        )
