"""Failure domains that are cut off from each other and the platform."""

import asyncio
import json

from testtools import matchers

from tests.failures import scenes

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
UNAWARE = scenes.off("heartbeat", "ejection") | {
    "routing": {"algorithm": "round_robin"}
}
FLEET = {"targets": 4, "entries": 2, "forwarded": NAMES}


def _domain_of(scene, target: str) -> str:
    return scene.fleet.node(target).failure_domain


async def _round(scene, calls: int = CALLS) -> dict[str, str]:
    """Sends calls through both entries.

    Returns:
      The entry of each request that succeeded, by its id.
    """
    entries = {scene.new_id(): ENTRIES[n % 2] for n in range(calls)}
    answers = await asyncio.gather(
        *(
            scene.send(entry, id=id, timeout_ms=TIMEOUT_MS)
            for id, entry in entries.items()
        )
    )
    return {
        id: entry
        for (id, entry), answer in zip(entries.items(), answers, strict=True)
        if answer.succeeded
    }


async def _split(scene) -> None:
    scene.fleet.partition(*PARTS)
    await scene.fleet.set_faults("platform", outage="hang")


async def _heal(scene) -> None:
    scene.fleet.partition()
    await scene.fleet.set_faults("platform", outage="")


class PartitionTest(scenes.FailureTest):
    def test_each_part_serves_with_its_own_targets(self):
        # Guards against a part that goes on waiting for targets out of its
        # reach, and against calls that run twice when the parts meet again.
        # One target in each part: calls go to both before the partition.
        apart, unaware = self.compare(
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

    async def _serve_apart(self, scene):
        await scene.warm_up()
        before = await _round(scene, 4 * CALLS)
        await _split(scene)
        # Calls that were sent across before the silence is noticed end with
        # an unknown outcome.
        await _round(scene)
        served: dict[str, str] = {}
        for _ in range(ROUNDS):
            served |= await _round(scene)
        crossed = self._crossed(scene, served)
        await _heal(scene)

        async def whole_round():
            return len(await _round(scene)) == CALLS

        await scene.until(whole_round, "calls after the partition")
        after = await _round(scene)
        return (
            self._crossed(scene, before),
            len(served),
            crossed,
            len(after),
            dict(scene.violations()),
        )

    def _crossed(self, scene, entries: dict[str, str]) -> int:
        """Returns how many calls ran in another part than they entered in."""
        return sum(
            _domain_of(scene, run.target) != _domain_of(scene, entries[run.id])
            for run in scene.runs()
            if run.id in entries
        )

    def test_a_limit_holds_in_sum_while_split(self):
        # Guards against each part, or each daemon, using the whole limit.
        held, free = self.compare(
            (self._exceed, SETTINGS),
            (self._exceed, SETTINGS | scenes.off("row_limits")),
            **FLEET,
        )
        self.assertThat(held, matchers.LessThan(1.0))
        self.assertThat(free, matchers.GreaterThan(1.0))

    async def _exceed(self, scene) -> float:
        """Returns the runs as a share of what the limit allows."""
        table = scene.fleet.deployment.table(2)
        for row in table["rows"]:
            if row["kind"] == "reserve":
                row["rate_limit_per_s"] = LIMIT_PER_S
        await scene.fleet.put_table(json.dumps(table))
        await scene.until_table(2)
        await scene.warm_up()
        await _split(scene)
        loop = asyncio.get_running_loop()
        # The buckets may be full from before: one second of burst.
        start_s = loop.time()
        run_count = len(scene.runs())
        for _ in range(LIMITED_ROUNDS):
            await _round(scene, calls=2 * CALLS)
        runs = len(scene.runs()) - run_count
        return runs / (LIMIT_PER_S * (loop.time() - start_s + 1.0))
