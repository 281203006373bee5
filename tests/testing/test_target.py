"""Tests of mimosahaven.testing.target."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import testtools
from testtools import matchers

from mimosahaven.testing import deployments
from mimosahaven.testing import processes
from mimosahaven.testing import runner as runner_lib

LEAF = deployments.Service("presse", 1, 2, 8, 20.0)
DEPLOYMENT = dataclasses.replace(deployments.SKOVGAARD, services=(LEAF,))
HEADERS = {"Mimosahaven-Context": "presse-1.0123456789abcdef.5.1/1.2"}


class TargetTest(testtools.TestCase):
    def run_with_target(self, check):
        async def run():
            async with runner_lib.Runner(
                DEPLOYMENT, parts=frozenset({runner_lib.TARGETS})
            ) as runner:
                self.url = runner.node("presse-1").target_url
                return await check(runner)

        return asyncio.run(run())

    async def get(self, runner, request_id, headers=HEADERS):
        async with runner.session.get(
            f"{self.url}/print", params={"id": request_id}, headers=headers
        ) as response:
            return response.status, await response.json()

    async def wait_for_runs(self, runner, count):
        async def run_count_reached():
            report = await processes.get_json(
                runner.session, f"{self.url}/-/runs"
            )
            return report["concurrent"] == count

        await processes.wait_until(run_count_reached)

    def test_only_shed_requests_do_not_run(self):
        # The tables of both deployments declare that 503 means "not run".
        async def check(runner):
            responses = await asyncio.gather(
                *(self.get(runner, str(n)) for n in range(6))
            )
            return responses, runner.runs()

        responses, runs = self.run_with_target(check)
        ran = sorted(body["id"] for status, body in responses if status == 200)
        self.assertThat(ran, matchers.HasLength(4))
        self.assertThat(sorted(r.id for r in runs), matchers.Equals(ran))
        self.assertThat(
            {r.action_id for r in runs},
            matchers.Equals({"presse-1.0123456789abcdef.5.1"}),
        )

    def test_deadline_and_cancellation_end_a_run(self):
        # A run whose caller no longer waits would occupy a slot needlessly.
        async def check(runner):
            await runner.set_faults("presse-1", hang=True)
            late_response = await self.get(
                runner, "late", {"Mimosahaven-Deadline-Ms": "50"}
            )
            task = asyncio.ensure_future(self.get(runner, "cancelled"))
            await self.wait_for_runs(runner, 1)
            call_id = HEADERS["Mimosahaven-Context"]
            async with runner.session.delete(
                f"{self.url}/-/calls/{call_id}"
            ) as response:
                self.assertThat(response.status, matchers.Equals(204))
            await task
            return late_response, runner.runs()

        late_response, runs = self.run_with_target(check)
        self.assertThat(late_response[0], matchers.Equals(504))
        self.assertThat(
            [r.outcome for r in runs],
            matchers.Equals(["deadline", "cancelled"]),
        )

    def test_client_detects_a_truncated_response(self):
        async def check(runner):
            await runner.set_faults("presse-1", truncate=True)
            return await self.get(runner, "1")

        self.assertRaises(
            aiohttp.ClientPayloadError, self.run_with_target, check
        )

    def test_run_log_survives_crash_and_drain_finishes_runs(self):
        # A run log lost in a crash would hide a second run of the action.
        async def check(runner):
            await runner.set_faults("presse-1", crash_substring="bang")
            with contextlib.suppress(aiohttp.ClientError):
                await self.get(runner, "bang")
            await runner.process("presse-1").wait_exit()
            await runner.restart("presse-1")
            await runner.set_faults("presse-1", service_factor=10)
            task = asyncio.ensure_future(self.get(runner, "drained"))
            await self.wait_for_runs(runner, 1)
            runner.terminate("presse-1")
            return await task, runner.runs()

        (status, _), runs = self.run_with_target(check)
        self.assertThat(status, matchers.Equals(200))
        self.assertThat(
            [(r.id, r.outcome) for r in runs],
            matchers.Equals([("bang", "running"), ("drained", "ok")]),
        )
