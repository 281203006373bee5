"""The platform's store, as far as daemons read it."""

import asyncio
import base64
import json
import urllib.parse

from standins import wire

ANSWER_S = 0.004


class Store:
    """Serves `kv-range`, `kv-key` and `kv-watch`; loses nothing."""

    def __init__(self):
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stops and closes all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def put(self, key: str, document: object) -> None:
        """Writes an item; the return is the acknowledgement."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": value,
            "rev": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._events.append(item)
        async with self._changed:
            self._changed.notify_all()

    async def delete(self, key: str) -> None:
        """Removes an item; does nothing if there is none."""
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append(
            {"key": key, "rev": self._revision, "is_gone": True}
        )
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                status, document = await self._answer(request.path)
                await asyncio.sleep(ANSWER_S)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(wire.encode_response(status, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        prefix = fields.get("prefix", "")
        if path == "/api/kv-key":
            item = self._items.get(fields["key"])
            return (200, item) if item else (404, {})
        if path == "/api/kv-range":
            items = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(prefix) and key > fields.get("after", "")
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "store_revision": self._revision,
            }
        after, wait_s = int(fields["after"]), int(fields["wait_ms"]) / 1000

        def events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(events)
        except TimeoutError:
            pass
        return 200, {"events": events(), "store_revision": self._revision}
