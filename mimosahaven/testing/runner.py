"""Runs the processes of a deployment on loopback addresses."""

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
    """Starts and stops the processes of one deployment.

    The processes are named `platform`, after the target (`katalog-1`), or
    after the target with the suffix `-daemon`.

    Attributes:
      nodes: The target VMs.
      session: HTTP client session for the tests.
      directory: Directory of the settings, logs and run logs.
      forwarders: Forwarders to the link ports of daemons, by target name.
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
        """Allocates ports without starting any process.

        Args:
          deployment: Deployment to start.
          variant: Key of `deployments.VARIANTS`.
          seed: Base for the seeds of the targets and daemons.
          settings: Settings of all daemons; they override the variant's.
          cold_start_ms: Duration of the cold start of a target.
          parts: Processes to start: `platform`, `targets`, `daemons`.
          directory: Directory for settings, logs and run logs, which `stop`
            keeps; by default a temporary one, which `stop` removes.
          forwarded: Targets whose daemons receive their links through a
            forwarder.
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
        self._temporary_directory = None
        if directory is None:
            self._temporary_directory = tempfile.TemporaryDirectory(
                prefix="mimosahaven-"
            )
            directory = pathlib.Path(self._temporary_directory.name)
        self.directory = directory
        self._processes: dict[str, processes.Process] = {}
        self.forwarders = {
            node.name: forwarder.Forwarder(node.host, node.host, node.link_port)
            for node in self.nodes
            if node.name in forwarded
        }

    @property
    def platform_url(self) -> str:
        """Base URL of the fake platform."""
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
        for link_forwarder in self.forwarders.values():
            await link_forwarder.start()
        if PLATFORM in self._parts:
            await self._start_platform()
        for index, node in enumerate(self.nodes):
            if TARGETS in self._parts:
                self._add_target(node, index)
            if DAEMONS in self._parts:
                self._add_daemon(node, index)
        await self._launch_all()

    async def _start_platform(self) -> None:
        self._add_process(
            PLATFORM,
            ["mimosahaven.testing.platform", f"--host={self._host}"]
            + [f"--port={self._platform_port}"],
            f"{self.platform_url}/v1/table?after=0&wait_ms=0",
        )
        await self._launch_all()
        await self.put_table(self.deployment.table_text())
        await self.put_members()

    async def _launch_all(self) -> None:
        unstarted = [p for p in self._processes.values() if p.popen is None]
        for process in unstarted:
            process.launch()
        async with asyncio.TaskGroup() as group:
            for process in unstarted:
                group.create_task(process.wait_ready())

    def _add_process(
        self, name: str, command: list[str], url: str, state: str | None = None
    ) -> None:
        async def is_ready() -> bool:
            response = await processes.get_json(self.session, url)
            return response is not None and (
                state is None or response.get("state") == state
            )

        self._processes[name] = processes.Process(
            name, ["-m", *command], is_ready, self.directory / f"{name}.log"
        )

    def _add_target(self, node: placement.Node, index: int) -> None:
        options = {
            "name": node.name,
            "service": node.service.name,
            "host": node.host,
            "port": node.target_port,
            "daemon": node.entry_url,
            "slots": node.service.slots,
            "service-ms": node.service.service_ms,
            "cold-start-ms": self._cold_start_ms,
            "seed": self._seed * 1000 + index,
            "runs-file": self._runs_path(node),
        }
        arguments = [f"--{key}={value}" for key, value in options.items()]
        self._add_process(
            node.name,
            ["mimosahaven.testing.target", *arguments],
            f"{node.target_url}/-/health",
        )

    def _add_daemon(self, node: placement.Node, index: int) -> None:
        path = self.directory / f"{node.daemon}.json"
        settings = placement.make_daemon_settings(
            node,
            self._reachable_nodes(),
            self.deployment.region,
            {"host": self._host, "port": self._platform_port},
            self._seed * 1000 + index,
        )
        text = json.dumps(
            placement.deep_merge(settings, self._settings), indent=2
        )
        settings_lib.parse(text, path.name)
        path.write_text(text, encoding="utf-8")
        self._add_process(
            node.daemon,
            ["mimosahaven.cli_daemon", "--settings", str(path)],
            f"{node.entry_url}/-/status",
            "ready",
        )

    def _reachable_nodes(self) -> list[placement.Node]:
        """Returns the VMs with the link ports that other daemons connect to."""
        return [
            dataclasses.replace(node, link_port=self.forwarders[node.name].port)
            if node.name in self.forwarders
            else node
            for node in self.nodes
        ]

    def _runs_path(self, node: placement.Node) -> pathlib.Path:
        return self.directory / f"{node.name}.runs"

    async def put_table(self, text: str) -> None:
        """Publishes a table on the platform."""
        await self.put(f"{self.platform_url}/v1/table", text)

    async def put_members(
        self, version: int = 1, states: dict[str, str] | None = None
    ) -> None:
        """Publishes the list of VMs.

        Args:
          version: Version of the list.
          states: State by target name, for the VMs that are not live.
        """
        members = placement.make_member_list(
            self._reachable_nodes(),
            self.deployment.region,
            version,
            states or {},
        )
        text = json.dumps(members)
        await self.put(f"{self.platform_url}/v1/vms", text)

    async def set_faults(self, name: str, **faults) -> None:
        """Sets faults of the platform, or replaces all faults of a target."""
        if name == PLATFORM:
            url = f"{self.platform_url}/control"
        else:
            url = f"{self.node(name).target_url}/-/control"
        await self.put(url, json.dumps(faults))

    async def set_service_faults(self, service: str, **faults) -> None:
        """Replaces all faults of each target of a service."""
        async with asyncio.TaskGroup() as group:
            for node in self.nodes_of(service):
                group.create_task(self.set_faults(node.name, **faults))

    async def put(self, url: str, text: str) -> None:
        """Sends a PUT request with a document.

        Raises:
          RunnerError: The server did not accept the document.
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

    def partition(self, *domain_sets: set[str]) -> None:
        """Partitions the network, or ends the partition if no set is given.

        Args:
          domain_sets: Sets of failure domains that still reach each other.
            All daemons must be behind forwarders and have no seeds.
        """
        for node in self.nodes:
            domain_set = next(
                (s for s in domain_sets if node.failure_domain in s), None
            )
            self.forwarders[node.name].blocked_hosts = frozenset(
                other.host
                for other in self.nodes
                if domain_set is not None
                and other.failure_domain not in domain_set
            )

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.process(name).send_signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Pauses a process with SIGSTOP."""
        self.process(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process with SIGCONT."""
        self.process(name).send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Asks a process to terminate with SIGTERM, without waiting."""
        self.process(name).send_signal(signal.SIGTERM)

    async def restart(self, name: str) -> None:
        """Restarts a process, stopping it first if it is still running."""
        process = self.process(name)
        await process.stop()
        process.launch()
        await process.wait_ready()

    def runs(self) -> list[runs_lib.Run]:
        """Returns the runs of all targets, including runs ended by a crash."""
        return [
            run
            for node in self.nodes
            for run in runs_lib.read_runs(self._runs_path(node))
        ]

    async def stop(self) -> None:
        """Stops all processes and removes the temporary directory, if any."""
        started = [p for p in self._processes.values() if p.popen is not None]
        results = await asyncio.gather(
            *(process.stop() for process in started), return_exceptions=True
        )
        for link_forwarder in self.forwarders.values():
            await link_forwarder.stop()
        if self.session is not None:
            await self.session.close()
        self._ports.release()
        if self._temporary_directory is not None:
            self._temporary_directory.cleanup()
        errors = [r for r in results if isinstance(r, Exception)]
        if errors:
            raise ExceptionGroup("processes did not stop", errors)
