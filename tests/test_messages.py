"""Tests of mimosahaven.messages."""

import testtools
from testtools import matchers

from mimosahaven import messages


class DecodeTest(testtools.TestCase):
    def test_round_trip(self):
        result = messages.Result(
            "a/1", 0, 1000, body=b"x", thresholds={"presse": (7, 2.0)}
        )
        self.assertThat(
            messages.decode(messages.encode(result)), matchers.Equals(result)
        )

    def test_newer_version_is_refused(self):
        # Messages of a newer protocol version must not be misinterpreted.
        data = bytes([2]) + messages.encode(messages.Ping(1.0))[1:]
        error = self.assertRaises(
            messages.UnsupportedVersionError, messages.decode, data
        )
        self.assertThat(error.version, matchers.Equals(2))

    def test_deeply_nested_data_is_refused(self):
        data = messages.encode(messages.Ping(1.0))
        # One more element, of arrays in arrays.
        head = bytes([data[0], data[1] + 1])
        nested = b"\x91" * 100_000 + b"\xc0"
        self.assertRaises(
            messages.MalformedMessageError,
            messages.decode,
            head + data[2:] + nested,
        )

    def test_garbage_is_refused(self):
        for data in (b"", b"\x01zz", b"\x01"):
            self.assertRaises(
                messages.MalformedMessageError, messages.decode, data
            )
