"""Guards against a second run after a daemon died with calls in flight."""

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
class _Seen:
    """What became of the calls.

    Attributes:
      first: Answers to calls whose owner lived on.
      lost: Those of the calls that ran at the killed guard.
      again: Answers to all actions, sent again while the daemons were down
        and after they were back.
      lost_again: Last answers to the calls that ran at the killed guard.
    """

    first: list[load.Attempt]
    lost: list[load.Attempt]
    again: list[load.Attempt]
    lost_again: list[load.Attempt]
    runs: list[int]
    violations: dict


async def _kill(env) -> _Seen:
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

    def send_again():
        return asyncio.gather(
            *(
                env.send(OTHER, id=id, action=action)
                for id, action in zip(ids, actions, strict=True)
            )
        )

    again, *_ = await asyncio.gather(
        send_again(), *(env.fleet.restart(name) for name in killed)
    )
    first = (await asyncio.gather(*sent))[:CALLS]
    last = await send_again()
    lost = [n for n in range(CALLS) if runs[n].target == KILLED_GUARD]
    return _Seen(
        first,
        [first[number] for number in lost],
        again + last,
        [last[number] for number in lost],
        [len(env.runs(id)) for id in ids],
        env.count_violations(),
    )


async def _late_copy(env) -> tuple[int, int]:
    """Sends one call to a daemon before and after its restart.

    ZeroMQ sends what it still holds after a reconnect; the daemon that gets
    it then has no ledger of what its predecessor ran.

    Returns:
      Result code of the second copy and number of runs.
    """
    node = env.fleet.node(KILLED_GUARD)
    async with environment.FakePeer(node) as peer:
        call = environment.make_call(env.new_id(), await peer.incarnation())
        await peer.request(call, messages.Result)
        env.fleet.kill(node.daemon)
        await env.fleet.restart(node.daemon)
        result = await peer.request(call, messages.Result)
    return result.code, len(env.runs())


async def _closed_connection(env) -> list[load.Attempt]:
    """Kills a guard that runs idempotent calls."""
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
        (answers,) = self.run_scenarios(
            (_closed_connection, environment.settings_without("heartbeat"))
        )
        for answer in answers:
            self.assertTrue(answer.succeeded, answer)

    def test_actions_sent_again_run_once(self):
        seen, no_ledger = self.run_scenarios(
            (_kill, {}),
            (_kill, environment.settings_without("ledger")),
            entries=2,
        )
        self.assertThat(set(seen.runs), matchers.Equals({1}))
        self.assertThat(seen.violations, matchers.Equals({}))
        self.assertThat(len(seen.lost), matchers.GreaterThan(0))
        self.assertThat(
            {answer.run_state for answer in seen.lost},
            matchers.Equals({"unknown"}),
        )
        for answer in [*seen.first, *seen.again]:
            told = answer.succeeded or answer.run_state == "unknown"
            self.assertTrue(told, answer)
        # The owner knows best what became of a call of its own.
        self.assertThat(
            {answer.code for answer in seen.lost_again},
            matchers.Equals({codes.Code.LINK_LOST}),
        )
        self.assertThat(max(no_ledger.runs), matchers.GreaterThan(1))
        self.assertIn(invariants.AT_MOST_ONCE, no_ledger.violations)

    def test_a_copy_for_the_earlier_incarnation_does_not_run(self):
        checked, unchecked = self.run_scenarios(
            (_late_copy, {}),
            (_late_copy, environment.settings_without("incarnation_check")),
            targets=1,
            entries=0,
        )
        self.assertThat(
            checked, matchers.Equals((codes.Code.WRONG_INCARNATION, 1))
        )
        self.assertThat(unchecked, matchers.Equals((codes.Code.OK, 2)))
