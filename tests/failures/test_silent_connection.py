"""Guards against calls lost or run twice on half-open connections.

The connections stay open, but their bytes are discarded.
"""

import asyncio
import collections
import dataclasses

from testtools import matchers

from mimosahaven import load
from mimosahaven.testing import forwarder
from mimosahaven.testing import invariants
from tests.failures import environment

# Connections to the first target discard bytes in both directions; those to
# the second deliver calls and discard only the responses.
DISCARDED_DIRECTIONS = {
    "reservations-1": forwarder.Direction.BOTH,
    "reservations-2": forwarder.Direction.TO_CLIENT,
}
RUN_FACTOR = 80
CALLS = 12
DEADLINE_MS = 4_000


@dataclasses.dataclass
class _Outcome:
    attempts: list[load.Attempt]
    run_counts: collections.Counter
    targets: set[str]
    violations: dict

    @property
    def succeeded(self) -> int:
        return sum(attempt.succeeded for attempt in self.attempts)


def _discard_bytes(env) -> None:
    for target, direction in DISCARDED_DIRECTIONS.items():
        env.fleet.forwarders[target].discard(direction)


async def _collect_outcome(env, ids, sent) -> _Outcome:
    attempts = await asyncio.gather(*sent)
    runs = [run for run in env.runs() if run.id in ids]
    return _Outcome(
        attempts,
        collections.Counter(run.id for run in runs),
        {run.target for run in runs},
        env.count_violations(),
    )


async def _discard_during_run(env) -> _Outcome:
    await env.warm_up()
    await env.fleet.set_service_faults(
        environment.SERVICE, service_factor=RUN_FACTOR
    )
    ids = [env.new_id() for _ in range(CALLS)]
    sent = [env.send_in_background(id=id, timeout_ms=DEADLINE_MS) for id in ids]
    for id in ids:
        await env.wait_for_run(id)
    _discard_bytes(env)
    return await _collect_outcome(env, ids, sent)


async def _discard_before_send(env) -> _Outcome:
    await env.warm_up()
    ids = [env.new_id() for _ in range(CALLS)]
    _discard_bytes(env)
    sent = [env.send_in_background(id=id, timeout_ms=DEADLINE_MS) for id in ids]
    return await _collect_outcome(env, ids, sent)


async def _discard_twice(env) -> list[_Outcome]:
    during_run = await _discard_during_run(env)
    await env.fleet.set_service_faults(environment.SERVICE, service_factor=1)
    return [during_run, await _discard_before_send(env)]


class SilentConnectionTest(environment.FailureTestCase):
    def test_calls_in_flight_are_resolved_and_run_once(self):
        resolved, no_heartbeat, no_inquiry = self.run_scenarios(
            (_discard_twice, {}),
            (_discard_before_send, environment.settings_without("heartbeat")),
            (_discard_during_run, environment.settings_without("inquire")),
            forwarded=tuple(DISCARDED_DIRECTIONS),
        )
        for outcome in resolved:
            self.assertThat(outcome.succeeded, matchers.Equals(CALLS), outcome)
            self.assertThat(
                set(outcome.run_counts.values()), matchers.Equals({1})
            )
            self.assertThat(outcome.violations, matchers.Equals({}))
        self.assertThat(
            resolved[0].targets, matchers.Equals(set(DISCARDED_DIRECTIONS))
        )
        self.assertThat(no_heartbeat.succeeded, matchers.LessThan(CALLS))
        self.assertIn(invariants.AT_MOST_ONCE, no_inquiry.violations)
