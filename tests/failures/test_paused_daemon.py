"""Guards against late runs of what waited at a daemon that was stopped."""

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
class _Seen:
    """What became of the calls.

    Attributes:
      stale: Answers of the stopped entry.
      elsewhere: Answers to the same requests at another entry.
      in_pause: Answers to calls that may be routed to the stopped guard.
      again: Answers to the same actions, sent again after the pause.
      late: Requests that ran after the deadline of their first send, by the
        stopped daemon.
    """

    stale: list[load.Attempt]
    elsewhere: list[load.Attempt]
    in_pause: list[load.Attempt]
    again: list[load.Attempt]
    late: dict[str, int]
    runs: list[int]
    violations: dict


async def _pause(env) -> _Seen:
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
    # The same actions again, while the guard is still stopped.
    await send(OTHER)
    elsewhere = await asyncio.gather(
        *(env.send(OTHER, id=id) for id in stale_ids)
    )
    await asyncio.sleep(end_s - loop.time())
    for name in (PAUSED_ENTRY, PAUSED_GUARD):
        env.fleet.resume(f"{name}-daemon")
    stale = await asyncio.gather(*stale)
    # Whatever waited has been read when the daemons serve new calls.
    await env.warm_up()
    # The first one may be answered by the inquiry that bars the call.
    await send(OTHER)
    again = await send(OTHER)
    return _Seen(
        stale,
        elsewhere,
        in_pause,
        again,
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
        seen, no_detector, neither = self.run_scenarios(
            (_pause, {}),
            (_pause, environment.settings_without("pause_detector")),
            (
                _pause,
                environment.settings_without("pause_detector", "clock_skew"),
            ),
            entries=2,
        )
        for answer in seen.stale:
            self.assertThat(answer.run_state, matchers.Equals("not-run"))
        self.assertIn(
            codes.Code.STALE_AFTER_PAUSE, {answer.code for answer in seen.stale}
        )
        self.assertThat(seen.late, matchers.Equals({"entry": 0, "guard": 0}))
        # The calls at the stopped guard were left unknown at first.
        self.assertIn("unknown", {answer.run_state for answer in seen.in_pause})
        for answer in [*seen.elsewhere, *seen.again]:
            self.assertTrue(answer.succeeded, answer)
        self.assertThat(set(seen.runs), matchers.Equals({1}))
        self.assertThat(seen.violations, matchers.Equals({}))
        # The clock readings alone protect the guard, but not the entry.
        self.assertThat(no_detector.late["entry"], matchers.GreaterThan(0))
        self.assertThat(no_detector.late["guard"], matchers.Equals(0))
        self.assertThat(neither.late["guard"], matchers.GreaterThan(0))
