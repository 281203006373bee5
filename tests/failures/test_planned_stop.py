"""Guards against requests that a planned stop of a daemon interrupts."""

import asyncio
import dataclasses

from testtools import matchers

from mimosahaven import codes
from mimosahaven import load
from mimosahaven.testing import processes
from tests.failures import environment

STOPPED, ENTRY = "fittings-1", "reservations-1"
RUN_FACTOR = 100
CALLS = 8
CALL_INTERVAL_S = 0.05
UPLOAD_CHUNK = b"x" * 100_000


@dataclasses.dataclass
class _Outcome:
    """Outcome of the requests around the stop.

    Attributes:
      in_flight: Attempts that were running when the stop began.
      upload: The upload whose body was still being sent.
      refused: New requests to the stopping daemon.
      elsewhere: The same requests at another entry.
      later: Requests to another entry until the process exited.
      new_runs: Number of new requests that ran at the stopping daemon's target.
    """

    in_flight: list[load.Attempt]
    upload: load.Attempt
    refused: list[load.Attempt]
    elsewhere: list[load.Attempt]
    later: list[load.Attempt]
    new_runs: int
    exit_code: int
    violations: dict


async def _upload_body(leaving: asyncio.Event):
    yield UPLOAD_CHUNK
    await leaving.wait()
    for _ in range(10):
        await asyncio.sleep(CALL_INTERVAL_S)
        yield UPLOAD_CHUNK


async def _stop_daemon(env) -> _Outcome:
    fleet = env.fleet
    await env.warm_up()
    await fleet.set_service_faults("fittings", service_factor=RUN_FACTOR)
    leaving = asyncio.Event()
    upload = env.send_in_background(
        STOPPED, "upload", data=_upload_body(leaving)
    )
    in_flight_ids = [env.new_id() for _ in range(CALLS)]
    in_flight = [
        env.send_in_background(ENTRY, "hold", id) for id in in_flight_ids
    ]
    for id in in_flight_ids:
        await env.wait_for_run(id)
    fleet.terminate(f"{STOPPED}-daemon")

    async def is_leaving():
        url = f"{fleet.node(STOPPED).entry_url}/-/status"
        status = await processes.get_json(fleet.session, url)
        return status is None or status["state"] == "leaving"

    await env.wait_until(is_leaving, "daemon leaving")
    ids = [env.new_id() for _ in range(CALLS)]
    refused = await asyncio.gather(
        *(env.send(STOPPED, "hold", id) for id in ids)
    )
    leaving.set()
    later = []
    while fleet.process(f"{STOPPED}-daemon").running:
        ids.append(env.new_id())
        later.append(env.send_in_background(ENTRY, "hold", ids[-1]))
        await asyncio.sleep(CALL_INTERVAL_S)
    elsewhere = await asyncio.gather(
        *(
            env.send(ENTRY, "hold", id)
            for id, attempt in zip(ids, refused, strict=False)
            if not attempt.succeeded
        )
    )
    return _Outcome(
        await asyncio.gather(*in_flight),
        await upload,
        refused,
        elsewhere,
        await asyncio.gather(*later),
        sum(run.id in ids and run.target == STOPPED for run in env.runs()),
        fleet.process(f"{STOPPED}-daemon").popen.returncode,
        env.count_violations(),
    )


class PlannedStopTest(environment.FailureTestCase):
    def test_in_flight_requests_complete(self):
        drained, undrained = self.run_scenarios(
            (_stop_daemon, {}),
            (_stop_daemon, environment.settings_without("drain")),
            entries=0,
            fittings=2,
            targets=1,
        )
        for attempt in (
            *drained.in_flight,
            drained.upload,
            *drained.elsewhere,
            *drained.later,
        ):
            self.assertTrue(attempt.succeeded, attempt)
        for attempt in drained.refused:
            self.assertThat(
                (attempt.code, attempt.run_state),
                matchers.Equals((codes.Code.LEAVING, "not-run")),
            )
        self.assertThat(drained.new_runs, matchers.Equals(0))
        self.assertThat(drained.exit_code, matchers.Equals(0))
        self.assertThat(drained.violations, matchers.Equals({}))
        lost = [
            attempt for attempt in undrained.in_flight if not attempt.succeeded
        ]
        self.assertThat(len(lost), matchers.GreaterThan(0))
