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


# A revision and the items at it.
Copy = tuple[int, dict[str, dict]]


class FakeStore:
    """Serves items and their changes; can discard its history.

    It can also be restored from an older copy of its items: what was written
    since is lost, revisions are given out again, and a watch from a revision
    that it does not have gets 410.

    Attributes:
      fault: Fault injected into requests while it is set.
      delay_s: Delay of each response.
      request_count: Number of requests received, including failed ones.
      epoch: Number of restores, from 1; each response has it in a header.
    """

    def __init__(self):
        self.fault = Fault.NONE
        self.delay_s = 0.004
        self.request_count = 0
        self.epoch = 1
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
        app.on_response_prepare.append(self._add_epoch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    async def put(self, key: str, value: object) -> int:
        """Stores an item and returns its revision."""
        return await self.put_bytes(key, json.dumps(value).encode())

    async def put_bytes(self, key: str, value: bytes) -> int:
        """Stores an item with any bytes and returns its revision."""
        data = base64.b64encode(value).decode()
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

    def copy(self) -> Copy:
        """Returns a copy of the items, with its revision, for restore()."""
        return self._revision, dict(self._items)

    async def restore(self, copy: Copy) -> None:
        """Goes back to an earlier copy; begins a new epoch."""
        self.epoch += 1
        self._revision, items = copy
        self._items = dict(items)
        self._events = [e for e in self._events if e["rev"] <= self._revision]
        async with self._condition:
            self._condition.notify_all()

    async def _add_epoch(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self.epoch)

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
        prefix = request.query["prefix"]
        items = [i for i in self._items.values() if i["key"].startswith(prefix)]
        return web.json_response(
            {
                "items": sorted(items, key=lambda i: i["key"]),
                "store_revision": self._revision,
                "has_more": False,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        await self._inject_fault(request)
        after = int(request.query["after"])
        if not self._oldest <= after <= self._revision:
            raise web.HTTPGone
        wait_s = int(request.query["wait_ms"]) / 1000
        epoch = self.epoch
        try:
            async with asyncio.timeout(wait_s), self._condition:
                await self._condition.wait_for(
                    lambda: self._revision > after or self.epoch != epoch
                )
        except TimeoutError:
            pass
        if self.epoch != epoch:
            raise web.HTTPGone
        while self.fault is Fault.SILENT:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        if self.fault is not Fault.NONE:
            raise web.HTTPServiceUnavailable
        events = [event for event in self._events if event["rev"] > after]
        return web.json_response(
            {"events": events, "store_revision": self._revision}
        )
