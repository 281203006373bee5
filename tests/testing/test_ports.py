"""Tests of mimosahaven.testing.ports."""

import asyncio
import errno
import socket

import testtools
from testtools import matchers

from mimosahaven.testing import ports as ports_lib

HOST = "127.0.0.1"
# The kernel chooses among about 28,000 ports. If the 500 allocated ports were
# free, 2,000 binds would often be assigned one of them.
ALLOCATED_COUNT = 500
BIND_COUNT = 2_000


class PortAllocatorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.allocator = ports_lib.PortAllocator()
        self.addCleanup(self.allocator.release)

    def test_kernel_does_not_assign_an_allocated_port(self):
        allocated = set(self.allocator.allocate(HOST, ALLOCATED_COUNT))
        assigned = set()
        for _ in range(BIND_COUNT):
            with socket.socket() as other:
                other.bind((HOST, 0))
                assigned.add(other.getsockname()[1])
        self.assertThat(allocated & assigned, matchers.Equals(set()))

    def test_bind_without_reuse_address_fails_on_an_allocated_port(self):
        (port,) = self.allocator.allocate(HOST)
        with socket.socket() as other:
            error = self.assertRaises(OSError, other.bind, (HOST, port))
        self.assertThat(error.errno, matchers.Equals(errno.EADDRINUSE))

    def test_program_can_listen_repeatedly_on_an_allocated_port(self):
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
