"""Guards against second runs after a daemon is killed with calls in flight."""

import asyncio
import dataclasses

from testtools import matchers

from mimosahaven import codes
from mimosahaven import load
from mimosahaven import messages
from mimosahaven.testing import invariants
from tests.failures import environment

KILLED_OWNER, OWNER = "catalogue-1", "catalogue-2"
KILLED_GUARD, OTHER = "reservations-1", "reservations-2"
RUN_FACTOR = 100
CALLS = 8


@dataclasses.dataclass
class _Outcome:
    """Outcome of the calls.

    Attributes:
      first: First attempts of the calls whose owner was not killed.
      lost: Those of them that ran at the killed guard.
      retried: Retries of all actions, while the daemons were down and after
        their restart.
      lost_retried: Last retries of the calls that ran at the killed guard.
      run_counts: Runs of each action.
    """

    first: list[load.Attempt]
    lost: list[load.Attempt]
    retried: list[load.Attempt]
    lost_retried: list[load.Attempt]
    run_counts: list[int]
    violations: dict


async def _kill_daemons(env) -> _Outcome:
    await env.warm_up()
    await env.fleet.set_service_faults(
        environment.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [env.new_id() for _ in range(2 * CALLS)]
    owners = [OWNER] * CALLS + [KILLED_OWNER] * CALLS
    actions = [await env.new_action_id(owner) for owner in owners]
    sent = [
        env.send_in_background(owner, id=id, action=action)
        for owner, id, action in zip(owners, ids, actions, strict=True)
    ]
    runs = [await env.wait_for_run(id) for id in ids]
    killed = [f"{name}-daemon" for name in (KILLED_OWNER, KILLED_GUARD)]
    for name in killed:
        env.fleet.kill(name)

    def retry_all():
        return asyncio.gather(
            *(
                env.send(OTHER, id=id, action=action)
                for id, action in zip(ids, actions, strict=True)
            )
        )

    retried, *_ = await asyncio.gather(
        retry_all(), *(env.fleet.restart(name) for name in killed)
    )
    first = (await asyncio.gather(*sent))[:CALLS]
    last = await retry_all()
    lost = [n for n in range(CALLS) if runs[n].target == KILLED_GUARD]
    return _Outcome(
        first,
        [first[number] for number in lost],
        retried + last,
        [last[number] for number in lost],
        [len(env.runs(id)) for id in ids],
        env.count_violations(),
    )


async def _send_late_copy(env) -> tuple[int, int]:
    """Sends the same call to a daemon before and after its restart.

    ZeroMQ resends its queued messages after a reconnect, so a call may reach
    the restarted daemon, which has no ledger of what its earlier incarnation
    ran.

    Returns:
      The result code of the second copy and the number of runs.
    """
    node = env.fleet.node(KILLED_GUARD)
    async with environment.FakePeer(node) as peer:
        call = environment.make_call(env.new_id(), await peer.incarnation())
        await peer.request(call, messages.Result)
        env.fleet.kill(node.daemon)
        await env.fleet.restart(node.daemon)
        result = await peer.request(call, messages.Result)
    return result.code, len(env.runs())


async def _kill_guard(env) -> list[load.Attempt]:
    """Kills a guard that is running idempotent calls."""
    await env.warm_up()
    await env.fleet.set_service_faults(
        environment.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [env.new_id() for _ in range(CALLS)]
    sent = [env.send_in_background(kind="browse", id=id) for id in ids]
    targets = {(await env.wait_for_run(id)).target for id in ids}
    assert KILLED_GUARD in targets
    env.fleet.kill(f"{KILLED_GUARD}-daemon")
    return await asyncio.gather(*sent)


class RestartedDaemonTest(environment.FailureTestCase):
    def test_a_closed_connection_needs_no_heartbeat(self):
        (attempts,) = self.run_scenarios(
            (_kill_guard, environment.settings_without("heartbeat"))
        )
        for attempt in attempts:
            self.assertTrue(attempt.succeeded, attempt)

    def test_retried_actions_run_once(self):
        enabled, no_ledger = self.run_scenarios(
            (_kill_daemons, {}),
            (_kill_daemons, environment.settings_without("ledger")),
            entries=2,
        )
        self.assertThat(set(enabled.run_counts), matchers.Equals({1}))
        self.assertThat(enabled.violations, matchers.Equals({}))
        self.assertThat(len(enabled.lost), matchers.GreaterThan(0))
        self.assertThat(
            {attempt.run_state for attempt in enabled.lost},
            matchers.Equals({"unknown"}),
        )
        for attempt in [*enabled.first, *enabled.retried]:
            resolved = attempt.succeeded or attempt.run_state == "unknown"
            self.assertTrue(resolved, attempt)
        # The owner of a call has its most precise outcome: the lost link.
        self.assertThat(
            {attempt.code for attempt in enabled.lost_retried},
            matchers.Equals({codes.Code.LINK_LOST}),
        )
        self.assertThat(max(no_ledger.run_counts), matchers.GreaterThan(1))
        self.assertIn(invariants.AT_MOST_ONCE, no_ledger.violations)

    def test_a_copy_for_the_earlier_incarnation_does_not_run(self):
        checked, unchecked = self.run_scenarios(
            (_send_late_copy, {}),
            (
                _send_late_copy,
                environment.settings_without("incarnation_check"),
            ),
            targets=1,
            entries=0,
        )
        self.assertThat(
            checked, matchers.Equals((codes.Code.WRONG_INCARNATION, 1))
        )
        self.assertThat(unchecked, matchers.Equals((codes.Code.OK, 2)))
