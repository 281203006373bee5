"""Resource usage of a daemon by fleet size, and table propagation times."""

import asyncio
import json
import os
import pathlib
import signal
import statistics
import time

import click

from bench import procfs
from mimosahaven import load
from mimosahaven import loadplan
from mimosahaven.testing import deployments
from mimosahaven.testing import experiment
from mimosahaven.testing import placement
from mimosahaven.testing import ports as ports_lib
from mimosahaven.testing import processes
from mimosahaven.testing import runner as runner_lib

RESULT = pathlib.Path(__file__).parent / "results" / "capacity.json"
DESIGN_TARGETS = 450
DESIGN_SERVICES = 25
FAILURE_DOMAINS = 9
# Links to gossip peers close after links.close_ms (20 s); until then the number
# of links still grows.
SETTLE_S = 25.0
MEASURE_S = 20.0
TABLE_CHANGES = 5
LOAD_RATES_PER_S = (40.0, 160.0)
LOAD_WARM_UP_S = 8.0
# Counters of a daemon whose increase per second is reported; the increase of
# its CPU time is reported as cpu_share.
RATES = (
    "cpu_share",
    "bytes_sent",
    "bytes_received",
    "messages_sent",
    "messages_received",
)
# Values of a daemon that are reported as they are at the end.
GAUGES = ("resident_bytes", "descriptors", "threads", "links", "routes")


class PartialPlatformRunner(runner_lib.Runner):
    """Runs daemons of which only some can reach the platform.

    The others are configured with a port on which no process listens.
    """

    def __init__(self, *args, platform_readers: frozenset[str], **options):
        super().__init__(*args, **options)
        self._platform_readers = platform_readers
        self._closed_port = self._ports.allocate(self._host)[0]

    def _add_daemon(self, node, index):
        port = self._platform_port
        if node.name not in self._platform_readers:
            self._platform_port = self._closed_port
        super()._add_daemon(node, index)
        self._platform_port = port


def make_deployment(count: int) -> deployments.Deployment:
    """Returns a deployment of targets in 9 failure domains.

    The number of services is proportional to the number of targets.
    """
    services = max(1, round(count * DESIGN_SERVICES / DESIGN_TARGETS))
    sizes = [count // services] * services
    sizes[0] += count - sum(sizes)
    return deployments.Deployment(
        name="capacity",
        region="one",
        failure_domains=tuple(f"fd-{n + 1}" for n in range(FAILURE_DOMAINS)),
        services=tuple(
            deployments.Service(f"service{n}", size, 100, 700, 5)
            for n, size in enumerate(sizes)
        ),
        kinds=deployments.SKOVGAARD.kinds,
        deepest="service0",
        address_prefix="127.0.4",
    )


async def sample_daemons(runner: runner_lib.Runner) -> list[dict]:
    """Returns the status and the resource usage of each daemon."""

    async def read(node) -> dict:
        status = await processes.get_json(
            runner.session, f"{node.entry_url}/-/status"
        )
        pid = runner.process(node.daemon).popen.pid
        return status | vars(procfs.sample(pid)) | {"read_s": time.monotonic()}

    return await asyncio.gather(*(read(node) for node in runner.nodes))


async def platform_read_count(runner: runner_lib.Runner) -> int:
    """Returns the number of document reads that the platform received."""
    url = f"{runner.platform_url}/control"
    return (await processes.get_json(runner.session, url))["calls"]


async def measure_usage(runner: runner_lib.Runner, duration_s: float) -> dict:
    """Returns the resource usage per daemon and the platform's read rate.

    Each value per daemon is given as the mean and the maximum over all daemons.
    """
    platform_reads = await platform_read_count(runner)
    before = await sample_daemons(runner)
    await asyncio.sleep(duration_s)
    after = await sample_daemons(runner)
    platform_reads = await platform_read_count(runner) - platform_reads
    values: dict[str, list[float]] = {key: [] for key in (*RATES, *GAUGES)}
    for earlier, later in zip(before, after, strict=True):
        elapsed_s = later["read_s"] - earlier["read_s"]
        earlier["cpu_share"], later["cpu_share"] = (
            earlier["cpu_s"],
            later["cpu_s"],
        )
        for key in RATES:
            change = later.get(key, 0) - earlier.get(key, 0)
            values[key].append(change / elapsed_s)
        for key in GAUGES:
            values[key].append(later.get(key, 0))
    return {
        key: {"mean": statistics.fmean(numbers), "max": max(numbers)}
        for key, numbers in values.items()
    } | {"platform_reads_per_s": platform_reads / duration_s}


async def measure_table_change(
    runner: runner_lib.Runner, version: int, kill_platform: bool = False
) -> dict:
    """Publishes a table and returns how many seconds later it was in force.

    The status contains the time for which a table has been in force, so that
    slow polling does not distort the result.

    Args:
      runner: The running daemons.
      version: Version of the table.
      kill_platform: Whether to kill the platform once a daemon has the table.
    """
    started_s = time.monotonic()
    await runner.put_table(runner.deployment.table_text(version))
    if kill_platform:

        async def any_daemon_has_table() -> bool:
            statuses = await sample_daemons(runner)
            return any(s["table"]["version"] == version for s in statuses)

        await processes.wait_until(
            any_daemon_has_table, description="table in force at one daemon"
        )
        runner.kill(runner_lib.PLATFORM)

    async def all_daemons_have_table():
        statuses = await sample_daemons(runner)
        if all(s["table"]["version"] == version for s in statuses):
            return statuses
        await asyncio.sleep(0.5)
        return None

    statuses = await processes.wait_until(
        all_daemons_have_table, description="table in force at all daemons"
    )
    times_s = sorted(
        s["read_s"] - s["table"]["age_ms"] / 1000 - started_s for s in statuses
    )
    return {
        "first_s": round(times_s[0], 3),
        "median_s": round(statistics.median(times_s), 3),
        "last_s": round(times_s[-1], 3),
    }


async def measure_idle(count: int, seed: int) -> dict:
    """Returns the resource usage without load, and table propagation times."""
    deployment = make_deployment(count)
    parts = frozenset({runner_lib.PLATFORM, runner_lib.DAEMONS})
    async with runner_lib.Runner(deployment, seed=seed, parts=parts) as runner:
        await asyncio.sleep(SETTLE_S)
        usage = await measure_usage(runner, MEASURE_S)
        changes = [
            await measure_table_change(runner, version)
            for version in range(2, 2 + TABLE_CHANGES)
        ]
    return {"daemons": count, **usage, "table_changes": changes}


async def measure_partial_platform(count: int, seed: int) -> dict:
    """Returns table propagation times if only some daemons reach the platform.

    In the first case the daemons of one failure domain reach it. In the second
    case one daemon does, and the platform is killed once that daemon has the
    last table.
    """
    deployment = make_deployment(count)
    parts = frozenset({runner_lib.PLATFORM, runner_lib.DAEMONS})
    result: dict = {"daemons": count}
    ports = ports_lib.PortAllocator()
    nodes = placement.place_targets(deployment, ports)
    ports.release()
    domain_targets = {n.name for n in nodes if n.failure_domain == "fd-1"}
    for name, platform_readers in (
        ("one_domain_reads", domain_targets),
        ("one_daemon_reads_then_platform_ends", {nodes[0].name}),
    ):
        async with PartialPlatformRunner(
            deployment,
            seed=seed,
            parts=parts,
            platform_readers=frozenset(platform_readers),
        ) as runner:
            await asyncio.sleep(5)
            kills_platform = len(platform_readers) == 1
            result[name] = [
                await measure_table_change(
                    runner, version, kills_platform and version == 4
                )
                for version in (2, 3, 4)
            ]
    return result


async def measure_load(rate_per_s: float, seed: int) -> dict:
    """Returns the resource usage of all daemons together under load."""
    deployment = deployments.SKOVGAARD
    async with runner_lib.Runner(deployment, seed=seed) as runner:
        plan = loadplan.Plan(
            entries=[node.entry_url for node in runner.nodes],
            kinds=experiment.make_kind_loads(deployment),
            phases=[
                loadplan.Phase(
                    name="load",
                    duration_s=LOAD_WARM_UP_S + MEASURE_S + 2,
                    rate_per_s=rate_per_s,
                )
            ],
            seed=seed,
        )
        async with load.make_session() as session:
            generator = load.LoadGenerator(plan, session)
            running = asyncio.create_task(generator.run())
            await asyncio.sleep(LOAD_WARM_UP_S)
            before = await sample_daemons(runner)
            await asyncio.sleep(MEASURE_S)
            after = await sample_daemons(runner)
            await running

    def increase(key) -> float:
        return sum(map(key, after)) - sum(map(key, before))

    elapsed_s = after[0]["read_s"] - before[0]["read_s"]
    count = len(after)
    return {
        "daemons": count,
        "actions_per_s": rate_per_s,
        "calls_per_s": increase(lambda s: s["retries"]["attempts"]) / elapsed_s,
        "cpu_cores": increase(lambda s: s["cpu_s"]) / elapsed_s,
        "resident_bytes_mean": sum(s["resident_bytes"] for s in after) / count,
        "resident_bytes_growth": increase(lambda s: s["resident_bytes"])
        / count,
        "link_bytes_per_s": increase(lambda s: s.get("bytes_sent", 0))
        / elapsed_s,
        "ledger_records": sum(
            s["guard"].get("ledger_records", 0) for s in after
        ),
    }


def fit(points: list[tuple[float, float]]) -> dict:
    """Returns the least squares line through points, and its value at 450."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    residuals = [y - line.slope * x - line.intercept for x, y in points]
    return {
        "slope": line.slope,
        "intercept": line.intercept,
        "largest_residual": max(map(abs, residuals)),
        "at_450": line.slope * DESIGN_TARGETS + line.intercept,
    }


def fit_all(measurements: list[dict]) -> dict:
    """Returns a linear fit of each value over the number of daemons."""
    result = {
        key: fit([(m["daemons"], m[key]["mean"]) for m in measurements])
        for key in (*RATES, *GAUGES)
    }
    reads = [(m["daemons"], m["platform_reads_per_s"]) for m in measurements]
    return result | {"platform_reads_per_s": fit(reads)}


async def run(
    counts: list[int], parts: list[str], seed: int, out: pathlib.Path
) -> None:
    """Runs the measurements and writes the results after each one."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    result = {"time": time.strftime("%F %T"), "seed": seed}

    def write() -> None:
        out.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")

    def record_result(key: str, measurement: dict) -> None:
        result.setdefault(key, []).append(
            {"load_average": os.getloadavg()[0], **measurement}
        )
        write()
        print(json.dumps(measurement))

    if "load" in parts:
        for rate_per_s in LOAD_RATES_PER_S:
            record_result("load", await measure_load(rate_per_s, seed))
        points = [(m["calls_per_s"], m["cpu_cores"]) for m in result["load"]]
        result["cpu_s_per_call"] = fit(points)["slope"]
    for count in counts:
        if "idle" in parts:
            record_result("idle", await measure_idle(count, seed))
        if "cut" in parts:
            record_result("cut", await measure_partial_platform(count, seed))
    if len(result.get("idle", ())) > 1:
        result["fits"] = fit_all(result["idle"])
    write()


@click.command()
@click.option(
    "--count", "counts", multiple=True, type=int, default=(10, 20, 40, 80)
)
@click.option(
    "--part",
    "parts",
    multiple=True,
    type=click.Choice(["load", "idle", "cut"]),
    default=("load", "idle", "cut"),
)
@click.option("--seed", default=1)
@click.option("--out", default=RESULT, type=click.Path(path_type=pathlib.Path))
def main(counts, parts, seed, out) -> None:
    """Measures the resource usage of daemons, for docs/CAPACITY.md."""
    asyncio.run(run(list(counts), list(parts), seed, out))


if __name__ == "__main__":
    main()
