"""Tests of mimosahaven.testing.forwarder."""

import asyncio

import testtools
from testtools import matchers

from mimosahaven.testing import forwarder as forwarder_lib
from mimosahaven.testing import processes

HOST = "127.0.0.1"


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


class ForwarderTest(testtools.TestCase):
    def run_with_forwarder(self, check):
        async def run():
            server = await asyncio.start_server(echo, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            forwarder = forwarder_lib.Forwarder(HOST, HOST, port)
            await forwarder.start()
            try:
                await check(forwarder)
            finally:
                await forwarder.stop()
                server.close()

        asyncio.run(run())

    async def ping(self, connection):
        reader, writer = connection
        writer.write(b"ping")
        return await reader.readexactly(4)

    def test_discards_only_on_open_connections(self):
        # Reproduces a silent connection: both ends keep it open although no
        # data arrives, while a new connection to the same port works.
        async def check(forwarder):
            old_connection = await asyncio.open_connection(HOST, forwarder.port)
            await self.ping(old_connection)
            forwarder.discard(forwarder_lib.Direction.TO_CLIENT)
            pending_ping = asyncio.ensure_future(self.ping(old_connection))

            async def bytes_discarded():
                return forwarder.discarded_bytes == 4

            await processes.wait_until(bytes_discarded)
            new_connection = await asyncio.open_connection(HOST, forwarder.port)
            self.assertThat(
                await self.ping(new_connection), matchers.Equals(b"ping")
            )
            self.assertThat(pending_ping.done(), matchers.Equals(False))
            self.assertThat(forwarder.open_count, matchers.Equals(2))
            pending_ping.cancel()

        self.run_with_forwarder(check)

    def test_reset_connections_resets_the_client(self):
        async def check(forwarder):
            reader, writer = await asyncio.open_connection(HOST, forwarder.port)
            await self.ping((reader, writer))
            forwarder.reset_connections()
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read()

        self.run_with_forwarder(check)
