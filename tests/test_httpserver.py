"""Tests of the HTTP server of the entry."""

import testtools
from testtools import matchers

from mimosahaven import httpserver

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


class FakeTransport:
    """Notes what is done to it."""

    def __init__(self):
        self.events = []

    def write(self, data):
        self.events.append(data)

    def close(self):
        self.events.append("close")

    def is_closing(self):
        return False


class JoiningTransportTest(testtools.TestCase):
    """Guards against lost or reordered bytes of answers."""

    def setUp(self):
        super().setUp()
        self.inner = FakeTransport()
        self.transport = httpserver.JoiningTransport(self.inner)

    def test_head_goes_with_the_body(self):
        for body in (b"ab", b"", b"HTTP/1.1 x"):
            self.transport.write(HEAD)
            self.transport.write(body)
            self.assertThat(
                self.inner.events.pop(), matchers.Equals(HEAD + body)
            )
        self.assertThat(self.inner.events, matchers.Equals([]))

    def test_later_pieces_go_at_once(self):
        for piece in (HEAD, b"a", b"b"):
            self.transport.write(piece)
        self.assertThat(self.inner.events, matchers.Equals([HEAD + b"a", b"b"]))

    def test_continue_goes_at_once(self):
        # The client sends its body only after it.
        data = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.transport.write(data)
        self.assertThat(self.inner.events, matchers.Equals([data]))

    def test_close_sends_a_lone_head_first(self):
        self.transport.write(HEAD)
        self.transport.close()
        self.assertThat(self.inner.events, matchers.Equals([HEAD, "close"]))

    def test_the_rest_is_that_of_the_transport(self):
        self.assertThat(self.transport.is_closing(), matchers.Is(False))
