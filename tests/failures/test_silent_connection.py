"""Guards against calls lost or run twice when connections fall silent."""

import asyncio
import collections
import dataclasses

from testtools import matchers

from mimosahaven import load
from mimosahaven.testing import forwarder
from mimosahaven.testing import invariants
from tests.failures import environment

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


def _fall_silent(env) -> None:
    for target, direction in SILENT.items():
        env.fleet.forwarders[target].discard(direction)


async def _seen(env, ids, sent) -> _Seen:
    answers = await asyncio.gather(*sent)
    runs = [run for run in env.runs() if run.id in ids]
    return _Seen(
        answers,
        collections.Counter(run.id for run in runs),
        {run.target for run in runs},
        env.count_violations(),
    )


async def _during_the_run(env) -> _Seen:
    await env.warm_up()
    await env.fleet.set_service_faults(
        environment.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [env.new_id() for _ in range(CALLS)]
    sent = [env.send_in_background(id=id, timeout_ms=DEADLINE_MS) for id in ids]
    for id in ids:
        await env.wait_for_run(id)
    _fall_silent(env)
    return await _seen(env, ids, sent)


async def _before_the_send(env) -> _Seen:
    await env.warm_up()
    ids = [env.new_id() for _ in range(CALLS)]
    _fall_silent(env)
    sent = [env.send_in_background(id=id, timeout_ms=DEADLINE_MS) for id in ids]
    return await _seen(env, ids, sent)


async def _both(env) -> list[_Seen]:
    during = await _during_the_run(env)
    await env.fleet.set_service_faults(environment.SERVICE, service_factor=1)
    return [during, await _before_the_send(env)]


class SilentConnectionTest(environment.FailureTestCase):
    def test_calls_in_flight_are_resolved_and_run_once(self):
        resolved, no_heartbeat, no_inquiry = self.run_scenarios(
            (_both, {}),
            (_before_the_send, environment.settings_without("heartbeat")),
            (_during_the_run, environment.settings_without("inquire")),
            forwarded=tuple(SILENT),
        )
        for seen in resolved:
            self.assertThat(seen.succeeded, matchers.Equals(CALLS), seen)
            self.assertThat(set(seen.runs.values()), matchers.Equals({1}))
            self.assertThat(seen.violations, matchers.Equals({}))
        self.assertThat(resolved[0].targets, matchers.Equals(set(SILENT)))
        self.assertThat(no_heartbeat.succeeded, matchers.LessThan(CALLS))
        self.assertIn(invariants.AT_MOST_ONCE, no_inquiry.violations)
