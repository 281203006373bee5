"""Middleware that keeps aiohttp from sending a request twice."""

import aiohttp


class ConnectionBrokenError(aiohttp.ClientError):
    """The connection broke after the request was sent, or while it was."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request once.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE a second time
    when the connection breaks before the answer. Pass this function in the
    `middlewares` of a session to switch that off.

    Raises:
      ConnectionBrokenError: The connection broke; the request may have run.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(repr(error)) from error
