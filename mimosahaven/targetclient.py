"""HTTP client for the local target."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import yarl

from mimosahaven import admission as admission_lib
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import messages
from mimosahaven import settings as settings_lib

CONTEXT_HEADER = "Mimosahaven-Context"
DEADLINE_HEADER = "Mimosahaven-Deadline-Ms"
# Below the idle timeout of common HTTP servers (5 s), since a request on a
# connection that the target is just closing has an unknown outcome.
KEEPALIVE_S = 2.0
# Timeout for connecting to the target in a probe.
PROBE_TIMEOUT_S = 0.5
# Time for which an accepted probe connection must stay open.
PROBE_SETTLE_S = 0.05
PROBES_MAX = 3
# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the HTTP
# library sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

Code = codes.Code
Outcome = admission_lib.Outcome


@dataclasses.dataclass
class TargetResponse:
    """Response of the target, or the code that tells why there is none.

    Attributes:
      status: HTTP status, or 0 without a complete response.
    """

    code: Code
    outcome: Outcome
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""


class TargetClient:
    """Sends calls to the local target."""

    def __init__(self, settings: settings_lib.Settings):
        endpoint = settings.target.endpoint
        self._base_url = f"http://{endpoint.host}:{endpoint.port}"
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        # HTTP statuses by which the local service reports "not run".
        self.not_run_statuses: frozenset[int] = frozenset()

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=self._settings.target.connections,
                keepalive_timeout=KEEPALIVE_S,
            ),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # aiohttp retries PUT and DELETE itself when a pooled connection
        # breaks, but the table may declare them not idempotent.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Closes the connection pool."""
        if self._session:
            await self._session.close()

    async def send(
        self, call: messages.Call, context: calls.CallContext
    ) -> TargetResponse:
        """Sends one call and waits for the complete response."""
        remaining_ms = context.deadline_ms - clock.monotonic_ms()
        if remaining_ms <= 0:
            return TargetResponse(Code.DEADLINE_BEFORE_RUN, Outcome.ERROR)
        headers = [*call.headers]
        headers.append((CONTEXT_HEADER, call.call_id))
        headers.append((DEADLINE_HEADER, f"{remaining_ms:.0f}"))
        try:
            async with self._session.request(
                call.method,
                yarl.URL(self._base_url + call.path, encoded=True),
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=remaining_ms / 1000),
            ) as response:
                body = await self._read_body(response)
                return self._make_response(response, body)
        except TimeoutError:
            return TargetResponse(Code.TIMEOUT, Outcome.TIMEOUT)
        except aiohttp.ClientConnectorError:
            return TargetResponse(Code.TARGET_DOWN, Outcome.LOST)
        except aiohttp.ClientPayloadError:
            return TargetResponse(Code.ANSWER_TRUNCATED, Outcome.LOST)
        except (aiohttp.ClientError, OSError):
            return TargetResponse(Code.TARGET_LOST, Outcome.LOST)

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Reads the body; with whole_answers off, a truncated one is used."""
        if self._settings.mechanisms.whole_answers:
            return await response.read()
        body = bytearray()
        with contextlib.suppress(aiohttp.ClientPayloadError):
            async for chunk in response.content.iter_any():
                body += chunk
        return bytes(body)

    async def accepts_connections(self) -> bool:
        """Returns whether the target accepts a new connection.

        A process that exits may close the connection of a call before its
        listening socket. A connection accepted in between is reset soon after;
        the target is then probed again.
        """
        endpoint = self._settings.target.endpoint
        for _ in range(PROBES_MAX):
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        endpoint.host, endpoint.port
                    )
            except (OSError, TimeoutError):
                return False
            try:
                async with asyncio.timeout(PROBE_SETTLE_S):
                    await reader.read(1)
            except TimeoutError:
                return True
            except OSError:
                pass
            finally:
                writer.close()
        return True

    def _make_response(
        self, response: aiohttp.ClientResponse, body: bytes
    ) -> TargetResponse:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.raw_headers
            if name.decode("latin-1").lower() not in HOP_HEADERS
        ]
        code, outcome = Code.OK, Outcome.OK
        if response.status in self.not_run_statuses:
            code, outcome = Code.TARGET_REFUSED, Outcome.REFUSED
        elif response.status >= 500:
            code, outcome = Code.TARGET_ERROR, Outcome.ERROR
        return TargetResponse(code, outcome, response.status, headers, body)
