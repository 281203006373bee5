"""Processes of a soak: real daemons, with a fake store, targets and callers."""

import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from mimosahaven.mesh import records
from mimosahaven.mesh import watcherselection
from mimosahaven.testing import forwarder as forwarder_lib
from mimosahaven.testing import processes
from tests.platform import fakestore
from tests.platform import writer
from tests.soak import observations as observations_lib
from tests.soak import workload

PROGRAM = processes.ROOT / "platform" / "daemon.py"
FAILURE_DOMAIN_COUNT = 3
CALLERS_PER_VM = 2
GRACE_PERIOD_S = 6.0
DRAIN_S = 2.0
# The platform restarts an exited process after a short delay.
RESTART_DELAY_S = 0.3
STALL_THRESHOLD_S = 0.25
COPY_INTERVAL_S = 0.5
TABLE_KEY = "table"
COPIES_MAX = 40
# Soaks of the same process use separate addresses.
_network_numbers = itertools.count(1)


class Harness:
    """Daemons, targets, store and callers of one soak.

    Each daemon listens for peers behind a forwarder, which injects the network
    faults between daemons.

    Args:
      count: Number of VMs.
      seed: Seed of all random choices.
      directory: Directory for settings and logs.
    """

    def __init__(self, count: int, seed: int, directory: pathlib.Path):
        self.rng = random.Random(seed)
        self.observations = observations_lib.Observations()
        self.store = fakestore.FakeStore()
        self.directory = directory
        self.stopping = False
        network = f"127.{os.getpid() % 250 + 1}"
        number = next(_network_numbers)
        self.hosts = [f"{network}.{number}.{i + 1}" for i in range(count)]
        self._daemon_hosts = [
            f"{network}.{number + 100}.{i + 1}" for i in range(count)
        ]
        self._store_host = f"{network}.{number}.250"
        self.incarnations = [0] * count
        self.targets: list[workload.Target | None] = [None] * count
        self.forwarders: list[forwarder_lib.Forwarder] = []
        self.store_forwarders: list[forwarder_lib.Forwarder] = []
        self.daemons: list[subprocess.Popen | None] = [None] * count
        self._restart_enabled = [True] * count
        self._ready = [False] * count
        self._target_numbers = [0] * count
        self._version = 0
        self._table: records.RouteTable | None = None
        # Copies of the store, each with the time at which it was made.
        self._copies: collections.deque[tuple[float, fakestore.Copy]] = (
            collections.deque(maxlen=COPIES_MAX)
        )
        # Time and key of each write: TABLE_KEY, or the ID of a target.
        self._writes: list[tuple[float, str]] = []
        self._tasks: list[asyncio.Task] = []

    @property
    def count(self) -> int:
        """Number of VMs."""
        return len(self.hosts)

    def accepts_callers(self, vm: int) -> bool:
        """Returns whether callers may open connections to a daemon."""
        return self._ready[vm]

    async def start(self) -> None:
        """Starts the store, targets and daemons, and then the callers.

        The callers start once all daemons are ready.
        """
        await self.store.start(self._store_host, workload.STORE_PORT)
        await self.put_table()
        for vm, host in enumerate(self.hosts):
            forwarder = forwarder_lib.Forwarder(
                host, self._daemon_hosts[vm], workload.PEERS_PORT
            )
            forwarder.port = workload.PEERS_PORT
            await forwarder.start()
            self.forwarders.append(forwarder)
            store_forwarder = forwarder_lib.Forwarder(
                self._daemon_hosts[vm],
                self._store_host,
                workload.STORE_PORT,
            )
            store_forwarder.port = workload.STORE_PORT
            await store_forwarder.start()
            self.store_forwarders.append(store_forwarder)
            await self.start_target(vm)
            self.start_daemon(vm)
            self._spawn(self._restart_on_exit(vm))
            self._spawn(self._poll_readiness(vm))
        self._spawn(self._detect_stalls())
        self._spawn(self._copy_store())

        async def all_ready():
            return all(self._ready)

        await processes.wait_until(all_ready, description="all daemons ready")
        for vm, host in enumerate(self.hosts):
            for number in range(CALLERS_PER_VM):
                caller = workload.Caller(
                    f"c{vm}.{number}", vm, host, self, self.rng
                )
                self._spawn(caller.run())
            probe = workload.Caller(f"p{vm}", vm, host, self, self.rng)
            self._spawn(probe.run_probes())

    async def stop(self) -> None:
        """Stops all processes, tasks and servers."""
        self.observations.ended_s = time.monotonic()
        self.stopping = True
        self._restart_enabled = [False] * self.count
        for daemon in self.daemons:
            if daemon is not None and daemon.poll() is None:
                daemon.send_signal(signal.SIGCONT)
                daemon.kill()
                daemon.wait()
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self.targets:
            if target is not None:
                target.crash()
        for forwarder in [*self.forwarders, *self.store_forwarders]:
            await forwarder.stop()
        await self.store.stop()
        for result in results:
            if isinstance(result, Exception):
                raise result

    def _spawn(self, coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    # Store.

    async def _copy_store(self) -> None:
        """Makes the copies from which the store is restored."""
        while not self.stopping:
            self._copies.append((time.monotonic(), self.store.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore_store(self, age_s: float) -> float:
        """Restores the store from the oldest copy of at most an age.

        Returns:
          Time of the copy.
        """
        since_s = time.monotonic() - age_s
        while len(self._copies) > 1 and self._copies[0][0] < since_s:
            self._copies.popleft()
        copied_s, copy = self._copies[0]
        await self.store.restore(copy)
        return copied_s

    async def write_again(self, since_s: float) -> None:
        """Writes again what was written since, as operators and targets do."""
        lost = {key for at_s, key in self._writes if at_s > since_s}
        if TABLE_KEY in lost:
            await writer.put_table(self.store, self._table)
        for target in self.targets:
            if target is not None and target.target_id in lost:
                await self._put_target(target, target.state)
                lost.discard(target.target_id)
        for target_id in lost - {TABLE_KEY}:
            await self._remove_target(target_id)

    # Targets.

    async def start_target(self, vm: int) -> None:
        """Starts a new target on a VM and registers it in the store."""
        self._target_numbers[vm] += 1
        target = workload.Target(
            vm,
            self.hosts[vm],
            self._target_numbers[vm],
            self.observations,
            self.rng,
        )
        await target.start()
        self.targets[vm] = target
        await self._put_target(target, records.SERVING_STATE)

    async def _put_target(self, target: workload.Target, state: str) -> None:
        target.state = state
        target.write_count += 1
        self._writes.append((time.monotonic(), target.target_id))
        await writer.put_target(
            self.store,
            records.Target(
                target_id=target.target_id,
                service=target.service,
                host=target.host,
                port=workload.TARGET_PORT,
                failure_domain=_failure_domain(target.vm),
                slots=workload.SLOTS,
                state=state,
                started_unix_ms=target.started_unix_ms,
                sequence=target.write_count,
            ),
        )

    async def _remove_target(self, target_id: str) -> None:
        self._writes.append((time.monotonic(), target_id))
        await writer.remove_target(self.store, target_id)

    async def put_odd_entry(self, target_id: str, change: bytes) -> None:
        """Writes an entry that no target writes.

        Args:
          target_id: ID in its key.
          change: JSON of the field that is not as a target would write it.
        """
        entry = b'{"service": "odd", "address": "10.0.0.1:80", "zone": "z", '
        entry += b'"slots": 1, "state": "ready", "cold_left_s": 0, "seq": 1, '
        await self.store.put_bytes(
            f"servers/{target_id}", entry + change + b"}"
        )

    def fleet_watchers(self) -> set[int]:
        """Returns the VMs whose daemons watch the store for the fleet."""
        targets = [
            records.Target(
                target_id=target.target_id,
                service=target.service,
                host=target.host,
                port=workload.TARGET_PORT,
                failure_domain=_failure_domain(target.vm),
                slots=workload.SLOTS,
                state=target.state,
            )
            for target in self.targets
            if target is not None
        ]
        watchers = set()
        for vm, host in enumerate(self.hosts):
            selection = watcherselection.WatcherSelection(
                host, _failure_domain(vm)
            )
            selection.set_targets(targets)
            if selection.is_fleet_watcher:
                watchers.add(vm)
        return watchers

    async def crash_target(self, vm: int) -> None:
        """Stops a target abruptly and removes its store entry after a delay."""
        target, self.targets[vm] = self.targets[vm], None
        target.crash()
        await asyncio.sleep(1.0)
        await self._remove_target(target.target_id)

    async def replace_target(self, vm: int, listed: bool) -> None:
        """Drains a target and starts another one at its address.

        Args:
          vm: VM of the target.
          listed: Whether its entry says so; otherwise only its responses do.
        """
        target = self.targets[vm]
        target.leaving = True
        if not listed:
            await asyncio.sleep(DRAIN_S + 1.5)
            self.targets[vm] = None
            target.crash()
            await self._remove_target(target.target_id)
            await self.start_target(vm)
            return
        await self._put_target(target, records.DRAINING_STATE)
        self.observations.drain_starts.append(
            observations_lib.DrainStart(target.target_id, time.monotonic())
        )
        await asyncio.sleep(DRAIN_S + 0.5)
        self.targets[vm] = None
        target.crash()
        await self._remove_target(target.target_id)
        await asyncio.sleep(0.5)
        await self.start_target(vm)

    # Operator configuration.

    async def put_table(self) -> None:
        """Writes the next table, with a new prefix for the probed route."""
        self._version += 1
        version = self._version
        routes = []
        for name, kind in workload.KINDS.items():
            prefix, service = kind.prefix, kind.service
            if name == workload.PROBE_KIND:
                prefix = f"{prefix}{version}/"
                service = self.rng.choice(workload.SERVICES)
            rule = records.RepeatRule.IDEMPOTENT
            if kind.at_most_once:
                rule = records.RepeatRule.ONCE
            routes.append(
                records.Route(
                    name=name,
                    host=workload.HOST_HEADER,
                    prefix=prefix,
                    repeat_rule=rule,
                    timeout_ms=workload.DEADLINE_MS,
                    objective_ms=workload.DEADLINE_MS / 2,
                    rank=kind.rank,
                    targets_max=workload.TARGETS_MAX,
                    shares=(records.Share(service, 1.0),),
                )
            )
        self._table = records.RouteTable(version=version, routes=tuple(routes))
        self._writes.append((time.monotonic(), TABLE_KEY))
        await writer.put_table(self.store, self._table)
        self.observations.tables.append((time.monotonic(), version))

    # Daemons.

    def start_daemon(self, vm: int) -> None:
        """Starts the daemon of a VM."""
        host = self.hosts[vm]
        settings = {
            "vm": f"vm-{vm}",
            "failure_domain": _failure_domain(vm),
            "service": workload.service_of(vm),
            "target": f"{host}:{workload.TARGET_PORT}",
            "listen": {
                "callers": f"{host}:{workload.CALLERS_PORT}",
                "peers": f"{self._daemon_hosts[vm]}:{workload.PEERS_PORT}",
                "readiness": f"{host}:{workload.READY_PORT}",
            },
            "store": {
                "endpoint": f"{self._daemon_hosts[vm]}:{workload.STORE_PORT}"
            },
            "bounds": {"grace_s": GRACE_PERIOD_S, "resend_slack": 47},
        }
        path = self.directory / f"vm-{vm}.json5"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.incarnations[vm] += 1
        with (self.directory / f"vm-{vm}.log").open("ab") as log:
            self.daemons[vm] = subprocess.Popen(
                [sys.executable, str(PROGRAM)],
                env=os.environ | {writer.SETTINGS_VARIABLE: str(path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, vm: int, number: signal.Signals) -> None:
        """Sends a signal to a daemon that is running."""
        daemon = self.daemons[vm]
        if daemon.poll() is None:
            daemon.send_signal(number)

    async def _restart_on_exit(self, vm: int) -> None:
        """Restarts a daemon whenever it has exited."""
        while self._restart_enabled[vm]:
            await asyncio.sleep(0.02)
            if self.daemons[vm].poll() is not None:
                await asyncio.sleep(RESTART_DELAY_S)
                if self._restart_enabled[vm]:
                    self.start_daemon(vm)

    async def _poll_readiness(self, vm: int) -> None:
        """Polls readiness; after two failures, callers open no connections."""
        failures = 2
        while not self.stopping:
            failures = 0 if await self._is_ready(vm) else failures + 1
            self._ready[vm] = failures < 2
            await asyncio.sleep(1.0 if self._ready[vm] else 0.2)

    async def _is_ready(self, vm: int) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, stream = await asyncio.open_connection(
                    self.hosts[vm], workload.READY_PORT
                )
                try:
                    stream.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    head, _ = await workload.read_response(reader)
                finally:
                    stream.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return head["status"] == 200

    async def _detect_stalls(self) -> None:
        """Records when this process was not scheduled for a while."""
        while not self.stopping:
            before_s = time.monotonic()
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            if now_s - before_s > 0.05 + STALL_THRESHOLD_S:
                self.observations.stalls.append(now_s)


def _failure_domain(vm: int) -> str:
    return f"domain-{vm % FAILURE_DOMAIN_COUNT}"
