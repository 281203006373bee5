"""Tests of mimosahaven.testing.ports."""

import asyncio
import errno
import socket

import testtools
from testtools import matchers

from mimosahaven.testing import ports as ports_lib

HOST = "127.0.0.1"
# The kernel picks among some 28,000 ports; so many picks would often meet one
# of 500 that are free.
HELD_COUNT = 500
PICK_COUNT = 2_000


class PortAllocatorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.allocator = ports_lib.PortAllocator()
        self.addCleanup(self.allocator.release)

    def test_nobody_else_is_given_a_held_port(self):
        held = set(self.allocator.allocate(HOST, HELD_COUNT))
        picked = set()
        for _ in range(PICK_COUNT):
            with socket.socket() as other:
                other.bind((HOST, 0))
                picked.add(other.getsockname()[1])
        self.assertThat(held & picked, matchers.Equals(set()))

    def test_who_does_not_share_addresses_cannot_bind_a_held_port(self):
        (port,) = self.allocator.allocate(HOST)
        with socket.socket() as other:
            error = self.assertRaises(OSError, other.bind, (HOST, port))
        self.assertThat(error.errno, matchers.Equals(errno.EADDRINUSE))

    def test_a_program_listens_on_its_port_again_and_again(self):
        (port,) = self.allocator.allocate(HOST)

        async def listen():
            for _ in range(3):
                server = await asyncio.start_server(
                    lambda reader, writer: writer.close(), HOST, port
                )
                _, writer = await asyncio.open_connection(HOST, port)
                writer.close()
                server.close()
                await server.wait_closed()

        asyncio.run(listen())
