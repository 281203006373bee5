"""Guards against lost or reverted tables while platform or daemons fail."""

import asyncio

from testtools import matchers

from tests.failures import environment

PLATFORM = "platform"
REPLACED_VMS = ("catalogue-1", "reservations-1")
TARGETS = 3
# Time for an unwanted change to appear: many gossip rounds and table reads.
SETTLE_S = 3.0
GOSSIP = {"gossip": {"interval_ms": 100}}


def _settings(*disabled: str) -> dict:
    return GOSSIP | (
        environment.settings_without(*disabled) if disabled else {}
    )


async def _publish(env, version: int) -> None:
    await env.fleet.put_table(env.fleet.deployment.table_text(version))


class TableChangeTest(environment.FailureTestCase):
    """An accepted table comes into force on all daemons and never reverts."""

    def test_replaced_daemons_learn_the_table_without_the_platform(self):
        # Guards against a replaced VM that cannot serve while the platform is
        # down.
        with_gossip, without_gossip = self.run_scenarios(
            (self._replace_vms, _settings()),
            (self._replace_vms, _settings("gossip")),
            targets=TARGETS,
        )
        self.assertThat(set(with_gossip.values()), matchers.Equals({2}))
        self.assertThat(set(without_gossip.values()), matchers.Equals({0, 2}))

    async def _replace_vms(self, env) -> dict[str, int]:
        fleet = env.fleet
        await _publish(env, 2)
        await env.wait_for_table(2)
        await fleet.set_faults(PLATFORM, outage="refuse")
        for name in REPLACED_VMS:
            process = fleet.process(f"{name}-daemon")
            await process.stop()
            process.launch()

        async def all_responding():
            return len(await env.table_versions()) == len(fleet.nodes)

        await env.wait_until(all_responding, "replaced daemons responding")
        if "gossip" in env.disabled:
            await asyncio.sleep(SETTLE_S)
        else:
            await env.wait_for_table(2)
        return await env.table_versions()

    def test_a_restart_with_a_stale_platform_does_not_revert_the_table(self):
        # Guards against a revert to an old table that a stale platform still
        # serves.
        kept, reverted = self.run_scenarios(
            (self._restart_daemon, _settings()),
            (self._restart_daemon, _settings("gossip")),
            targets=TARGETS,
        )
        # A daemon whose status page fails on the refused table is missing here.
        self.assertThat(kept, matchers.HasLength(TARGETS + 1))
        self.assertThat(set(kept.values()), matchers.Equals({2}))
        self.assertThat(set(reverted.values()), matchers.Contains(1))

    async def _restart_daemon(self, env) -> dict[str, int]:
        await _publish(env, 2)
        await env.wait_for_table(2)
        await env.fleet.set_faults(PLATFORM, frozen_table_version=1)
        await env.fleet.restart("reservations-2-daemon")
        await asyncio.sleep(SETTLE_S)
        return await env.table_versions()
