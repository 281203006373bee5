"""Several mesh daemons in one process, with scripted targets."""

import asyncio
import contextlib
import itertools
import os

from mimosahaven.mesh import daemon as daemon_lib
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import settings as settings_lib
from tests.mesh import rawtarget
from tests.mesh import samples

# Ports below the kernel's ephemeral range. Each process and each fleet uses
# its own loopback addresses.
CALLERS_PORT, PEERS_PORT, READY_PORT, TARGET_PORT = 7621, 7622, 7623, 7624
_NETWORKS = itertools.count(1)


class FakeFeed:
    """In-memory feed of routes and targets."""

    def __init__(self, table, targets):
        self.table = table
        self.targets = targets
        self.down = False
        self.epoch = 0
        self._pending = asyncio.Queue()

    async def snapshot(self):
        if self.down:
            raise feed_lib.FeedError("down")
        return feed_lib.Snapshot(1, self.table, list(self.targets))

    async def changes(self, after, wait_ms):
        if self.down:
            raise feed_lib.FeedError("down")
        return await self._pending.get()

    async def check(self):
        if self.down:
            raise feed_lib.FeedError("down")

    def publish(self, changes):
        self._pending.put_nowait(changes)

    async def close(self):
        pass


class Fleet:
    """One daemon per service, each with a target.

    Args:
      services: Service of each daemon's target.
      handlers: Request handler of each target; None for the default.
      routes: Routes of the table; None for one default route.
      slots: Requests that each target processes at a time.
      bounds: Bounds that differ from the defaults of the settings.
    """

    def __init__(
        self, services, handlers=None, routes=None, slots=10, bounds=None
    ):
        self._network = f"127.{os.getpid() % 250 + 1}.{next(_NETWORKS)}"
        self.hosts = [f"{self._network}.{i + 1}" for i in range(len(services))]
        self.services = services
        self._bounds = bounds or {}
        handlers = handlers or [None] * len(services)
        self.targets = [rawtarget.RawTarget(handler) for handler in handlers]
        table = samples.table(*(routes or [samples.route()]))
        target_records = [
            samples.target(
                f"i-{i}",
                host,
                service=services[i],
                port=TARGET_PORT,
                slots=slots,
            )
            for i, host in enumerate(self.hosts)
        ]
        self.feeds = [FakeFeed(table, target_records) for _ in services]
        self.daemons = []

    async def __aenter__(self):
        for i, host in enumerate(self.hosts):
            await self.targets[i].start(host, TARGET_PORT)
            self.daemons.append(await self._start_daemon(i))
        await wait_until(lambda: all(daemon.ready for daemon in self.daemons))
        return self

    async def __aexit__(self, *exc):
        for daemon in self.daemons:
            daemon.stop()
        for target in self.targets:
            target.close()
        await asyncio.sleep(0)

    async def restart(self, index):
        """Replaces a daemon by one that knows nothing of before."""
        self.daemons[index].stop()
        await asyncio.sleep(0)
        self.daemons[index] = await self._start_daemon(index)
        await wait_until(lambda: self.daemons[index].ready)

    async def _start_daemon(self, index):
        host = self.hosts[index]
        settings = settings_lib.convert(
            {
                "vm": f"vm-{index}",
                "failure_domain": "a",
                "service": self.services[index],
                "target": f"{host}:{TARGET_PORT}",
                "listen": {
                    "callers": f"{host}:{CALLERS_PORT}",
                    "peers": f"{host}:{PEERS_PORT}",
                    "readiness": f"{host}:{READY_PORT}",
                },
                "store": {"endpoint": f"{host}:1"},
                "bounds": self._bounds,
            },
            settings_lib.MeshSettings,
        )
        daemon = daemon_lib.MeshDaemon(settings, self.feeds[index])
        await daemon.start()
        return daemon

    @contextlib.asynccontextmanager
    async def connect(self, index=0):
        reader, writer = await asyncio.open_connection(
            self.hosts[index], CALLERS_PORT
        )
        try:
            yield reader, writer
        finally:
            writer.close()

    async def send_request(self, index=0, **changes):
        """Sends one request and returns status, headers and body."""
        async with self.connect(index) as (reader, writer):
            writer.write(request(**changes))
            return await read_response(reader)


def request(
    attempt="r1",
    path="/x/1",
    method="GET",
    body=b"",
    deadline_ms=1000,
    extra="",
):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Mimosahaven-Attempt: {attempt}\r\n"
        f"Mimosahaven-Deadline-Ms: {deadline_ms}\r\n{extra}"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_response(reader):
    async with asyncio.timeout(10):
        head = await rawtarget.read_head(reader)
        status = int(head["line"].split(" ")[1])
        if head.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(head.get("content-length", 0)))
    return status, head, body


async def wait_until(condition, timeout_s=10.0):
    """Waits for a condition; the default timeout allows for a busy machine."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
