"""Guards against calls lost or run twice when connections fall silent."""

import asyncio
import collections
import dataclasses

from testtools import matchers

from mimosahaven import load
from mimosahaven.testing import forwarder
from mimosahaven.testing import invariants
from tests.failures import scenes

# Connections to the first fall silent in both directions; those to the
# second take calls in and swallow only the answers.
SILENT = {
    "reservations-1": forwarder.Direction.BOTH,
    "reservations-2": forwarder.Direction.TO_CLIENT,
}
RUN_FACTOR = 80
CALLS = 12
DEADLINE_MS = 4_000


@dataclasses.dataclass
class _Seen:
    answers: list[load.Attempt]
    runs: collections.Counter
    targets: set[str]
    violations: dict

    @property
    def succeeded(self) -> int:
        return sum(answer.succeeded for answer in self.answers)


def _fall_silent(scene) -> None:
    for target, direction in SILENT.items():
        scene.fleet.forwarders[target].discard(direction)


async def _seen(scene, ids, sent) -> _Seen:
    answers = await asyncio.gather(*sent)
    runs = [run for run in scene.runs() if run.id in ids]
    return _Seen(
        answers,
        collections.Counter(run.id for run in runs),
        {run.target for run in runs},
        scene.violations(),
    )


async def _during_the_run(scene) -> _Seen:
    await scene.warm_up()
    await scene.fleet.set_service_faults(
        scenes.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [scene.new_id() for _ in range(CALLS)]
    sent = [scene.start(id=id, timeout_ms=DEADLINE_MS) for id in ids]
    for id in ids:
        await scene.until_run(id)
    _fall_silent(scene)
    return await _seen(scene, ids, sent)


async def _before_the_send(scene) -> _Seen:
    await scene.warm_up()
    ids = [scene.new_id() for _ in range(CALLS)]
    _fall_silent(scene)
    sent = [scene.start(id=id, timeout_ms=DEADLINE_MS) for id in ids]
    return await _seen(scene, ids, sent)


async def _both(scene) -> list[_Seen]:
    during = await _during_the_run(scene)
    await scene.fleet.set_service_faults(scenes.SERVICE, service_factor=1)
    return [during, await _before_the_send(scene)]


class SilentConnectionTest(scenes.FailureTest):
    def test_calls_in_flight_are_resolved_and_run_once(self):
        resolved, no_heartbeat, no_inquiry = self.compare(
            (_both, {}),
            (_before_the_send, scenes.off("heartbeat")),
            (_during_the_run, scenes.off("inquire")),
            forwarded=tuple(SILENT),
        )
        for seen in resolved:
            self.assertThat(seen.succeeded, matchers.Equals(CALLS), seen)
            self.assertThat(set(seen.runs.values()), matchers.Equals({1}))
            self.assertThat(seen.violations, matchers.Equals({}))
        self.assertThat(resolved[0].targets, matchers.Equals(set(SILENT)))
        self.assertThat(no_heartbeat.succeeded, matchers.LessThan(CALLS))
        self.assertIn(invariants.AT_MOST_ONCE, no_inquiry.violations)
