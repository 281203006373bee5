"""Fake of the platform's store: read API only, with fault injection."""

import asyncio
import base64
import enum
import json

from aiohttp import web


class Fault(enum.Enum):
    """Fault that the store injects into its responses.

    BUSY responds with 503, SILENT does not respond, and RESET resets the
    connection.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


class FakeStore:
    """Serves items and their changes; can discard its history.

    Attributes:
      fault: Fault injected into requests while it is set.
      delay_s: Delay of each response.
      request_count: Number of requests received, including failed ones.
    """

    def __init__(self):
        self.fault = Fault.NONE
        self.delay_s = 0.004
        self.request_count = 0
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        self._oldest = 1
        self._condition = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        app = web.Application()
        app.router.add_get("/api/kv-range", self._handle_range)
        app.router.add_get("/api/kv-watch", self._handle_watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    async def put(self, key: str, value: object) -> int:
        """Stores an item and returns its revision."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._revision += 1
        item = {"key": key, "value": data, "rev": self._revision, "lease": 0}
        self._items[key] = item
        return await self._record_event(item)

    async def delete(self, key: str) -> int:
        """Removes an item and returns the revision."""
        self._revision += 1
        self._items.pop(key, None)
        return await self._record_event(
            {"key": key, "rev": self._revision, "is_gone": True}
        )

    def forget_history(self) -> None:
        """Discards all past changes."""
        self._oldest = self._revision
        self._events.clear()

    async def _record_event(self, event: dict) -> int:
        self._events.append(event)
        async with self._condition:
            self._condition.notify_all()
        return self._revision

    async def _inject_fault(self, request: web.Request) -> None:
        self.request_count += 1
        await asyncio.sleep(self.delay_s)
        if self.fault is Fault.BUSY:
            raise web.HTTPServiceUnavailable
        if self.fault is Fault.RESET:
            request.transport.abort()
        while self.fault is Fault.SILENT:  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    async def _handle_range(self, request: web.Request) -> web.Response:
        await self._inject_fault(request)
        return web.json_response(
            {
                "items": sorted(self._items.values(), key=lambda i: i["key"]),
                "store_revision": self._revision,
                "has_more": False,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        await self._inject_fault(request)
        after = int(request.query["after"])
        if after < self._oldest:
            raise web.HTTPGone
        wait_s = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s), self._condition:
                await self._condition.wait_for(lambda: self._revision > after)
        except TimeoutError:
            pass
        while self.fault is Fault.SILENT:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        if self.fault is not Fault.NONE:
            raise web.HTTPServiceUnavailable
        events = [event for event in self._events if event["rev"] > after]
        return web.json_response(
            {"events": events, "store_revision": self._revision}
        )
