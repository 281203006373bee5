"""Latency that the daemons add to a call, compared with direct calls."""

import asyncio
import dataclasses
import random

from mimosahaven import load
from mimosahaven import loadresult
from mimosahaven.testing import deployments
from mimosahaven.testing import runner as runner_lib

WARM_UP_CALLS = 200
CALLS = 2_000
LEAF_PATH = "/print"
DIRECT = "direct"
DIRECT_REPEATED = "direct again"
VIA_DAEMONS = "through the daemons"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An address at which the target is called, directly or via daemons."""

    name: str
    url: str


async def measure(seed: int) -> dict:
    """Returns latencies of one leaf call, direct and through two daemons.

    The calls to all endpoints are interleaved in random order, so that other
    load on the machine affects all of them equally. The direct endpoint is
    measured twice; the difference is the noise of the comparison.

    Args:
      seed: Seed of the random order.
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
        endpoints = [
            Endpoint(DIRECT, target + LEAF_PATH),
            Endpoint(DIRECT_REPEATED, target + LEAF_PATH),
            Endpoint(
                VIA_DAEMONS,
                runner.node("ordre-1").entry_url + "/presse" + LEAF_PATH,
            ),
        ]
        latencies = await _call_all(endpoints, random.Random(seed))
    latency = {
        name: values.percentiles_ms() for name, values in latencies.items()
    }
    return {
        "seed": seed,
        "calls": CALLS,
        "latency": latency,
        "added": _difference(latency[VIA_DAEMONS], latency[DIRECT]),
        "noise": _difference(latency[DIRECT_REPEATED], latency[DIRECT]),
    }


async def _call_all(
    endpoints: list[Endpoint], rng: random.Random
) -> dict[str, loadresult.LatencyHistogram]:
    latencies = {
        endpoint.name: loadresult.LatencyHistogram() for endpoint in endpoints
    }
    loop = asyncio.get_running_loop()
    async with load.make_session() as session:
        for number in range(WARM_UP_CALLS + CALLS):
            for endpoint in rng.sample(endpoints, len(endpoints)):
                start_s = loop.time()
                async with session.get(
                    endpoint.url, params={"id": str(number)}
                ) as response:
                    await response.read()
                    response.raise_for_status()
                if number >= WARM_UP_CALLS:
                    latencies[endpoint.name].add(loop.time() - start_s)
    return latencies


def _difference(latency: dict, baseline: dict) -> dict:
    return {key: round(latency[key] - baseline[key], 3) for key in latency}
