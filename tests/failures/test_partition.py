"""Failure domains that are cut off from each other and the platform."""

import asyncio
import json

from testtools import matchers

from tests.failures import environment

ENTRIES = ("catalogue-1", "catalogue-2")
PARTS = ({"kigali-1"}, {"kigali-2"})
NAMES = ("catalogue-1", "catalogue-2") + tuple(
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
# The choice by latency alone already avoids targets that time out.
UNAWARE = environment.settings_without("heartbeat", "ejection") | {
    "routing": {"algorithm": "round_robin"}
}
FLEET = {"targets": 4, "entries": 2, "forwarded": NAMES}


def _domain_of(env, target: str) -> str:
    return env.fleet.node(target).failure_domain


async def _round(env, calls: int = CALLS) -> dict[str, str]:
    """Sends calls through both entries.

    Returns:
      The entry of each request that succeeded, by its id.
    """
    entries = {env.new_id(): ENTRIES[n % 2] for n in range(calls)}
    answers = await asyncio.gather(
        *(
            env.send(entry, id=id, timeout_ms=TIMEOUT_MS)
            for id, entry in entries.items()
        )
    )
    return {
        id: entry
        for (id, entry), answer in zip(entries.items(), answers, strict=True)
        if answer.succeeded
    }


async def _split(env) -> None:
    env.fleet.partition(*PARTS)
    await env.fleet.set_faults("platform", outage="hang")


async def _heal(env) -> None:
    env.fleet.partition()
    await env.fleet.set_faults("platform", outage="")


class PartitionTest(environment.FailureTestCase):
    def test_each_part_serves_with_its_own_targets(self):
        # Guards against a part that goes on waiting for targets out of its
        # reach, and against calls that run twice when the parts meet again.
        # One target in each part: calls go to both before the partition.
        apart, unaware = self.run_scenarios(
            (self._serve_apart, SETTINGS),
            (self._serve_apart, SETTINGS | UNAWARE),
            **FLEET | {"targets": 2},
        )
        crossed_before, served, crossed, after, violations = apart
        self.assertThat(crossed_before, matchers.GreaterThan(0))
        self.assertThat(served, matchers.Equals(ROUNDS * CALLS))
        self.assertThat(crossed, matchers.Equals(0))
        self.assertThat(after, matchers.Equals(CALLS))
        self.assertThat(violations, matchers.Equals({}))
        self.assertThat(unaware[1], matchers.LessThan(ROUNDS * CALLS))

    async def _serve_apart(self, env):
        await env.warm_up()
        before = await _round(env, 4 * CALLS)
        await _split(env)
        # Calls that were sent across before the silence is noticed end with
        # an unknown outcome.
        await _round(env)
        served: dict[str, str] = {}
        for _ in range(ROUNDS):
            served |= await _round(env)
        crossed = self._crossed(env, served)
        await _heal(env)

        async def whole_round():
            return len(await _round(env)) == CALLS

        await env.wait_until(whole_round, "calls after the partition")
        after = await _round(env)
        return (
            self._crossed(env, before),
            len(served),
            crossed,
            len(after),
            dict(env.count_violations()),
        )

    def _crossed(self, env, entries: dict[str, str]) -> int:
        """Returns how many calls ran in another part than they entered in."""
        return sum(
            _domain_of(env, run.target) != _domain_of(env, entries[run.id])
            for run in env.runs()
            if run.id in entries
        )

    def test_a_limit_holds_in_sum_while_split(self):
        # Guards against each part, or each daemon, using the whole limit.
        held, free = self.run_scenarios(
            (self._exceed, SETTINGS),
            (
                self._exceed,
                SETTINGS | environment.settings_without("row_limits"),
            ),
            **FLEET,
        )
        self.assertThat(held, matchers.LessThan(1.0))
        self.assertThat(free, matchers.GreaterThan(1.0))

    async def _exceed(self, env) -> float:
        """Returns the runs as a share of what the limit allows."""
        table = env.fleet.deployment.table(2)
        for row in table["rows"]:
            if row["kind"] == "reserve":
                row["rate_limit_per_s"] = LIMIT_PER_S
        await env.fleet.put_table(json.dumps(table))
        await env.wait_for_table(2)
        await env.warm_up()
        await _split(env)
        loop = asyncio.get_running_loop()
        # The buckets may be full from before: one second of burst.
        start_s = loop.time()
        run_count = len(env.runs())
        for _ in range(LIMITED_ROUNDS):
            await _round(env, calls=2 * CALLS)
        runs = len(env.runs()) - run_count
        return runs / (LIMIT_PER_S * (loop.time() - start_s + 1.0))
