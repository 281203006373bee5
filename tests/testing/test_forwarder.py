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

    async def exchange(self, connection):
        reader, writer = connection
        writer.write(b"ping")
        return await reader.readexactly(4)

    def test_swallows_open_connections_only(self):
        # The failure to reproduce: an open connection goes silent, and both
        # ends keep it, while a new one to the same port works.
        async def check(forwarder):
            old = await asyncio.open_connection(HOST, forwarder.port)
            await self.exchange(old)
            forwarder.discard(forwarder_lib.Direction.TO_CLIENT)
            silent = asyncio.ensure_future(self.exchange(old))

            async def discarded():
                return forwarder.discarded_bytes == 4

            await processes.wait_until(discarded)
            new = await asyncio.open_connection(HOST, forwarder.port)
            self.assertThat(await self.exchange(new), matchers.Equals(b"ping"))
            self.assertThat(silent.done(), matchers.Equals(False))
            self.assertThat(forwarder.open_count, matchers.Equals(2))
            silent.cancel()

        self.run_with_forwarder(check)

    def test_cut_resets_both_ends(self):
        async def check(forwarder):
            reader, writer = await asyncio.open_connection(HOST, forwarder.port)
            await self.exchange((reader, writer))
            forwarder.reset_connections()
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read()

        self.run_with_forwarder(check)
