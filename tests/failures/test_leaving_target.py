"""Guards against new work for a target that is leaving."""

import asyncio

from testtools import matchers

from mimosahaven.testing import processes
from tests.failures import environment

LEAVING, OTHER = "reservations-1", "reservations-2"
ENTRIES = ("catalogue-1", "reservations-2")
CALLS = 10
# Rounds without a call to the leaving target until it counts as left alone.
QUIET_ROUNDS = 4
# Longer than the test: it keeps the leaving daemon alive.
LONG_RUN_FACTOR = 4_000


async def _round(env) -> set[str]:
    """Sends calls through all entries; returns the targets that ran them."""
    ids = [env.new_id() for _ in range(CALLS * len(ENTRIES))]
    answers = await asyncio.gather(
        *(env.send(ENTRIES[n % len(ENTRIES)], id=i) for n, i in enumerate(ids))
    )
    failed = [answer for answer in answers if not answer.succeeded]
    assert not failed, failed
    return {run.target for run in env.runs() if run.id in ids}


async def _by_list(env) -> tuple[set[str], dict]:
    """Lists a target as leaving.

    Returns:
      The targets that got work before, and the violations.
    """
    before = await _round(env)
    await env.fleet.put_members(2, {LEAVING: "leaving"})

    async def left_alone():
        targets = [await _round(env) for _ in range(QUIET_ROUNDS)]
        return all(LEAVING not in t for t in targets)

    await env.wait_until(left_alone, "no new work")
    return before, env.count_violations()


async def _by_notice(env) -> tuple[set[str], set[str], int]:
    """Lets a daemon leave without a word of the list.

    Returns:
      The targets that got work before and after, and how many calls the
      leaving daemon had to refuse in the last rounds.
    """
    fleet = env.fleet
    before = await _round(env)
    await fleet.set_faults(LEAVING, service_factor=LONG_RUN_FACTOR)

    async def is_kept():
        env.send_in_background(kind="browse", timeout_ms=10_000)
        return any(
            run.target == LEAVING and run.outcome == "running"
            for run in env.runs()
        )

    await env.wait_until(is_kept, "long call")
    fleet.terminate(f"{LEAVING}-daemon")

    async def is_leaving():
        url = f"{fleet.node(LEAVING).entry_url}/-/status"
        status = await processes.get_json(fleet.session, url)
        return status and status["state"] == "leaving"

    await env.wait_until(is_leaving, "leaving")
    await fleet.set_faults(LEAVING, service_factor=1)
    after = await _round(env)

    async def refused_some():
        return await _refused(env)

    if "gossip" in env.disabled:
        await env.wait_until(refused_some, "refusals")
    refused = await _refused(env)
    for _ in range(QUIET_ROUNDS):
        after |= await _round(env)
    assert fleet.process(f"{LEAVING}-daemon").running
    return before, after, await _refused(env) - refused


async def _refused(env) -> int:
    """Returns the calls that the leaving daemon has refused so far.

    Its log cannot tell: the lines of a burst are written together, up to a
    tick after the answers.
    """
    url = f"{env.fleet.node(LEAVING).entry_url}/-/status"
    status = await processes.get_json(env.fleet.session, url)
    return status["guard"].get("refusals", {}).get("LEAVING", 0)


class LeavingTargetTest(environment.FailureTestCase):
    def test_leaving_by_the_list(self):
        ((before, violations),) = self.run_scenarios((_by_list, {}))
        self.assertThat(before, matchers.Equals({LEAVING, OTHER}))
        self.assertThat(violations, matchers.Equals({}))

    def test_leaving_by_its_own_notice(self):
        """Routers learn it by gossip, or else from the first refusals."""
        for before, after, refused in self.run_scenarios(
            (_by_notice, {}),
            (_by_notice, environment.settings_without("gossip")),
        ):
            self.assertThat(before, matchers.Equals({LEAVING, OTHER}))
            self.assertThat(after, matchers.Equals({OTHER}))
            self.assertThat(refused, matchers.Equals(0))
