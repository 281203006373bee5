"""Runs a deployment as separate processes on loopback addresses."""

import asyncio
import dataclasses
import json
import pathlib
import signal
import tempfile

import aiohttp

from mimosahaven import settings as settings_lib
from mimosahaven.testing import deployments
from mimosahaven.testing import forwarder
from mimosahaven.testing import placement
from mimosahaven.testing import ports as ports_lib
from mimosahaven.testing import processes
from mimosahaven.testing import runs as runs_lib

PLATFORM = "platform"
TARGETS = "targets"
DAEMONS = "daemons"
ALL_PARTS = frozenset({PLATFORM, TARGETS, DAEMONS})


class Runner:
    """Starts and ends the processes of one deployment.

    Processes are named `platform`, by their target (`katalog-1`), or by
    their target and `-daemon`.

    Attributes:
      nodes: The target VMs.
      session: HTTP client for the tests.
      directory: Directory of the settings, logs and records of runs.
      forwarders: Forwarder in front of a daemon's link port, by target.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        variant: str = "full",
        seed: int = 0,
        settings: dict | None = None,
        cold_start_ms: float = 0.0,
        parts: frozenset[str] = ALL_PARTS,
        directory: pathlib.Path | None = None,
        forwarded: tuple[str, ...] = (),
    ):
        """Describes the processes; nothing is started yet.

        Args:
          deployment: What to start.
          variant: Key of `deployments.VARIANTS`.
          seed: Seed of the targets and daemons.
          settings: Settings for all daemons, over those of the variant.
          cold_start_ms: Time for which a new target is slower.
          parts: What to start: `platform`, `targets`, `daemons`.
          directory: Directory of settings, logs and records of runs, which
            is kept; by default a temporary one, which is removed.
          forwarded: Targets whose daemons are linked to through a forwarder.
        """
        self.deployment = deployment.for_variant(variant)
        self._ports = ports_lib.PortAllocator()
        self.nodes = placement.place_targets(deployment, self._ports)
        self.session: aiohttp.ClientSession | None = None
        self._settings = placement.deep_merge(
            deployments.VARIANTS[variant], settings or {}
        )
        self._parts = parts
        self._seed = seed
        self._cold_start_ms = cold_start_ms
        self._host = f"{deployment.address_prefix}.100"
        self._platform_port = self._ports.allocate(self._host)[0]
        self._temporary = None
        if directory is None:
            self._temporary = tempfile.TemporaryDirectory(prefix="mimosahaven-")
            directory = pathlib.Path(self._temporary.name)
        self.directory = directory
        self._processes: dict[str, processes.Process] = {}
        self.forwarders = {
            node.name: forwarder.Forwarder(node.host, node.host, node.link_port)
            for node in self.nodes
            if node.name in forwarded
        }

    @property
    def platform_url(self) -> str:
        """Address of the fake platform."""
        return f"http://{self._host}:{self._platform_port}"

    async def __aenter__(self) -> "Runner":
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_exc) -> None:
        await self.stop()

    async def _start(self) -> None:
        self.session = aiohttp.ClientSession()
        for between in self.forwarders.values():
            await between.start()
        if PLATFORM in self._parts:
            await self._start_platform()
        for number, node in enumerate(self.nodes):
            if TARGETS in self._parts:
                self._add_target(node, number)
            if DAEMONS in self._parts:
                self._add_daemon(node, number)
        await self._launch_all()

    async def _start_platform(self) -> None:
        self._add(
            PLATFORM,
            ["mimosahaven.testing.platform", f"--host={self._host}"]
            + [f"--port={self._platform_port}"],
            f"{self.platform_url}/v1/table?after=0&wait_ms=0",
        )
        await self._launch_all()
        await self.put_table(self.deployment.table_text())
        await self.put_members()

    async def _launch_all(self) -> None:
        new = [p for p in self._processes.values() if p.popen is None]
        for process in new:
            process.launch()
        async with asyncio.TaskGroup() as group:
            for process in new:
                group.create_task(process.wait_ready())

    def _add(
        self, name: str, module: list[str], url: str, state: str | None = None
    ) -> None:
        async def ready() -> bool:
            answer = await processes.get_json(self.session, url)
            return answer is not None and (
                state is None or answer.get("state") == state
            )

        self._processes[name] = processes.Process(
            name, ["-m", *module], ready, self.directory / f"{name}.log"
        )

    def _add_target(self, node: placement.Node, number: int) -> None:
        options = {
            "name": node.name,
            "service": node.service.name,
            "host": node.host,
            "port": node.target_port,
            "daemon": node.entry_url,
            "slots": node.service.slots,
            "service-ms": node.service.service_ms,
            "cold-start-ms": self._cold_start_ms,
            "seed": self._seed * 1000 + number,
            "runs-file": self._runs_path(node),
        }
        arguments = [f"--{key}={value}" for key, value in options.items()]
        self._add(
            node.name,
            ["mimosahaven.testing.target", *arguments],
            f"{node.target_url}/-/health",
        )

    def _add_daemon(self, node: placement.Node, number: int) -> None:
        path = self.directory / f"{node.daemon}.json"
        settings = placement.make_daemon_settings(
            node,
            self._published(),
            self.deployment.region,
            {"host": self._host, "port": self._platform_port},
            self._seed * 1000 + number,
        )
        text = json.dumps(
            placement.deep_merge(settings, self._settings), indent=2
        )
        settings_lib.parse(text, path.name)
        path.write_text(text, encoding="utf-8")
        self._add(
            node.daemon,
            ["mimosahaven.cli_daemon", "--settings", str(path)],
            f"{node.entry_url}/-/status",
            "ready",
        )

    def _published(self) -> list[placement.Node]:
        """Returns the VMs with the ports that others connect to."""
        return [
            dataclasses.replace(node, link_port=self.forwarders[node.name].port)
            if node.name in self.forwarders
            else node
            for node in self.nodes
        ]

    def _runs_path(self, node: placement.Node) -> pathlib.Path:
        return self.directory / f"{node.name}.runs"

    async def put_table(self, text: str) -> None:
        """Publishes a table at the platform."""
        await self.put(f"{self.platform_url}/v1/table", text)

    async def put_members(
        self, version: int = 1, states: dict[str, str] | None = None
    ) -> None:
        """Publishes the list of VMs; states holds those that are not live."""
        listing = placement.make_member_list(
            self._published(), self.deployment.region, version, states or {}
        )
        text = json.dumps(listing)
        await self.put(f"{self.platform_url}/v1/vms", text)

    async def set_faults(self, name: str, **faults) -> None:
        """Sets the faults of a target or of the platform."""
        if name == PLATFORM:
            url = f"{self.platform_url}/control"
        else:
            url = f"{self.node(name).target_url}/-/control"
        await self.put(url, json.dumps(faults))

    async def set_service_faults(self, service: str, **faults) -> None:
        """Sets the faults of all targets of a service."""
        async with asyncio.TaskGroup() as group:
            for node in self.nodes_of(service):
                group.create_task(self.set_faults(node.name, **faults))

    async def put(self, url: str, text: str) -> None:
        """Sends a document with PUT.

        Raises:
          RunnerError: The receiver did not take it.
        """
        async with self.session.put(
            url,
            data=text.encode(),
            headers={"Content-Type": "application/json"},
        ) as response:
            if response.status >= 300:
                raise processes.RunnerError(
                    f"PUT {url}: {response.status} {await response.text()}"
                )

    def node(self, name: str) -> placement.Node:
        """Returns the VM of a target."""
        return next(node for node in self.nodes if node.name == name)

    def nodes_of(self, service: str) -> list[placement.Node]:
        """Returns the VMs of a service."""
        return [n for n in self.nodes if n.service.name == service]

    def process(self, name: str) -> processes.Process:
        """Returns a process by its name."""
        return self._processes[name]

    def partition(self, *parts: set[str]) -> None:
        """Cuts failure domains off from each other; no parts heal it.

        Args:
          parts: Failure domains that still reach each other. The daemons
            must be behind forwarders and have no seeds.
        """
        for node in self.nodes:
            own = next((p for p in parts if node.failure_domain in p), None)
            self.forwarders[node.name].blocked_hosts = frozenset(
                other.host
                for other in self.nodes
                if own is not None and other.failure_domain not in own
            )

    def kill(self, name: str) -> None:
        """Ends a process at once (SIGKILL)."""
        self.process(name).send_signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Stops a process (SIGSTOP)."""
        self.process(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continues a stopped process (SIGCONT)."""
        self.process(name).send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Asks a process to end (SIGTERM)."""
        self.process(name).send_signal(signal.SIGTERM)

    async def restart(self, name: str) -> None:
        """Starts a process anew; one that still runs is ended first."""
        process = self.process(name)
        await process.stop()
        process.launch()
        await process.wait_ready()

    def runs(self) -> list[runs_lib.Run]:
        """Returns the runs of all targets, also of those that crashed."""
        return [
            run
            for node in self.nodes
            for run in runs_lib.read_runs(self._runs_path(node))
        ]

    async def stop(self) -> None:
        """Ends all processes and removes the directory."""
        started = [p for p in self._processes.values() if p.popen is not None]
        results = await asyncio.gather(
            *(process.stop() for process in started), return_exceptions=True
        )
        for between in self.forwarders.values():
            await between.stop()
        if self.session is not None:
            await self.session.close()
        self._ports.release()
        if self._temporary is not None:
            self._temporary.cleanup()
        errors = [r for r in results if isinstance(r, Exception)]
        if errors:
            raise ExceptionGroup("processes did not end", errors)
