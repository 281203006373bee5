"""Guards against a second run after a daemon died with calls in flight."""

import asyncio
import dataclasses

from testtools import matchers

from mimosahaven import codes
from mimosahaven import load
from mimosahaven import messages
from mimosahaven.testing import invariants
from tests.failures import scenes

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


async def _kill(scene) -> _Seen:
    await scene.warm_up()
    await scene.fleet.set_service_faults(
        scenes.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [scene.new_id() for _ in range(2 * CALLS)]
    owners = [OWNER] * CALLS + [KILLED_OWNER] * CALLS
    actions = [await scene.action_id(owner) for owner in owners]
    sent = [
        scene.start(owner, id=id, action=action)
        for owner, id, action in zip(owners, ids, actions, strict=True)
    ]
    runs = [await scene.until_run(id) for id in ids]
    killed = [f"{name}-daemon" for name in (KILLED_OWNER, KILLED_GUARD)]
    for name in killed:
        scene.fleet.kill(name)

    def send_again():
        return asyncio.gather(
            *(
                scene.send(OTHER, id=id, action=action)
                for id, action in zip(ids, actions, strict=True)
            )
        )

    again, *_ = await asyncio.gather(
        send_again(), *(scene.fleet.restart(name) for name in killed)
    )
    first = (await asyncio.gather(*sent))[:CALLS]
    last = await send_again()
    lost = [n for n in range(CALLS) if runs[n].target == KILLED_GUARD]
    return _Seen(
        first,
        [first[number] for number in lost],
        again + last,
        [last[number] for number in lost],
        [len(scene.runs(id)) for id in ids],
        scene.violations(),
    )


async def _late_copy(scene) -> tuple[int, int]:
    """Sends one call to a daemon before and after its restart.

    ZeroMQ sends what it still holds after a reconnect; the daemon that gets
    it then has no ledger of what its predecessor ran.

    Returns:
      Result code of the second copy and number of runs.
    """
    node = scene.fleet.node(KILLED_GUARD)
    async with scenes.Peer(node) as peer:
        call = scenes.make_call(scene.new_id(), await peer.incarnation())
        await peer.ask(call, messages.Result)
        scene.fleet.kill(node.daemon)
        await scene.fleet.restart(node.daemon)
        result = await peer.ask(call, messages.Result)
    return result.code, len(scene.runs())


async def _closed_connection(scene) -> list[load.Attempt]:
    """Kills a guard that runs idempotent calls."""
    await scene.warm_up()
    await scene.fleet.set_service_faults(
        scenes.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [scene.new_id() for _ in range(CALLS)]
    sent = [scene.start(kind="browse", id=id) for id in ids]
    targets = {(await scene.until_run(id)).target for id in ids}
    assert KILLED_GUARD in targets
    scene.fleet.kill(f"{KILLED_GUARD}-daemon")
    return await asyncio.gather(*sent)


class RestartedDaemonTest(scenes.FailureTest):
    def test_a_closed_connection_needs_no_heartbeat(self):
        (answers,) = self.compare((_closed_connection, scenes.off("heartbeat")))
        for answer in answers:
            self.assertTrue(answer.succeeded, answer)

    def test_actions_sent_again_run_once(self):
        seen, no_ledger = self.compare(
            (_kill, {}), (_kill, scenes.off("ledger")), entries=2
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
        checked, unchecked = self.compare(
            (_late_copy, {}),
            (_late_copy, scenes.off("incarnation_check")),
            targets=1,
            entries=0,
        )
        self.assertThat(
            checked, matchers.Equals((codes.Code.WRONG_INCARNATION, 1))
        )
        self.assertThat(unchecked, matchers.Equals((codes.Code.OK, 2)))
