"""What a daemon costs by the size of the fleet, and how fast tables spread."""

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
# Links to peers of the gossip close after links.close_ms (20 s); before that
# their number still grows.
SETTLE_S = 25.0
MEASURE_S = 20.0
TABLE_CHANGES = 5
LOAD_RATES_PER_S = (40.0, 160.0)
LOAD_WARM_UP_S = 8.0
# Per daemon and second, over the measured time.
RATES = (
    "cpu_share",
    "bytes_sent",
    "bytes_received",
    "messages_sent",
    "messages_received",
)
LEVELS = ("resident_bytes", "descriptors", "threads", "links", "routes")


class PartlyCutRunner(runner_lib.Runner):
    """Runs daemons of which only some reach the platform.

    The others have the address of a port that nobody listens on.
    """

    def __init__(self, *args, reading: frozenset[str], **options):
        super().__init__(*args, **options)
        self._reading = reading
        self._closed_port = self._ports.allocate(self._host)[0]

    def _add_daemon(self, node, index):
        port = self._platform_port
        if node.name not in self._reading:
            self._platform_port = self._closed_port
        super()._add_daemon(node, index)
        self._platform_port = port


def make_deployment(count: int) -> deployments.Deployment:
    """Returns targets in 9 failure domains, with services in proportion."""
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


async def read_daemons(runner: runner_lib.Runner) -> list[dict]:
    """Returns status and use of resources of each daemon."""

    async def read(node) -> dict:
        status = await processes.get_json(
            runner.session, f"{node.entry_url}/-/status"
        )
        pid = runner.process(node.daemon).popen.pid
        return status | vars(procfs.sample(pid)) | {"read_s": time.monotonic()}

    return await asyncio.gather(*(read(node) for node in runner.nodes))


async def platform_calls(runner: runner_lib.Runner) -> int:
    """Returns the number of reads that the fake platform has received."""
    url = f"{runner.platform_url}/control"
    return (await processes.get_json(runner.session, url))["calls"]


async def measure_use(runner: runner_lib.Runner, duration_s: float) -> dict:
    """Returns use of resources per daemon over some time.

    Each value is a mean and the highest value of one daemon.
    """
    calls = await platform_calls(runner)
    before = await read_daemons(runner)
    await asyncio.sleep(duration_s)
    after = await read_daemons(runner)
    calls = await platform_calls(runner) - calls
    values: dict[str, list[float]] = {key: [] for key in (*RATES, *LEVELS)}
    for old, new in zip(before, after, strict=True):
        passed_s = new["read_s"] - old["read_s"]
        old["cpu_share"], new["cpu_share"] = old["cpu_s"], new["cpu_s"]
        for key in RATES:
            change = new.get(key, 0) - old.get(key, 0)
            values[key].append(change / passed_s)
        for key in LEVELS:
            values[key].append(new.get(key, 0))
    return {
        key: {"mean": statistics.fmean(numbers), "max": max(numbers)}
        for key, numbers in values.items()
    } | {"platform_reads_per_s": calls / duration_s}


async def change_table(
    runner: runner_lib.Runner, version: int, kill_platform: bool = False
) -> dict:
    """Publishes a table and returns when it was in force, in s from then.

    The status tells how long a table has been in force, so that slow polling
    does not blur the result.

    Args:
      runner: The running daemons.
      version: Version of the table.
      kill_platform: Whether the platform ends once a daemon has the table.
    """
    started_s = time.monotonic()
    await runner.put_table(runner.deployment.table_text(version))
    if kill_platform:

        async def one_has_it() -> bool:
            statuses = await read_daemons(runner)
            return any(s["table"]["version"] == version for s in statuses)

        await processes.wait_until(
            one_has_it, description="one daemon with the table"
        )
        runner.kill(runner_lib.PLATFORM)

    async def all_have_it():
        statuses = await read_daemons(runner)
        if all(s["table"]["version"] == version for s in statuses):
            return statuses
        await asyncio.sleep(0.5)
        return None

    statuses = await processes.wait_until(
        all_have_it, description="table in force"
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
    """Returns use of resources without calls, and the spread of tables."""
    deployment = make_deployment(count)
    parts = frozenset({runner_lib.PLATFORM, runner_lib.DAEMONS})
    async with runner_lib.Runner(deployment, seed=seed, parts=parts) as runner:
        await asyncio.sleep(SETTLE_S)
        use = await measure_use(runner, MEASURE_S)
        changes = [
            await change_table(runner, version)
            for version in range(2, 2 + TABLE_CHANGES)
        ]
    return {"daemons": count, **use, "table_changes": changes}


async def measure_cut(count: int, seed: int) -> dict:
    """Returns the spread of tables when few daemons reach the platform.

    First those of one failure domain reach it; then one daemon, and the
    platform ends once that daemon has the table.
    """
    deployment = make_deployment(count)
    parts = frozenset({runner_lib.PLATFORM, runner_lib.DAEMONS})
    result: dict = {"daemons": count}
    ports = ports_lib.PortAllocator()
    nodes = placement.place_targets(deployment, ports)
    ports.release()
    domain = {n.name for n in nodes if n.failure_domain == "fd-1"}
    for name, reading in (
        ("one_domain_reads", domain),
        ("one_daemon_reads_then_platform_ends", {nodes[0].name}),
    ):
        async with PartlyCutRunner(
            deployment, seed=seed, parts=parts, reading=frozenset(reading)
        ) as runner:
            await asyncio.sleep(5)
            ends = len(reading) == 1
            result[name] = [
                await change_table(runner, version, ends and version == 4)
                for version in (2, 3, 4)
            ]
    return result


async def measure_load(rate_per_s: float, seed: int) -> dict:
    """Returns use of resources with calls, over all daemons."""
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
            before = await read_daemons(runner)
            await asyncio.sleep(MEASURE_S)
            after = await read_daemons(runner)
            await running

    def grown(key) -> float:
        return sum(map(key, after)) - sum(map(key, before))

    passed_s = after[0]["read_s"] - before[0]["read_s"]
    count = len(after)
    return {
        "daemons": count,
        "actions_per_s": rate_per_s,
        "calls_per_s": grown(lambda s: s["retries"]["attempts"]) / passed_s,
        "cpu_cores": grown(lambda s: s["cpu_s"]) / passed_s,
        "resident_bytes_mean": sum(s["resident_bytes"] for s in after) / count,
        "resident_bytes_growth": grown(lambda s: s["resident_bytes"]) / count,
        "link_bytes_per_s": grown(lambda s: s.get("bytes_sent", 0)) / passed_s,
        "ledger_records": sum(
            s["guard"].get("ledger_records", 0) for s in after
        ),
    }


def fit(points: list[tuple[float, float]]) -> dict:
    """Returns the least squares line through points and its value at 450."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    residuals = [y - line.slope * x - line.intercept for x, y in points]
    return {
        "slope": line.slope,
        "intercept": line.intercept,
        "largest_residual": max(map(abs, residuals)),
        "at_450": line.slope * DESIGN_TARGETS + line.intercept,
    }


def fits(lines: list[dict]) -> dict:
    """Returns the fits over the number of daemons."""
    result = {
        key: fit([(line["daemons"], line[key]["mean"]) for line in lines])
        for key in (*RATES, *LEVELS)
    }
    reads = [(line["daemons"], line["platform_reads_per_s"]) for line in lines]
    return result | {"platform_reads_per_s": fit(reads)}


async def run(
    counts: list[int], parts: list[str], seed: int, out: pathlib.Path
) -> None:
    """Makes the measurements and writes the results after each."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    result = {"time": time.strftime("%F %T"), "seed": seed}

    def write() -> None:
        out.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")

    def keep(key: str, line: dict) -> None:
        result.setdefault(key, []).append(
            {"load_average": os.getloadavg()[0], **line}
        )
        write()
        print(json.dumps(line))

    if "load" in parts:
        for rate_per_s in LOAD_RATES_PER_S:
            keep("load", await measure_load(rate_per_s, seed))
        points = [
            (line["calls_per_s"], line["cpu_cores"]) for line in result["load"]
        ]
        result["cpu_s_per_call"] = fit(points)["slope"]
    for count in counts:
        if "idle" in parts:
            keep("idle", await measure_idle(count, seed))
        if "cut" in parts:
            keep("cut", await measure_cut(count, seed))
    if len(result.get("idle", ())) > 1:
        result["fits"] = fits(result["idle"])
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
    """Measures what daemons cost, for docs/CAPACITY.md."""
    asyncio.run(run(list(counts), list(parts), seed, out))


if __name__ == "__main__":
    main()
