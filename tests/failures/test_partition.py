"""Guards against failures when failure domains and the platform are cut off.

The partition separates the two failure domains, and the platform hangs.
"""

import asyncio
import json

from testtools import matchers

from tests.failures import environment

ENTRIES = ("catalogue-1", "catalogue-2")
PARTS = ({"kigali-1"}, {"kigali-2"})
NODE_NAMES = ("catalogue-1", "catalogue-2") + tuple(
    f"reservations-{number}" for number in range(1, 5)
)
ROUNDS = 4
TIMEOUT_MS = 3_000
CALLS = 4
LIMIT_PER_S = 20.0
LIMITED_ROUNDS = 40
SETTINGS = {
    "seeds": [],
    "gossip": {"share_settle_ms": 100},
    "routing": {"ejection_max_ms": 2_000},
}
# Latency-based routing alone already avoids targets that time out, so it is
# disabled together with the mechanisms under test.
WITHOUT_DETECTION = environment.settings_without("heartbeat", "ejection") | {
    "routing": {"algorithm": "round_robin"}
}
ENVIRONMENT_OPTIONS = {"targets": 4, "entries": 2, "forwarded": NODE_NAMES}


def _domain_of(env, target: str) -> str:
    return env.fleet.node(target).failure_domain


async def _run_round(env, calls: int = CALLS) -> dict[str, str]:
    """Sends calls through both entries.

    Returns:
      The entry of each request that succeeded, by its id.
    """
    entries = {env.new_id(): ENTRIES[n % 2] for n in range(calls)}
    attempts = await asyncio.gather(
        *(
            env.send(entry, id=id, timeout_ms=TIMEOUT_MS)
            for id, entry in entries.items()
        )
    )
    return {
        id: entry
        for (id, entry), attempt in zip(entries.items(), attempts, strict=True)
        if attempt.succeeded
    }


async def _split(env) -> None:
    env.fleet.partition(*PARTS)
    await env.fleet.set_faults("platform", outage="hang")


async def _heal(env) -> None:
    env.fleet.partition()
    await env.fleet.set_faults("platform", outage="")


class PartitionTest(environment.FailureTestCase):
    def test_each_part_serves_with_its_own_targets(self):
        # Guards against a part that keeps sending calls to unreachable
        # targets, and against calls that run twice after it heals. With one
        # target in each part, calls reach both before the partition.
        detected, undetected = self.run_scenarios(
            (self._serve_partitioned, SETTINGS),
            (self._serve_partitioned, SETTINGS | WITHOUT_DETECTION),
            **ENVIRONMENT_OPTIONS | {"targets": 2},
        )
        crossed_before, served, crossed, after, violations = detected
        self.assertThat(crossed_before, matchers.GreaterThan(0))
        self.assertThat(served, matchers.Equals(ROUNDS * CALLS))
        self.assertThat(crossed, matchers.Equals(0))
        self.assertThat(after, matchers.Equals(CALLS))
        self.assertThat(violations, matchers.Equals({}))
        self.assertThat(undetected[1], matchers.LessThan(ROUNDS * CALLS))

    async def _serve_partitioned(self, env):
        await env.warm_up()
        before = await _run_round(env, 4 * CALLS)
        await _split(env)
        # Calls that were sent across the partition before it was detected end
        # with an unknown outcome.
        await _run_round(env)
        served: dict[str, str] = {}
        for _ in range(ROUNDS):
            served |= await _run_round(env)
        crossed = self._crossed(env, served)
        await _heal(env)

        async def round_succeeded():
            return len(await _run_round(env)) == CALLS

        await env.wait_until(round_succeeded, "calls after the partition")
        after = await _run_round(env)
        return (
            self._crossed(env, before),
            len(served),
            crossed,
            len(after),
            dict(env.count_violations()),
        )

    def _crossed(self, env, entries: dict[str, str]) -> int:
        """Returns the number of calls that ran outside their entry's part."""
        return sum(
            _domain_of(env, run.target) != _domain_of(env, entries[run.id])
            for run in env.runs()
            if run.id in entries
        )

    def test_a_limit_holds_across_both_parts(self):
        # Guards against each part, or each daemon, using the full limit.
        limited, unlimited = self.run_scenarios(
            (self._exceed_limit, SETTINGS),
            (
                self._exceed_limit,
                SETTINGS | environment.settings_without("row_limits"),
            ),
            **ENVIRONMENT_OPTIONS,
        )
        self.assertThat(limited, matchers.LessThan(1.0))
        self.assertThat(unlimited, matchers.GreaterThan(1.0))

    async def _exceed_limit(self, env) -> float:
        """Returns the ratio of runs to the runs that the limit allows."""
        table = env.fleet.deployment.table(2)
        for row in table["rows"]:
            if row["kind"] == "reserve":
                row["rate_limit_per_s"] = LIMIT_PER_S
        await env.fleet.put_table(json.dumps(table))
        await env.wait_for_table(2)
        await env.warm_up()
        await _split(env)
        loop = asyncio.get_running_loop()
        # The token buckets may start full, which allows one second of burst.
        start_s = loop.time()
        run_count = len(env.runs())
        for _ in range(LIMITED_ROUNDS):
            await _run_round(env, calls=2 * CALLS)
        runs = len(env.runs()) - run_count
        return runs / (LIMIT_PER_S * (loop.time() - start_s + 1.0))
