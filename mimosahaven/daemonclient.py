"""Asks daemons for their status and their decisions."""

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
class Gathered:
    """What daemons answered.

    Attributes:
      statuses: Statuses by address.
      pages: Decision pages by address.
      faults: Why an address gave no answer.
    """

    statuses: dict[Address, status_lib.DaemonStatus] = dataclasses.field(
        default_factory=dict
    )
    pages: dict[Address, decisions.DecisionPage] = dataclasses.field(
        default_factory=dict
    )
    faults: dict[Address, str] = dataclasses.field(default_factory=dict)


def parse_address(text: str) -> Address:
    """Parses IP:PORT or [IP]:PORT.

    Raises:
      ValueError: The text is no such address.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise ValueError(f"{port!r} is not a port")
    return Address(host, int(port))


class DaemonClient:
    """Asks many daemons at once; daemons that do not answer are noted."""

    async def __aenter__(self) -> "DaemonClient":
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
        )
        self._slots = asyncio.Semaphore(_CONCURRENT_REQUESTS)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._session.close()

    async def statuses(self, addresses: list[Address], learn: bool) -> Gathered:
        """Asks for statuses.

        Args:
          addresses: Daemons to ask.
          learn: Whether to ask the daemons that the first answer lists, too.
        """
        gathered = Gathered()
        await self._ask_statuses(addresses, gathered)
        if learn and gathered.statuses:
            first = next(iter(gathered.statuses.values()))
            others = {Address(t.host, t.entry_port) for t in first.targets}
            others -= set(addresses)
            await self._ask_statuses(sorted(others), gathered)
        return gathered

    async def decisions(self, gathered: Gathered, identity: str) -> None:
        """Asks the daemons that answered for their decisions on a call."""

        async def ask(address: Address) -> None:
            data = await self._get(
                address, "/-/decisions", gathered, {"action": identity}
            )
            if data is not None:
                try:
                    gathered.pages[address] = msgspec.json.decode(
                        data, type=decisions.DecisionPage
                    )
                except msgspec.MsgspecError as error:
                    gathered.faults[address] = f"unreadable answer: {error}"

        async with asyncio.TaskGroup() as group:
            for address in gathered.statuses:
                group.create_task(ask(address))

    async def _ask_statuses(
        self, addresses: list[Address], gathered: Gathered
    ) -> None:
        async def ask(address: Address) -> None:
            data = await self._get(address, "/-/status", gathered)
            if data is not None:
                try:
                    gathered.statuses[address] = status_lib.decode(data)
                except msgspec.MsgspecError as error:
                    gathered.faults[address] = f"unreadable answer: {error}"

        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(ask(address))

    async def _get(
        self,
        address: Address,
        path: str,
        gathered: Gathered,
        query: dict[str, str] | None = None,
    ) -> bytes | None:
        try:
            async with (
                self._slots,
                self._session.get(
                    f"http://{address}{path}", params=query
                ) as response,
            ):
                data = await response.read()
                if response.status == 200:
                    return data
                gathered.faults[address] = f"status {response.status}"
        except TimeoutError:
            gathered.faults[address] = f"no answer within {_TIMEOUT_S:.0f} s"
        except (aiohttp.ClientError, OSError):
            gathered.faults[address] = "accepts no connection"
        return None
