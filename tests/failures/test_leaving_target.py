"""Guards against new calls to a target that is leaving."""

import asyncio

from testtools import matchers

from mimosahaven.testing import processes
from tests.failures import environment

LEAVING, OTHER = "reservations-1", "reservations-2"
ENTRIES = ("catalogue-1", "reservations-2")
CALLS = 10
# Consecutive rounds without a call after which a target counts as unused.
QUIET_ROUNDS = 4
# Makes a run outlast the test, which keeps the leaving daemon from exiting.
LONG_RUN_FACTOR = 4_000


async def _run_round(env) -> set[str]:
    """Sends calls through all entries and returns the targets that ran them."""
    ids = [env.new_id() for _ in range(CALLS * len(ENTRIES))]
    attempts = await asyncio.gather(
        *(env.send(ENTRIES[n % len(ENTRIES)], id=i) for n, i in enumerate(ids))
    )
    failed = [attempt for attempt in attempts if not attempt.succeeded]
    assert not failed, failed
    return {run.target for run in env.runs() if run.id in ids}


async def _leave_by_member_list(env) -> tuple[set[str], dict]:
    """Marks a target as leaving in the member list.

    Returns:
      The targets that received calls before, and the violations.
    """
    before = await _run_round(env)
    await env.fleet.put_members(2, {LEAVING: "leaving"})

    async def is_unused():
        targets = [await _run_round(env) for _ in range(QUIET_ROUNDS)]
        return all(LEAVING not in t for t in targets)

    await env.wait_until(is_unused, "no new calls to the leaving target")
    return before, env.count_violations()


async def _leave_by_notice(env) -> tuple[set[str], set[str], int]:
    """Terminates a daemon that the member list does not mark as leaving.

    Returns:
      The targets that received calls before and after, and the number of
      calls that the leaving daemon refused in the last rounds.
    """
    fleet = env.fleet
    before = await _run_round(env)
    await fleet.set_faults(LEAVING, service_factor=LONG_RUN_FACTOR)

    async def is_occupied():
        env.send_in_background(kind="browse", timeout_ms=10_000)
        return any(
            run.target == LEAVING and run.outcome == "running"
            for run in env.runs()
        )

    await env.wait_until(is_occupied, "long run at the leaving target")
    fleet.terminate(f"{LEAVING}-daemon")

    async def is_leaving():
        url = f"{fleet.node(LEAVING).entry_url}/-/status"
        status = await processes.get_json(fleet.session, url)
        return status and status["state"] == "leaving"

    await env.wait_until(is_leaving, "daemon leaving")
    await fleet.set_faults(LEAVING, service_factor=1)
    after = await _run_round(env)

    async def has_refusals():
        return await _refusal_count(env)

    if "gossip" in env.disabled:
        await env.wait_until(has_refusals, "refusals")
    refused = await _refusal_count(env)
    for _ in range(QUIET_ROUNDS):
        after |= await _run_round(env)
    assert fleet.process(f"{LEAVING}-daemon").running
    return before, after, await _refusal_count(env) - refused


async def _refusal_count(env) -> int:
    """Returns the number of calls that the leaving daemon has refused.

    The log is not usable for this, because the daemon writes its lines in
    batches, up to a tick after the responses.
    """
    url = f"{env.fleet.node(LEAVING).entry_url}/-/status"
    status = await processes.get_json(env.fleet.session, url)
    return status["guard"].get("refusals", {}).get("LEAVING", 0)


class LeavingTargetTest(environment.FailureTestCase):
    def test_leaving_by_the_member_list(self):
        ((before, violations),) = self.run_scenarios(
            (_leave_by_member_list, {})
        )
        self.assertThat(before, matchers.Equals({LEAVING, OTHER}))
        self.assertThat(violations, matchers.Equals({}))

    def test_leaving_by_its_own_notice(self):
        """Routers learn of it by gossip or, without it, from refusals."""
        for before, after, refused in self.run_scenarios(
            (_leave_by_notice, {}),
            (_leave_by_notice, environment.settings_without("gossip")),
        ):
            self.assertThat(before, matchers.Equals({LEAVING, OTHER}))
            self.assertThat(after, matchers.Equals({OTHER}))
            self.assertThat(refused, matchers.Equals(0))
