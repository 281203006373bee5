"""Guards against late runs of calls that waited at a paused daemon."""

import asyncio
import dataclasses

from testtools import matchers

from mimosahaven import codes
from mimosahaven import load
from tests.failures import environment

PAUSED_ENTRY, ENTRY = "catalogue-1", "catalogue-2"
PAUSED_GUARD, OTHER = "reservations-1", "reservations-2"
CALLS = 8
DEADLINE_MS = 1_000
PAUSE_S = 2.5


@dataclasses.dataclass
class _Outcome:
    """Outcome of the calls.

    Attributes:
      stale: Attempts at the paused entry.
      elsewhere: Attempts of the same requests at another entry.
      in_pause: Attempts that may be routed to the paused guard.
      retried: Retries of the same actions after the pause.
      late_runs: Number of requests that ran after the deadline of their first
        attempt, by paused daemon.
      run_counts: Runs of each action.
    """

    stale: list[load.Attempt]
    elsewhere: list[load.Attempt]
    in_pause: list[load.Attempt]
    retried: list[load.Attempt]
    late_runs: dict[str, int]
    run_counts: list[int]
    violations: dict


async def _pause_daemons(env) -> _Outcome:
    await env.warm_up()
    ids = [env.new_id() for _ in range(CALLS)]
    stale_ids = [env.new_id() for _ in range(CALLS)]
    actions = [await env.new_action_id(ENTRY) for _ in ids]
    for name in (PAUSED_ENTRY, PAUSED_GUARD):
        env.fleet.pause(f"{name}-daemon")
    loop = asyncio.get_running_loop()
    end_s = loop.time() + PAUSE_S
    stale = [
        env.send_in_background(PAUSED_ENTRY, id=id, timeout_ms=DEADLINE_MS)
        for id in stale_ids
    ]

    def send(entry):
        return asyncio.gather(
            *(
                env.send(entry, id=id, action=action, timeout_ms=DEADLINE_MS)
                for id, action in zip(ids, actions, strict=True)
            )
        )

    in_pause = await send(ENTRY)
    # Retries the same actions while the guard is still paused.
    await send(OTHER)
    elsewhere = await asyncio.gather(
        *(env.send(OTHER, id=id) for id in stale_ids)
    )
    await asyncio.sleep(end_s - loop.time())
    for name in (PAUSED_ENTRY, PAUSED_GUARD):
        env.fleet.resume(f"{name}-daemon")
    stale = await asyncio.gather(*stale)
    # Once the daemons serve new calls, they have read the input that queued up
    # during the pause.
    await env.warm_up()
    # The first retry may only return the outcome of the inquiry that bars the
    # call.
    await send(OTHER)
    retried = await send(OTHER)
    return _Outcome(
        stale,
        elsewhere,
        in_pause,
        retried,
        {
            "entry": sum(
                run.id in stale_ids and run.action_id.startswith(PAUSED_ENTRY)
                for run in env.runs()
            ),
            "guard": sum(
                run.id in ids
                and run.target == PAUSED_GUARD
                and run.call_id.endswith("/1")
                for run in env.runs()
            ),
        },
        [len(env.runs(id)) for id in ids],
        env.count_violations(),
    )


class PausedDaemonTest(environment.FailureTestCase):
    def test_backlog_is_refused_as_not_run(self):
        enabled, no_detector, no_detector_or_skew = self.run_scenarios(
            (_pause_daemons, {}),
            (_pause_daemons, environment.settings_without("pause_detector")),
            (
                _pause_daemons,
                environment.settings_without("pause_detector", "clock_skew"),
            ),
            entries=2,
        )
        for attempt in enabled.stale:
            self.assertThat(attempt.run_state, matchers.Equals("not-run"))
        self.assertIn(
            codes.Code.STALE_AFTER_PAUSE,
            {attempt.code for attempt in enabled.stale},
        )
        self.assertThat(
            enabled.late_runs, matchers.Equals({"entry": 0, "guard": 0})
        )
        # The calls at the paused guard end with an unknown outcome at first.
        self.assertIn(
            "unknown", {attempt.run_state for attempt in enabled.in_pause}
        )
        for attempt in [*enabled.elsewhere, *enabled.retried]:
            self.assertTrue(attempt.succeeded, attempt)
        self.assertThat(set(enabled.run_counts), matchers.Equals({1}))
        self.assertThat(enabled.violations, matchers.Equals({}))
        # The clock skew check alone protects the guard, but not the entry.
        self.assertThat(no_detector.late_runs["entry"], matchers.GreaterThan(0))
        self.assertThat(no_detector.late_runs["guard"], matchers.Equals(0))
        self.assertThat(
            no_detector_or_skew.late_runs["guard"], matchers.GreaterThan(0)
        )
