"""A target whose responses are written byte by byte by the test."""

import asyncio

OK = (
    b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
    b"Mimosahaven-Signature: s1\r\nContent-Length: 2\r\n\r\nhi"
)


class RawTarget:
    """Accepts connections and passes each request to a handler.

    Args:
      handler: Called with the request's headers as a dict (with the "line" and
        "path" of the request), its body, the writer and the number of the
        request; writes the response.

    Attributes:
      requests: Headers and body of each request received.
      connection_count: Connections accepted.
      disconnect_count: Connections closed by the client during a request.
    """

    def __init__(self, handler=None):
        self._handler = handler or respond_ok
        self._server = None
        self.requests = []
        self.connection_count = 0
        self.disconnect_count = 0

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                head = await read_head(reader)
                length = int(head.get("content-length", 0))
                body = await reader.readexactly(length)
                self.requests.append((head, body))
                handler_task = asyncio.ensure_future(
                    self._handler(head, body, writer, len(self.requests))
                )
                client_data = asyncio.ensure_future(reader.read(1))
                client_data.add_done_callback(retrieve_exception)
                await asyncio.wait(
                    {handler_task, client_data},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not handler_task.done():
                    self.disconnect_count += 1
                    handler_task.cancel()
                    break
                client_data.cancel()
                await asyncio.gather(client_data, return_exceptions=True)
                await handler_task
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def retrieve_exception(task):
    """Prevents asyncio from logging the exception of a task.

    It would log when the task is collected. Formatting the exception parses
    source code, which in CPython 3.11 breaks a parser that the collection has
    interrupted ("AST constructor recursion depth mismatch").
    """
    if not task.cancelled():
        task.exception()


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    head = {"line": lines[0], "path": lines[0].split(" ")[1]}
    for line in lines[1:]:
        name, colon, value = line.partition(": ")
        if colon:
            head[name.lower()] = value
    return head


async def respond_ok(head, body, writer, number):
    writer.write(OK % head["mimosahaven-attempt"].encode())
    await writer.drain()
