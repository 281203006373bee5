"""Guards against requests that a planned stop of a daemon cuts off."""

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
UPLOAD_PIECE = b"x" * 100_000


@dataclasses.dataclass
class _Seen:
    """What the callers were told around the stop.

    Attributes:
      in_flight: Answers to calls that ran when the stop began.
      upload: Answer to the upload whose body was on its way.
      refused: Answers of the stopped daemon to new requests.
      elsewhere: Answers to the same requests at another entry.
      later: Answers to requests at another entry until the process ended.
      new_runs: New requests that ran at the stopped daemon's target.
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
    yield UPLOAD_PIECE
    await leaving.wait()
    for _ in range(10):
        await asyncio.sleep(CALL_INTERVAL_S)
        yield UPLOAD_PIECE


async def _stop(env) -> _Seen:
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

    await env.wait_until(is_leaving, "leaving")
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
            for id, answer in zip(ids, refused, strict=False)
            if not answer.succeeded
        )
    )
    return _Seen(
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
    def test_nothing_in_flight_is_cut_off(self):
        drained, cut = self.run_scenarios(
            (_stop, {}),
            (_stop, environment.settings_without("drain")),
            entries=0,
            fittings=2,
            targets=1,
        )
        for answer in (
            *drained.in_flight,
            drained.upload,
            *drained.elsewhere,
            *drained.later,
        ):
            self.assertTrue(answer.succeeded, answer)
        for answer in drained.refused:
            self.assertThat(
                (answer.code, answer.run_state),
                matchers.Equals((codes.Code.LEAVING, "not-run")),
            )
        self.assertThat(drained.new_runs, matchers.Equals(0))
        self.assertThat(drained.exit_code, matchers.Equals(0))
        self.assertThat(drained.violations, matchers.Equals({}))
        lost = [answer for answer in cut.in_flight if not answer.succeeded]
        self.assertThat(len(lost), matchers.GreaterThan(0))
