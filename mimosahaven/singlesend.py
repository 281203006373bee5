"""aiohttp client middleware that disables automatic retries."""

import aiohttp


class ConnectionBrokenError(aiohttp.ClientError):
    """The connection broke while the request was sent or after that."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request without aiohttp's automatic retry.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE a second time
    when the connection breaks before the response. Pass this function in the
    `middlewares` of a session to disable that.

    Raises:
      ConnectionBrokenError: The connection broke; the request may have run.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(repr(error)) from error
