"""Reads the platform's table and list of VMs over HTTP."""

import asyncio
import enum
import random
from collections.abc import Callable

import aiohttp
from loguru import logger

from mimosahaven import clock
from mimosahaven import settings as settings_lib
from mimosahaven import singlesend

PREFIX = "platform:"
# The platform holds values of up to a megabyte.
DOCUMENT_BYTES_MAX = 1_048_576


class DocumentName(enum.Enum):
    """Documents of the platform; the value is the last part of the path."""

    TABLE = "table"
    LIST = "vms"


class PlatformClient:
    """Reads and watches documents; errors never end it.

    Args:
      settings: Settings of the daemon.
      rng: Source of the jitter of pauses after errors.
      on_document: Called with each text read and the time in ms.
      version_of: Returns the version in force of a document, 0 for none.
      on_contact: Called with the document and the time of each answer.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        rng: random.Random,
        on_document: Callable[[DocumentName, str, float], None],
        version_of: Callable[[DocumentName], int],
        on_contact: Callable[[DocumentName, float], None],
    ):
        self._limits = settings.gossip
        self._rng = rng
        self._on_document = on_document
        self._version_of = version_of
        self._on_contact = on_contact
        endpoint = settings.platform
        self._base = f"http://{endpoint.host}:{endpoint.port}/v1/"
        self._session: aiohttp.ClientSession | None = None
        self._watches: list[asyncio.Task] = []
        self.error_count = 0

    async def start(self) -> None:
        """Opens the HTTP session."""
        # A second send of each failed read would double the load on the
        # platform during an outage.
        self._session = aiohttp.ClientSession(
            auto_decompress=False, middlewares=(singlesend.send_once,)
        )

    async def stop(self) -> None:
        """Ends the watches and closes the session."""
        watches = self._watches
        self.stop_watching()
        await asyncio.gather(*watches, return_exceptions=True)
        if self._session:
            await self._session.close()

    @property
    def watching(self) -> bool:
        """Whether the watches run."""
        return bool(self._watches)

    def start_watching(self) -> None:
        """Starts a watch for each document, unless they run."""
        if not self._watches:
            self._watches = [
                asyncio.get_running_loop().create_task(self._watch(name))
                for name in DocumentName
            ]

    def stop_watching(self) -> None:
        """Ends the watches."""
        for task in self._watches:
            task.cancel()
        self._watches = []

    async def read_all(self) -> bool:
        """Reads each document once.

        Returns:
          Whether the platform answered all reads.
        """
        answers = await asyncio.gather(
            *(self.read(name, 0.0) for name in DocumentName)
        )
        return all(answers)

    async def read(self, name: DocumentName, wait_ms: float) -> bool:
        """Reads a document when it is newer than the one in force.

        Args:
          name: The document.
          wait_ms: Time that the platform shall wait for a newer one.

        Returns:
          Whether the platform answered.
        """
        after = self._version_of(name)
        started_ms = clock.monotonic_ms()
        limit_ms = wait_ms + self._limits.read_timeout_ms
        try:
            async with self._session.get(
                self._base + name.value,
                allow_redirects=False,
                params={"after": str(after), "wait_ms": f"{wait_ms:.0f}"},
                timeout=aiohttp.ClientTimeout(
                    total=limit_ms / 1000,
                    sock_connect=self._limits.read_timeout_ms / 1000,
                ),
            ) as response:
                text = await self._text_of(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._count_error(name, repr(error))
            return False
        if text is None:
            return False
        now_ms = clock.monotonic_ms()
        # After a pause of this process, an answer may have waited in the
        # socket for long.
        self._on_contact(name, min(now_ms, started_ms + wait_ms))
        if text:
            self._on_document(name, text, now_ms)
        return True

    async def _text_of(self, response: aiohttp.ClientResponse) -> str | None:
        if response.status == 204:
            return ""
        name = DocumentName(response.url.name)
        if response.status != 200:
            self._count_error(name, f"status {response.status}")
            return None
        data = bytearray()
        async for chunk in response.content.iter_any():
            data += chunk
            if len(data) > DOCUMENT_BYTES_MAX:
                self._count_error(name, "document of over 1 MiB")
                return None
        return data.decode("utf-8", "replace")

    async def _watch(self, name: DocumentName) -> None:
        while True:
            after = self._version_of(name)
            started_ms = clock.monotonic_ms()
            answered = await self.read(name, self._limits.watch_wait_ms)
            early = clock.monotonic_ms() - started_ms < self._limits.retry_ms
            # An answer that brought no newer version (an invalid document)
            # would come back at once.
            if not answered or (early and self._version_of(name) <= after):
                pause_ms = self._limits.retry_ms * self._rng.uniform(0.5, 1.5)
                await asyncio.sleep(pause_ms / 1000)

    def _count_error(self, name: DocumentName, detail: str) -> None:
        self.error_count += 1
        logger.warning("{} read of {}: {}", PREFIX, name.value, detail)
