"""Tests of mimosahaven.httpserver."""

import asyncio
import socket

import aiohttp
import falcon.asgi
import testtools
from testtools import matchers
from uvicorn.protocols.http import httptools_impl

from mimosahaven import httpserver

TIMEOUT_S = 20


class Resource:
    async def on_head(self, req, resp):
        resp.set_header("X-Found", "yes")


class MakeServerTest(testtools.TestCase):
    def test_a_response_without_a_body_is_sent(self):
        # Guards against response headers that are held back until a body,
        # which a response to HEAD does not have.
        found = asyncio.run(self._send_head_request())
        self.assertThat(found, matchers.Equals("yes"))

    async def _send_head_request(self):
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        app = falcon.asgi.App()
        app.add_route("/", Resource())
        server = httpserver.make_server(
            app, "127.0.0.1", port, httptools_impl.HttpToolsProtocol
        )
        task = asyncio.create_task(server.serve([listener]))
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.head(f"http://127.0.0.1:{port}/") as response:
                found = response.headers["X-Found"]
        server.should_exit = True
        await task
        return found
