"""Changes of the table while the platform or daemons fail."""

import asyncio

from testtools import matchers

from tests.failures import environment

PLATFORM = "platform"
REPLACED = ("catalogue-1", "reservations-1")
TARGETS = 3
# Waits for what must not happen: many rounds of gossip and reads.
SETTLE_S = 3.0
GOSSIP = {"gossip": {"interval_ms": 100}}


def _settings(*off: str) -> dict:
    return GOSSIP | (environment.settings_without(*off) if off else {})


async def _publish(env, version: int) -> None:
    await env.fleet.put_table(env.fleet.deployment.table_text(version))


class TableChangeTest(environment.FailureTestCase):
    """An accepted table is in force everywhere and never reverts."""

    def test_replaced_daemons_learn_it_without_the_platform(self):
        # Guards against a replaced VM that cannot serve for as long as the
        # platform is down.
        spread, alone = self.run_scenarios(
            (self._replace, _settings()),
            (self._replace, _settings("gossip")),
            targets=TARGETS,
        )
        self.assertThat(set(spread.values()), matchers.Equals({2}))
        self.assertThat(set(alone.values()), matchers.Equals({0, 2}))

    async def _replace(self, env) -> dict[str, int]:
        fleet = env.fleet
        await _publish(env, 2)
        await env.wait_for_table(2)
        await fleet.set_faults(PLATFORM, outage="refuse")
        for name in REPLACED:
            process = fleet.process(f"{name}-daemon")
            await process.stop()
            process.launch()

        async def all_answer():
            return len(await env.table_versions()) == len(fleet.nodes)

        await env.wait_until(all_answer, "replaced daemons")
        if "gossip" in env.disabled:
            await asyncio.sleep(SETTLE_S)
        else:
            await env.wait_for_table(2)
        return await env.table_versions()

    def test_a_restart_beside_a_stale_platform_brings_back_nothing(self):
        # Guards against an old table that comes back from a platform that
        # serves what it knew long ago.
        kept, reverted = self.run_scenarios(
            (self._restart, _settings()),
            (self._restart, _settings("gossip")),
            targets=TARGETS,
        )
        # A status page that fails on the refused table would hide a daemon.
        self.assertThat(kept, matchers.HasLength(TARGETS + 1))
        self.assertThat(set(kept.values()), matchers.Equals({2}))
        self.assertThat(set(reverted.values()), matchers.Contains(1))

    async def _restart(self, env) -> dict[str, int]:
        await _publish(env, 2)
        await env.wait_for_table(2)
        await env.fleet.set_faults(PLATFORM, frozen_table_version=1)
        await env.fleet.restart("reservations-2-daemon")
        await asyncio.sleep(SETTLE_S)
        return await env.table_versions()
