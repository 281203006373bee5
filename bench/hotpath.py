"""Cost of the path of a call: processor time, rate and added time."""

import asyncio
import collections
import collections.abc
import dataclasses
import json
import pathlib
import random
import statistics
import sys
import time

import click

from bench import addedtime
from mimosahaven import loadresult
from mimosahaven.testing import deployments
from mimosahaven.testing import processes
from mimosahaven.testing import runner as runner_lib

RESULT = pathlib.Path(__file__).parent / "results" / "hotpath.json"
ENTRY = "ordre-1"
GUARD = "presse-1"
WARM_UP_CALLS = 400
# Connections that keep the busiest daemon at its limit.
CONNECTIONS = 24
SHARES = (0.5, 0.9)
# Length of a turn of one way at a rate.
STRETCH_S = 0.5
DIRECT = addedtime.DIRECT
THROUGH = addedtime.THROUGH


class HttpConnection(asyncio.Protocol):
    """A kept-alive connection that sends one GET request at a time.

    The HTTP client of the load tool costs more processor time for a request
    than a daemon does, and would be what limits the rate.
    """

    def __init__(self):
        self._data = b""
        self._answer: asyncio.Future | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def connection_lost(self, exc) -> None:
        """Fails the request that waits for its answer."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(exc or ConnectionResetError())

    def data_received(self, data: bytes) -> None:
        """Ends the request when its whole answer is there."""
        self._data += data
        head, found, body = self._data.partition(b"\r\n\r\n")
        if not found:
            return
        _, found, rest = head.lower().partition(b"\r\ncontent-length:")
        length = int(rest.split(b"\r\n", 1)[0]) if found else 0
        if len(body) >= length:
            self._data = b""
            self._answer.set_result(int(head[9:12]))

    async def get(self, request: bytes) -> int:
        """Sends a request, waits for its answer and returns the status."""
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._answer

    def close(self) -> None:
        """Closes the connection."""
        self._transport.close()


@dataclasses.dataclass(frozen=True)
class Way:
    """One way to the target.

    Attributes:
      request: The bytes of a request.
    """

    host: str
    port: int
    request: bytes

    async def connect(self) -> HttpConnection:
        """Opens a connection."""
        _, connection = await asyncio.get_running_loop().create_connection(
            HttpConnection, self.host, self.port
        )
        return connection


@dataclasses.dataclass
class Series:
    """The calls over one way at a rate.

    Attributes:
      idle: Open connections; used in turn, so that none is idle until the
        server closes it.
    """

    idle: asyncio.Queue[HttpConnection]
    latencies: loadresult.LatencyHistogram
    statuses: collections.Counter

    def close(self) -> None:
        """Closes the connections."""
        while not self.idle.empty():
            self.idle.get_nowait().close()


async def open_series(way: Way) -> Series:
    """Opens the connections of a series."""
    idle = asyncio.Queue()
    for _ in range(CONNECTIONS):
        idle.put_nowait(await way.connect())
    return Series(idle, loadresult.LatencyHistogram(), collections.Counter())


def make_way(host: str, port: int, path: str) -> Way:
    """Returns the way to a server."""
    return Way(
        host,
        port,
        f"GET {path}?id=1 HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(),
    )


def processor_s(pid: int) -> float:
    """Returns the processor time of all threads of a process, in seconds."""
    total_ns = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text(encoding="ascii").split()[0])
    return total_ns / 1e9


async def alternate(
    ways: dict[str, Way], calls: int, rng: random.Random
) -> dict[str, dict]:
    """Returns the latencies of ways that take turns in random order."""
    series = {name: loadresult.LatencyHistogram() for name in ways}
    open_ways = {name: await way.connect() for name, way in ways.items()}
    for number in range(WARM_UP_CALLS + calls):
        for name in rng.sample(sorted(ways), len(ways)):
            start_s = time.monotonic()
            await open_ways[name].get(ways[name].request)
            if number >= WARM_UP_CALLS:
                series[name].add(time.monotonic() - start_s)
    for connection in open_ways.values():
        connection.close()
    return {name: values.percentiles_ms() for name, values in series.items()}


async def saturate(
    way: Way, duration_s: float, pids: dict[str, int]
) -> dict[str, dict | float]:
    """Returns the rate and the processor time of each call at saturation."""
    connections = [await way.connect() for _ in range(CONNECTIONS)]
    statuses = collections.Counter()
    end_s = time.monotonic() + duration_s

    async def repeat(connection: HttpConnection) -> None:
        while time.monotonic() < end_s:
            statuses[await connection.get(way.request)] += 1

    start_s = time.monotonic()
    before = {name: processor_s(pid) for name, pid in pids.items()}
    await asyncio.gather(*map(repeat, connections))
    used_s = {
        name: processor_s(pid) - before[name] for name, pid in pids.items()
    }
    elapsed_s = time.monotonic() - start_s
    done = statuses.total()
    for connection in connections:
        connection.close()
    return {
        "calls_per_s": done / elapsed_s,
        "refused": done - statuses[200],
        "processor_ms": {n: 1000 * s / done for n, s in used_s.items()},
        "cores": {name: s / elapsed_s for name, s in used_s.items()},
        "calls_per_core_s": {name: done / s for name, s in used_s.items()},
    }


async def offer(
    ways: dict[str, Way],
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
    pids: dict[str, int],
) -> dict[str, dict]:
    """Returns the latencies at a rate, from the intended send times.

    The ways take turns in short stretches, so that other load on the machine
    meets both alike and neither adds to the load of the other.
    """
    series = {name: await open_series(way) for name, way in ways.items()}
    used_s = collections.Counter()
    for _ in range(max(1, round(duration_s / STRETCH_S))):
        for name in rng.sample(sorted(ways), len(ways)):
            before = {part: processor_s(pid) for part, pid in pids.items()}
            await _offer_stretch(
                ways[name], rate_per_s, STRETCH_S, rng, series[name]
            )
            if name == THROUGH:
                for part, pid in pids.items():
                    used_s[part] += processor_s(pid) - before[part]
    latency = {}
    for name, one in series.items():
        latency[name] = one.latencies.percentiles_ms()
        one.close()
    statuses = series[THROUGH].statuses
    done = statuses.total()
    return {
        "rate_per_s": rate_per_s,
        "refused": done - statuses[200],
        "processor_ms": {n: 1000 * s / done for n, s in used_s.items()},
        "latency": latency,
        "added": added(latency),
    }


async def _offer_stretch(
    way: Way,
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
    series: Series,
) -> None:
    async def call(due_s: float) -> None:
        connection = await series.idle.get()
        series.statuses[await connection.get(way.request)] += 1
        series.latencies.add(time.monotonic() - due_s)
        series.idle.put_nowait(connection)

    due_s = time.monotonic()
    end_s = due_s + duration_s
    async with asyncio.TaskGroup() as group:
        while due_s < end_s:
            due_s += rng.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            group.create_task(call(due_s))


def added(latency: dict[str, dict]) -> dict[str, float]:
    """Returns the difference of the two ways, by percentile."""
    through, direct = latency[THROUGH], latency[DIRECT]
    return {key: round(through[key] - direct[key], 3) for key in direct}


async def measure(seed: int, duration_s: float, calls: int) -> dict:
    """Returns the figures of one run on processes of its own."""
    deployment = dataclasses.replace(
        deployments.SKOVGAARD,
        services=(
            deployments.Service("ordre", 1, 100, 700, 0.0),
            deployments.Service("presse", 1, 100, 700, 0.0),
        ),
    )
    async with runner_lib.Runner(deployment, seed=seed) as runner:
        guard, entry = runner.node(GUARD), runner.node(ENTRY)
        ways = {
            DIRECT: make_way(guard.host, guard.target_port, addedtime.LEAF),
            THROUGH: make_way(
                entry.host, entry.entry_port, "/presse" + addedtime.LEAF
            ),
        }
        pids = {
            "entry": runner.process(entry.daemon).popen.pid,
            "guard": runner.process(guard.daemon).popen.pid,
        }
        alone = await alternate(ways, calls, random.Random(seed))
        full = await saturate(ways[THROUGH], duration_s, pids)
        rate_per_s = full["calls_per_s"]
        result = {"seed": seed, "saturation": full}
        result["one at a time"] = {"latency": alone, "added": added(alone)}
        for share in SHARES:
            result[f"at {share:g} of saturation"] = await offer(
                ways,
                share * rate_per_s,
                duration_s,
                random.Random(seed),
                pids,
            )
    return result


def summary(runs: list[dict]) -> dict[str, float]:
    """Returns the medians over runs of the figures that are compared."""

    def middle(pick: collections.abc.Callable[[dict], float]) -> float:
        return round(statistics.median(map(pick, runs)), 3)

    result = {
        "calls_per_s": middle(lambda r: r["saturation"]["calls_per_s"]),
    }
    for name in ("entry", "guard"):
        result[f"{name}_processor_ms"] = middle(
            lambda r, name=name: r["saturation"]["processor_ms"][name]
        )
        result[f"{name}_calls_per_core_s"] = middle(
            lambda r, name=name: r["saturation"]["calls_per_core_s"][name]
        )
    for part in runs[0]:
        if not part.startswith(("one", "at")):
            continue
        for key in ("p50_ms", "p99_ms"):
            result[f"added {part} {key}"] = middle(
                lambda r, part=part, key=key: r[part]["added"][key]
            )
    return result


async def run(
    seeds: list[int], duration_s: float, calls: int, trees: list[pathlib.Path]
) -> dict[str, list[dict]]:
    """Measures every tree with every seed; the trees take turns.

    The processes import the package from their working directory.
    """
    results: dict[str, list[dict]] = {str(tree): [] for tree in trees}
    for seed in seeds:
        for tree in trees:
            processes.ROOT = tree
            line = await measure(seed, duration_s, calls)
            results[str(tree)].append(line)
            print(tree.name, json.dumps(summary([line])), file=sys.stderr)
    return results


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3))
@click.option("--seconds", type=float, default=4.0, help="Of each part.")
@click.option("--calls", type=int, default=1_000, help="One at a time.")
@click.option(
    "--beside",
    type=click.Path(file_okay=False, resolve_path=True, path_type=pathlib.Path),
    help="Another working tree to measure in turn; nothing is written.",
)
def main(
    seeds: tuple[int, ...],
    seconds: float,
    calls: int,
    beside: pathlib.Path | None,
) -> None:
    """Measures what the daemons add to a call."""
    own = processes.ROOT
    trees = [own] if beside is None else [beside, own]
    results = asyncio.run(run(list(seeds), seconds, calls, trees))
    for tree, runs in results.items():
        click.echo(json.dumps({tree: summary(runs)}, indent=1))
    if beside is None:
        document = {
            "time": time.strftime("%F %T"),
            "median": summary(results[str(own)]),
            "runs": results[str(own)],
        }
        text = json.dumps(document, indent=1)
        RESULT.write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
