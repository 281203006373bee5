"""HTTP client for the platform's table and list of VMs."""

import asyncio
import enum
import random
from collections.abc import Callable

import aiohttp
from loguru import logger

from mimosahaven import clock
from mimosahaven import settings as settings_lib
from mimosahaven import singlesend

LOG_PREFIX = "platform:"
# The platform stores documents of up to 1 MiB.
DOCUMENT_BYTES_MAX = 1_048_576


class DocumentName(enum.Enum):
    """Documents of the platform; the value is the last path segment."""

    TABLE = "table"
    LIST = "vms"


class PlatformClient:
    """Reads and watches documents; continues after any read error.

    A watch repeats long polls: the platform delays each response until there is
    a newer version or watch_wait_ms have passed.

    Args:
      settings: Settings of the daemon.
      rng: Random source for the jitter of retry delays.
      on_document: Called with each text read and the time in ms.
      version_of: Returns the version in force of a document, 0 for none.
      on_contact: Called for each response, with the document and the latest
        time at which the platform can have sent it.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        rng: random.Random,
        on_document: Callable[[DocumentName, str, float], None],
        version_of: Callable[[DocumentName], int],
        on_contact: Callable[[DocumentName, float], None],
    ):
        self._gossip_settings = settings.gossip
        self._rng = rng
        self._on_document = on_document
        self._version_of = version_of
        self._on_contact = on_contact
        endpoint = settings.platform
        self._base_url = f"http://{endpoint.host}:{endpoint.port}/v1/"
        self._session: aiohttp.ClientSession | None = None
        self._watches: list[asyncio.Task] = []
        self.error_count = 0

    async def start(self) -> None:
        """Opens the HTTP session."""
        # Automatic retries of failed reads would double the load on the
        # platform during an outage.
        self._session = aiohttp.ClientSession(
            auto_decompress=False, middlewares=(singlesend.send_once,)
        )

    async def stop(self) -> None:
        """Cancels the watches and closes the session."""
        watches = self._watches
        self.stop_watching()
        await asyncio.gather(*watches, return_exceptions=True)
        if self._session:
            await self._session.close()

    @property
    def watching(self) -> bool:
        """Whether the watches are running."""
        return bool(self._watches)

    def start_watching(self) -> None:
        """Starts a watch for each document, unless they are running."""
        if not self._watches:
            self._watches = [
                asyncio.get_running_loop().create_task(self._watch(name))
                for name in DocumentName
            ]

    def stop_watching(self) -> None:
        """Cancels the watches."""
        for task in self._watches:
            task.cancel()
        self._watches = []

    async def read_all(self) -> bool:
        """Reads each document once.

        Returns:
          Whether the platform responded to all reads.
        """
        responses = await asyncio.gather(
            *(self.read(name, 0.0) for name in DocumentName)
        )
        return all(responses)

    async def read(self, name: DocumentName, wait_ms: float) -> bool:
        """Reads a document if it is newer than the one in force.

        Args:
          name: The document.
          wait_ms: Time that the platform may wait for a newer version.

        Returns:
          Whether the platform responded.
        """
        after = self._version_of(name)
        started_ms = clock.monotonic_ms()
        timeout_ms = wait_ms + self._gossip_settings.read_timeout_ms
        try:
            async with self._session.get(
                self._base_url + name.value,
                allow_redirects=False,
                params={"after": str(after), "wait_ms": f"{wait_ms:.0f}"},
                timeout=aiohttp.ClientTimeout(
                    total=timeout_ms / 1000,
                    sock_connect=self._gossip_settings.read_timeout_ms / 1000,
                ),
            ) as response:
                text = await self._read_text(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._count_error(name, repr(error))
            return False
        if text is None:
            return False
        now_ms = clock.monotonic_ms()
        # During a pause of this process, the response may have been in the
        # socket buffer for a long time.
        self._on_contact(name, min(now_ms, started_ms + wait_ms))
        if text:
            self._on_document(name, text, now_ms)
        return True

    async def _read_text(self, response: aiohttp.ClientResponse) -> str | None:
        if response.status == 204:
            return ""
        name = DocumentName(response.url.name)
        if response.status != 200:
            self._count_error(name, f"HTTP status {response.status}")
            return None
        data = bytearray()
        async for chunk in response.content.iter_any():
            data += chunk
            if len(data) > DOCUMENT_BYTES_MAX:
                self._count_error(name, "document exceeds 1 MiB")
                return None
        return data.decode("utf-8", "replace")

    async def _watch(self, name: DocumentName) -> None:
        while True:
            after = self._version_of(name)
            started_ms = clock.monotonic_ms()
            responded = await self.read(
                name, self._gossip_settings.watch_wait_ms
            )
            returned_early = (
                clock.monotonic_ms() - started_ms
                < self._gossip_settings.retry_ms
            )
            # An invalid document does not raise the version in force, so that
            # the platform would send it again at once.
            if not responded or (
                returned_early and self._version_of(name) <= after
            ):
                delay_ms = self._gossip_settings.retry_ms * self._rng.uniform(
                    0.5, 1.5
                )
                await asyncio.sleep(delay_ms / 1000)

    def _count_error(self, name: DocumentName, detail: str) -> None:
        self.error_count += 1
        logger.warning(
            "{} read of {} failed: {}", LOG_PREFIX, name.value, detail
        )
