"""Model of a fleet that follows the store, in virtual time.

Replicas, store watches, watcher selections and subscriptions are the real ones;
the store and the connections between daemons are models.
"""

import asyncio
import contextlib
import math
import random

from mimosahaven import clock
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import daemon as daemon_lib
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import storewatch
from mimosahaven.mesh import subscriptions
from mimosahaven.mesh import watcherselection
from tests.mesh import samples
from tests.mesh import test_replica

# One way, between two VMs and between a VM and the store.
LATENCY_S = 0.002
# Time that the store takes to respond.
RESPONSE_S = 0.004


class ModelStore:
    """The platform's store, with one configuration and a fixed list.

    Attributes:
      cut_off: VMs without a network path to the store.
      deaf: VMs to whose waiting watches the store does not report changes.
      response_s: Time that the store takes to respond.
    """

    def __init__(self, targets):
        self.targets = targets
        self.revision = 1
        self.oldest_revision = 1
        self.table = samples.table(samples.route(), version=1)
        self.cut_off = set()
        self.deaf = set()
        self.response_s = RESPONSE_S
        self._changed = asyncio.Event()
        self._connections = []

    def put_table(self):
        """Writes the next version of the configuration."""
        self.table = samples.table(
            samples.route(), version=self.table.version + 1
        )
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self):
        self.oldest_revision = self.revision

    def connect(self):
        connection = ModelConnection()
        self._connections.append(connection)
        return connection

    def silence_connections(self):
        """Makes the open connections silent for good."""
        for connection in self._connections:
            connection.silent = True

    def lose_responses(self):
        """Loses the responses to all requests in progress."""
        for connection in self._connections:
            connection.silent = connection.silent or connection.busy

    async def wait_for_change(self, wait_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._changed.wait()


class ModelConnection:
    """A connection to the store."""

    def __init__(self):
        self.silent = False
        self.busy = False


class ModelFeed:
    """Client of the model store on one VM, as platform/ has one."""

    epoch = 0

    def __init__(self, store, host, settings):
        self._store = store
        self._host = host
        self._settings = settings
        self._idle = []

    async def snapshot(self):
        async with self._exchange(0.0):
            pass
        store = self._store
        return feed_lib.Snapshot(
            store.revision, store.table, list(store.targets)
        )

    async def changes(self, after, wait_ms):
        store = self._store
        async with self._exchange(wait_ms):
            if after < store.oldest_revision:
                raise feed_lib.HistoryGoneError("history gone")
            if after >= store.revision:
                await self._wait_for_change(wait_ms / 1000)
        table = store.table if store.revision > after else None
        return feed_lib.Changes(store.revision, table, [], [])

    async def check(self):
        async with self._exchange(0.0):
            pass

    async def _wait_for_change(self, wait_s):
        now_s = asyncio.get_running_loop().time
        end_s = now_s() + wait_s
        await self._store.wait_for_change(wait_s)
        if self._host in self._store.deaf:
            await asyncio.sleep(max(0.0, end_s - now_s()))

    @contextlib.asynccontextmanager
    async def _exchange(self, wait_ms):
        """Sends a request on entry and receives the response on exit."""
        timeout_ms = wait_ms + self._settings.read_timeout_ms
        connection = self._idle.pop() if self._idle else self._store.connect()
        connection.busy = True
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._transfer(connection)
                await asyncio.sleep(self._store.response_s)
                yield
                await self._transfer(connection)
        except TimeoutError as error:
            raise feed_lib.FeedError(
                f"no response in {timeout_ms:.0f} ms"
            ) from error
        connection.busy = False
        self._idle.append(connection)

    async def _transfer(self, connection):
        await asyncio.sleep(LATENCY_S)
        if connection.silent or self._host in self._store.cut_off:
            await asyncio.get_running_loop().create_future()


class ModelFollower:
    """Connection of a follower, as its source sees it."""

    def __init__(self, is_cut):
        self.frames = asyncio.Queue()
        self._decoder = frames.FrameDecoder()
        self._is_cut = is_cut

    def push(self, data):
        if not self._is_cut():
            asyncio.get_running_loop().call_later(
                LATENCY_S, self._receive, data
            )
        return 0

    def abort(self):
        raise AssertionError("the model has no slow followers")

    def _receive(self, data):
        for frame in self._decoder.feed(data):
            self.frames.put_nowait(frame)


class ModelPeers:
    """Connections from one daemon to the others."""

    def __init__(self, fleet, host, settings):
        self._fleet = fleet
        self._host = host
        self._settings = settings

    async def follow(self, host, request, on_frame):
        fleet = self._fleet
        if not await self._connect(host):
            return
        source = fleet.daemons[host]
        follower = ModelFollower(lambda: fleet.is_cut(host, self._host))
        state = source.replica.state_newer_than(request)
        if state.table is not None or state.targets is not None:
            follower.push(frames.encode(state))
        follower.push(frames.encode(source.heartbeat()))
        source.followers.add(follower)
        try:
            while True:
                async with asyncio.timeout(
                    watcherselection.HEARTBEAT_TIMEOUT_MS / 1000
                ):
                    frame = await follower.frames.get()
                on_frame(frame)
        except TimeoutError:
            return
        finally:
            source.followers.discard(follower)

    async def fetch(self, host, port, request):
        if not await self._connect(host):
            return None
        state = self._fleet.daemons[host].replica.state_newer_than(request)
        await asyncio.sleep(LATENCY_S)
        return state

    async def _connect(self, host):
        fleet = self._fleet
        if fleet.is_cut(host, self._host) or fleet.is_cut(self._host, host):
            await asyncio.sleep(self._settings.connect_timeout_ms / 1000)
            return False
        await asyncio.sleep(3 * LATENCY_S)
        return True


class ModelDaemon:
    """The part of a daemon that follows the store.

    Attributes:
      in_force_ms: Time from which each version is in force.
    """

    def __init__(self, fleet, target, rng):
        settings = settings_lib.convert(
            {
                "vm": target.host,
                "failure_domain": target.failure_domain,
                "service": target.service,
                "target": f"{target.host}:{target.port}",
                "listen": {
                    "callers": f"{target.host}:1",
                    "peers": f"{target.host}:2",
                    "readiness": f"{target.host}:3",
                },
                "store": {"endpoint": "10.255.0.1:1"},
            },
            settings_lib.MeshSettings,
        )
        log = test_replica.NullLog()
        peers = ModelPeers(fleet, target.host, settings.peers)
        self.tasks = tasks_lib.BackgroundTasks()
        self.failure_domain = target.failure_domain
        self.in_force_ms = {}
        self.replica = replica_lib.Replica(settings, peers, log)
        self.store_watch = storewatch.StoreWatch(
            settings,
            ModelFeed(fleet.store, target.host, settings.store),
            self.replica,
            log,
            rng,
        )
        self.followers = subscriptions.Followers()
        self._subscriptions = subscriptions.Subscriptions(
            self.replica, peers, self.tasks, log
        )
        self.replica.publish = self.followers.publish
        self.replica.on_change = self._on_change
        self._first_tick_s = rng.uniform(0, daemon_lib.TICK_MS / 1000)

    def start(self):
        self.tasks.spawn(self.store_watch.run())
        self.tasks.spawn(self._run_ticks())

    def heartbeat(self):
        return self.replica.heartbeat(
            self.store_watch.has_store, clock.monotonic_ms()
        )

    def _on_change(self):
        self.in_force_ms.setdefault(
            self.replica.table_version, clock.monotonic_ms()
        )

    async def _run_ticks(self):
        await asyncio.sleep(self._first_tick_s)
        while True:
            now_ms = clock.monotonic_ms()
            self._subscriptions.tick(now_ms)
            heartbeat = self.heartbeat()
            if self.followers.heartbeat_due(heartbeat, now_ms):
                self.followers.publish(heartbeat)
            self.replica.tick(now_ms)
            if self.replica.is_fetch_due(now_ms):
                self.tasks.spawn(self.replica.fetch_newer())
            await asyncio.sleep(daemon_lib.TICK_MS / 1000)


class ModelFleet:
    """Daemons in several failure domains, and the store.

    Args:
      seed: Seed of all random choices.
      domains: Number of failure domains.
      per_domain: Number of daemons per failure domain.

    Attributes:
      unreachable: VMs that can neither send to other VMs nor receive.
      cut_links: Pairs of a VM and another one that it cannot send to.
    """

    def __init__(self, seed, domains=3, per_domain=4):
        targets = [
            samples.target(
                f"i-{domain}-{n}",
                f"10.{domain}.0.{n}",
                failure_domain=f"d{domain}",
            )
            for domain in range(domains)
            for n in range(per_domain)
        ]
        self.rng = random.Random(seed)
        self.store = ModelStore(targets)
        self.unreachable = set()
        self.cut_links = set()
        self.daemons = {
            target.host: ModelDaemon(
                self, target, random.Random(f"{seed}/{target.host}")
            )
            for target in targets
        }

    def start(self):
        for daemon in self.daemons.values():
            daemon.start()

    def stop(self):
        for daemon in self.daemons.values():
            daemon.tasks.cancel_all()

    def is_cut(self, sender, receiver):
        return (
            not self.unreachable.isdisjoint((sender, receiver))
            or (sender, receiver) in self.cut_links
        )

    def end_faults(self):
        self.store.cut_off, self.store.deaf = set(), set()
        self.store.response_s = RESPONSE_S
        self.unreachable, self.cut_links = set(), set()

    def fleet_watchers(self):
        return {
            host
            for host, daemon in self.daemons.items()
            if daemon.replica.watcher_selection.is_fleet_watcher
        }

    def relays(self):
        return {
            host
            for host, daemon in self.daemons.items()
            if daemon.replica.watcher_selection.is_relay
        }

    def all_but_last_candidates(self):
        """Returns all but the daemon of each domain that takes over last."""
        last = {}
        for host, daemon in self.daemons.items():
            selection = daemon.replica.watcher_selection
            domain = daemon.failure_domain
            last[domain] = max(
                last.get(domain, (0, "")), (selection.position, host)
            )
        return self.daemons.keys() - {host for _, host in last.values()}

    async def change_delay_ms(self, hosts, timeout_s):
        """Writes a configuration and waits until it is in force.

        Returns:
          The time until it is in force on all given VMs, or infinity after the
          timeout.
        """
        self.store.put_table()
        version = self.store.table.version
        written_ms = clock.monotonic_ms()
        times_ms = [self.daemons[host].in_force_ms for host in hosts]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not all(  # noqa: ASYNC110
                    version in by_version for by_version in times_ms
                ):
                    await asyncio.sleep(0.05)
        return max(
            by_version.get(version, math.inf) - written_ms
            for by_version in times_ms
        )
