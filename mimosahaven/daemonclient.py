"""HTTP client for the status and the decisions of daemons."""

import asyncio
import dataclasses
import ipaddress

import aiohttp
import msgspec

from mimosahaven import decisions
from mimosahaven import status as status_lib

_TIMEOUT_S = 3.0
_CONCURRENT_REQUESTS = 32


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """Address of a daemon's entry."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass
class FleetResponses:
    """Responses of daemons.

    Attributes:
      statuses: Statuses by address.
      pages: Decision pages by address.
      errors: Reasons why requests failed, by address.
    """

    statuses: dict[Address, status_lib.DaemonStatus] = dataclasses.field(
        default_factory=dict
    )
    pages: dict[Address, decisions.DecisionPage] = dataclasses.field(
        default_factory=dict
    )
    errors: dict[Address, str] = dataclasses.field(default_factory=dict)


def parse_address(text: str) -> Address:
    """Parses IP:PORT or [IP]:PORT.

    Raises:
      ValueError: The text is not such an address.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise ValueError(f"{port!r} is not a port")
    return Address(host, int(port))


class DaemonClient:
    """Queries many daemons concurrently and records those that fail."""

    async def __aenter__(self) -> "DaemonClient":
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
        )
        self._semaphore = asyncio.Semaphore(_CONCURRENT_REQUESTS)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._session.close()

    async def fetch_statuses(
        self, addresses: list[Address], discover: bool
    ) -> FleetResponses:
        """Fetches the statuses of daemons.

        Args:
          addresses: Daemons to query.
          discover: Whether to also query the daemons that the first response
            lists.
        """
        responses = FleetResponses()
        await self._fetch_statuses(addresses, responses)
        if discover and responses.statuses:
            first = next(iter(responses.statuses.values()))
            others = {Address(t.host, t.entry_port) for t in first.targets}
            others -= set(addresses)
            await self._fetch_statuses(sorted(others), responses)
        return responses

    async def fetch_decisions(
        self, responses: FleetResponses, identity: str
    ) -> None:
        """Fetches decisions from the daemons that sent a status.

        Args:
          responses: Statuses fetched before; the decisions are added to it.
          identity: Action or call id.
        """

        async def fetch(address: Address) -> None:
            data = await self._get(
                address, "/-/decisions", responses, {"action": identity}
            )
            if data is not None:
                try:
                    responses.pages[address] = msgspec.json.decode(
                        data, type=decisions.DecisionPage
                    )
                except msgspec.MsgspecError as error:
                    responses.errors[address] = f"malformed response: {error}"

        async with asyncio.TaskGroup() as group:
            for address in responses.statuses:
                group.create_task(fetch(address))

    async def _fetch_statuses(
        self, addresses: list[Address], responses: FleetResponses
    ) -> None:
        async def fetch(address: Address) -> None:
            data = await self._get(address, "/-/status", responses)
            if data is not None:
                try:
                    responses.statuses[address] = status_lib.decode(data)
                except msgspec.MsgspecError as error:
                    responses.errors[address] = f"malformed response: {error}"

        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(fetch(address))

    async def _get(
        self,
        address: Address,
        path: str,
        responses: FleetResponses,
        query: dict[str, str] | None = None,
    ) -> bytes | None:
        try:
            async with (
                self._semaphore,
                self._session.get(
                    f"http://{address}{path}", params=query
                ) as response,
            ):
                data = await response.read()
                if response.status == 200:
                    return data
                responses.errors[address] = f"status {response.status}"
        except TimeoutError:
            responses.errors[address] = f"no response within {_TIMEOUT_S:.0f} s"
        except (aiohttp.ClientError, OSError):
            responses.errors[address] = "connection failed"
        return None
