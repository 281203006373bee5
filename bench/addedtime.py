"""Time that the daemons add to a call, against direct calls."""

import asyncio
import dataclasses
import random

from mimosahaven import load
from mimosahaven import loadresult
from mimosahaven.testing import deployments
from mimosahaven.testing import runner as runner_lib

WARM_UP_CALLS = 200
CALLS = 2_000
LEAF = "/print"
DIRECT = "direct"
DIRECT_AGAIN = "direct again"
THROUGH = "through the daemons"


@dataclasses.dataclass(frozen=True)
class Path:
    """One way to the target."""

    name: str
    url: str


async def measure(seed: int) -> dict:
    """Returns latencies of one leaf call, direct and through two daemons.

    The calls of all ways alternate in random order, so that other load on
    the machine meets all alike. The direct way is measured twice: the
    difference is the noise of the comparison.

    Args:
      seed: Seed of the order.
    """
    deployment = dataclasses.replace(
        deployments.SKOVGAARD,
        services=(
            deployments.Service("ordre", 1, 100, 700, 0.0),
            deployments.Service("presse", 1, 100, 700, 0.0),
        ),
    )
    async with runner_lib.Runner(deployment, seed=seed) as runner:
        target = runner.node("presse-1").target_url
        paths = [
            Path(DIRECT, target + LEAF),
            Path(DIRECT_AGAIN, target + LEAF),
            Path(THROUGH, runner.node("ordre-1").entry_url + "/presse" + LEAF),
        ]
        series = await _call_all(paths, random.Random(seed))
    result = {name: values.percentiles_ms() for name, values in series.items()}
    return {
        "seed": seed,
        "calls": CALLS,
        "latency": result,
        "added": _difference(result[THROUGH], result[DIRECT]),
        "noise": _difference(result[DIRECT_AGAIN], result[DIRECT]),
    }


async def _call_all(
    paths: list[Path], rng: random.Random
) -> dict[str, loadresult.LatencyHistogram]:
    series = {path.name: loadresult.LatencyHistogram() for path in paths}
    loop = asyncio.get_running_loop()
    async with load.make_session() as session:
        for number in range(WARM_UP_CALLS + CALLS):
            for path in rng.sample(paths, len(paths)):
                start_s = loop.time()
                async with session.get(
                    path.url, params={"id": str(number)}
                ) as response:
                    await response.read()
                    response.raise_for_status()
                if number >= WARM_UP_CALLS:
                    series[path.name].add(loop.time() - start_s)
    return series


def _difference(one: dict, other: dict) -> dict:
    return {key: round(one[key] - other[key], 3) for key in one}
