"""Cost of the hot path of a call: CPU time, call rate and added latency."""

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
# Enough connections to saturate the busiest daemon.
CONNECTIONS = 24
SATURATION_SHARES = (0.5, 0.9)
# Duration of a time slice in which only one endpoint is called.
SLICE_S = 0.5
DIRECT = addedtime.DIRECT
VIA_DAEMONS = addedtime.VIA_DAEMONS


class HttpConnection(asyncio.Protocol):
    """A keep-alive connection that sends one GET request at a time.

    The HTTP client of the load tool uses more CPU time per request than a
    daemon does, so with it the client rather than the daemon would limit the
    rate.
    """

    def __init__(self):
        self._data = b""
        self._pending_response: asyncio.Future | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def connection_lost(self, exc) -> None:
        """Fails the pending request."""
        if (
            self._pending_response is not None
            and not self._pending_response.done()
        ):
            self._pending_response.set_exception(exc or ConnectionResetError())

    def data_received(self, data: bytes) -> None:
        """Completes the request once its response is complete."""
        self._data += data
        head, found, body = self._data.partition(b"\r\n\r\n")
        if not found:
            return
        _, found, rest = head.lower().partition(b"\r\ncontent-length:")
        length = int(rest.split(b"\r\n", 1)[0]) if found else 0
        if len(body) >= length:
            self._data = b""
            self._pending_response.set_result(int(head[9:12]))

    async def get(self, request: bytes) -> int:
        """Sends a request and returns the status of its response."""
        self._pending_response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._pending_response

    def close(self) -> None:
        """Closes the connection."""
        self._transport.close()


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An address at which the target is called, directly or via daemons.

    Attributes:
      request: Encoded HTTP request.
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
    """Connections and results of the calls to one endpoint at a rate.

    Attributes:
      idle_connections: Open connections; used in FIFO order, so that none is
        idle long enough for the server to close it.
    """

    idle_connections: asyncio.Queue[HttpConnection]
    latencies: loadresult.LatencyHistogram
    statuses: collections.Counter

    def close(self) -> None:
        """Closes the connections."""
        while not self.idle_connections.empty():
            self.idle_connections.get_nowait().close()


async def open_series(endpoint: Endpoint) -> Series:
    """Opens the connections of a series."""
    idle_connections = asyncio.Queue()
    for _ in range(CONNECTIONS):
        idle_connections.put_nowait(await endpoint.connect())
    return Series(
        idle_connections, loadresult.LatencyHistogram(), collections.Counter()
    )


def make_endpoint(host: str, port: int, path: str) -> Endpoint:
    """Returns the endpoint of a path on a server."""
    return Endpoint(
        host,
        port,
        f"GET {path}?id=1 HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(),
    )


def cpu_time_s(pid: int) -> float:
    """Returns the CPU time of all threads of a process, in seconds."""
    total_ns = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text(encoding="ascii").split()[0])
    return total_ns / 1e9


async def measure_sequentially(
    endpoints: dict[str, Endpoint], calls: int, rng: random.Random
) -> dict[str, dict]:
    """Returns latencies per endpoint, interleaving calls in random order."""
    latencies = {name: loadresult.LatencyHistogram() for name in endpoints}
    connections = {
        name: await endpoint.connect() for name, endpoint in endpoints.items()
    }
    for number in range(WARM_UP_CALLS + calls):
        for name in rng.sample(sorted(endpoints), len(endpoints)):
            start_s = time.monotonic()
            await connections[name].get(endpoints[name].request)
            if number >= WARM_UP_CALLS:
                latencies[name].add(time.monotonic() - start_s)
    for connection in connections.values():
        connection.close()
    return {name: values.percentiles_ms() for name, values in latencies.items()}


async def saturate(
    endpoint: Endpoint, duration_s: float, pids: dict[str, int]
) -> dict[str, dict | float]:
    """Returns the call rate and the CPU time per call at saturation."""
    connections = [await endpoint.connect() for _ in range(CONNECTIONS)]
    statuses = collections.Counter()
    end_s = time.monotonic() + duration_s

    async def send_repeatedly(connection: HttpConnection) -> None:
        while time.monotonic() < end_s:
            statuses[await connection.get(endpoint.request)] += 1

    start_s = time.monotonic()
    before = {name: cpu_time_s(pid) for name, pid in pids.items()}
    await asyncio.gather(*map(send_repeatedly, connections))
    used_s = {
        name: cpu_time_s(pid) - before[name] for name, pid in pids.items()
    }
    elapsed_s = time.monotonic() - start_s
    call_count = statuses.total()
    for connection in connections:
        connection.close()
    return {
        "calls_per_s": call_count / elapsed_s,
        "refused": call_count - statuses[200],
        "processor_ms": {n: 1000 * s / call_count for n, s in used_s.items()},
        "cores": {name: s / elapsed_s for name, s in used_s.items()},
        "calls_per_core_s": {
            name: call_count / s for name, s in used_s.items()
        },
    }


async def measure_at_rate(
    endpoints: dict[str, Endpoint],
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
    pids: dict[str, int],
) -> dict[str, dict]:
    """Returns the latencies at a rate, counted from the intended send times.

    The endpoints alternate in short time slices, so that other load on the
    machine affects both equally and the calls to one endpoint do not slow the
    calls to the other.
    """
    series = {
        name: await open_series(endpoint)
        for name, endpoint in endpoints.items()
    }
    used_s = collections.Counter()
    for _ in range(max(1, round(duration_s / SLICE_S))):
        for name in rng.sample(sorted(endpoints), len(endpoints)):
            before = {daemon: cpu_time_s(pid) for daemon, pid in pids.items()}
            await _send_slice(
                endpoints[name], rate_per_s, SLICE_S, rng, series[name]
            )
            if name == VIA_DAEMONS:
                for daemon, pid in pids.items():
                    used_s[daemon] += cpu_time_s(pid) - before[daemon]
    latency = {}
    for name, endpoint_series in series.items():
        latency[name] = endpoint_series.latencies.percentiles_ms()
        endpoint_series.close()
    statuses = series[VIA_DAEMONS].statuses
    call_count = statuses.total()
    return {
        "rate_per_s": rate_per_s,
        "refused": call_count - statuses[200],
        "processor_ms": {n: 1000 * s / call_count for n, s in used_s.items()},
        "latency": latency,
        "added": added_latency(latency),
    }


async def _send_slice(
    endpoint: Endpoint,
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
    series: Series,
) -> None:
    async def call(due_s: float) -> None:
        connection = await series.idle_connections.get()
        series.statuses[await connection.get(endpoint.request)] += 1
        series.latencies.add(time.monotonic() - due_s)
        series.idle_connections.put_nowait(connection)

    due_s = time.monotonic()
    end_s = due_s + duration_s
    async with asyncio.TaskGroup() as group:
        while due_s < end_s:
            due_s += rng.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            group.create_task(call(due_s))


def added_latency(latency: dict[str, dict]) -> dict[str, float]:
    """Returns the latency added by the daemons, by percentile."""
    via_daemons, direct = latency[VIA_DAEMONS], latency[DIRECT]
    return {key: round(via_daemons[key] - direct[key], 3) for key in direct}


async def measure(seed: int, duration_s: float, calls: int) -> dict:
    """Returns the results of one run on newly started processes."""
    deployment = dataclasses.replace(
        deployments.SKOVGAARD,
        services=(
            deployments.Service("ordre", 1, 100, 700, 0.0),
            deployments.Service("presse", 1, 100, 700, 0.0),
        ),
    )
    async with runner_lib.Runner(deployment, seed=seed) as runner:
        guard, entry = runner.node(GUARD), runner.node(ENTRY)
        endpoints = {
            DIRECT: make_endpoint(
                guard.host, guard.target_port, addedtime.LEAF_PATH
            ),
            VIA_DAEMONS: make_endpoint(
                entry.host, entry.entry_port, "/presse" + addedtime.LEAF_PATH
            ),
        }
        pids = {
            "entry": runner.process(entry.daemon).popen.pid,
            "guard": runner.process(guard.daemon).popen.pid,
        }
        sequential = await measure_sequentially(
            endpoints, calls, random.Random(seed)
        )
        saturation = await saturate(endpoints[VIA_DAEMONS], duration_s, pids)
        rate_per_s = saturation["calls_per_s"]
        result = {"seed": seed, "saturation": saturation}
        result["one at a time"] = {
            "latency": sequential,
            "added": added_latency(sequential),
        }
        for share in SATURATION_SHARES:
            result[f"at {share:g} of saturation"] = await measure_at_rate(
                endpoints,
                share * rate_per_s,
                duration_s,
                random.Random(seed),
                pids,
            )
    return result


def summarize(runs: list[dict]) -> dict[str, float]:
    """Returns the median over all runs of each value that is compared."""

    def median_of(get_value: collections.abc.Callable[[dict], float]) -> float:
        return round(statistics.median(map(get_value, runs)), 3)

    result = {
        "calls_per_s": median_of(lambda r: r["saturation"]["calls_per_s"]),
    }
    for name in ("entry", "guard"):
        result[f"{name}_processor_ms"] = median_of(
            lambda r, name=name: r["saturation"]["processor_ms"][name]
        )
        result[f"{name}_calls_per_core_s"] = median_of(
            lambda r, name=name: r["saturation"]["calls_per_core_s"][name]
        )
    for part in runs[0]:
        if not part.startswith(("one", "at")):
            continue
        for key in ("p50_ms", "p99_ms"):
            result[f"added {part} {key}"] = median_of(
                lambda r, part=part, key=key: r[part]["added"][key]
            )
    return result


async def run(
    seeds: list[int], duration_s: float, calls: int, trees: list[pathlib.Path]
) -> dict[str, list[dict]]:
    """Measures every working tree with every seed, alternating the trees.

    The processes under test import the package from their working directory,
    which is `processes.ROOT`.
    """
    results: dict[str, list[dict]] = {str(tree): [] for tree in trees}
    for seed in seeds:
        for tree in trees:
            processes.ROOT = tree
            result = await measure(seed, duration_s, calls)
            results[str(tree)].append(result)
            print(tree.name, json.dumps(summarize([result])), file=sys.stderr)
    return results


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3))
@click.option(
    "--seconds", type=float, default=4.0, help="Duration of each part."
)
@click.option(
    "--calls", type=int, default=1_000, help="Number of sequential calls."
)
@click.option(
    "--beside",
    type=click.Path(file_okay=False, resolve_path=True, path_type=pathlib.Path),
    help="Another working tree to compare with; no result file is written.",
)
def main(
    seeds: tuple[int, ...],
    seconds: float,
    calls: int,
    beside: pathlib.Path | None,
) -> None:
    """Measures the CPU time and latency that the daemons add to a call."""
    this_tree = processes.ROOT
    trees = [this_tree] if beside is None else [beside, this_tree]
    results = asyncio.run(run(list(seeds), seconds, calls, trees))
    for tree, runs in results.items():
        click.echo(json.dumps({tree: summarize(runs)}, indent=1))
    if beside is None:
        document = {
            "time": time.strftime("%F %T"),
            "median": summarize(results[str(this_tree)]),
            "runs": results[str(this_tree)],
        }
        text = json.dumps(document, indent=1)
        RESULT.write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
