"""Tests of mimosahaven.testing.runner."""

import asyncio
import dataclasses
import os

import testtools
from testtools import matchers

from mimosahaven.testing import deployments
from mimosahaven.testing import processes
from mimosahaven.testing import runner as runner_lib

DEPLOYMENT = dataclasses.replace(
    deployments.SKOVGAARD,
    services=(deployments.Service("presse", 2, 4, 8, 1.0),),
)
HEADERS = {"Mimosahaven-Caller": "shop", "Mimosahaven-Kind": "order"}


def process_exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class RunnerTest(testtools.TestCase):
    def test_start_signal_and_stop(self):
        async def call(runner, entry):
            async with runner.session.get(
                f"{runner.node(entry).entry_url}/presse/print?id=7",
                headers=HEADERS,
            ) as response:
                return response.status == 200 and await response.json()

        async def run():
            async with runner_lib.Runner(
                DEPLOYMENT, forwarded=("presse-1",)
            ) as runner:
                names = ["platform"]
                for node in runner.nodes:
                    names += [node.name, node.daemon]
                pids = [runner.process(name).popen.pid for name in names]

                async def has_response():
                    body = await call(runner, "presse-2")
                    return body and body["id"] == "7"

                await processes.wait_until(has_response)
                runner.pause("presse-2")
                runner.kill("presse-1")
                await runner.process("presse-1").wait_exit()
                runner.resume("presse-2")
                await runner.restart("presse-1")
                pids.append(runner.process("presse-1").popen.pid)
                await processes.wait_until(has_response)
                # A paused process does not handle SIGTERM until it resumes.
                runner.pause("presse-2-daemon")
            return pids, runner.directory

        pids, directory = asyncio.run(run())
        self.assertThat(
            [pid for pid in pids if process_exists(pid)], matchers.Equals([])
        )
        self.assertFalse(directory.exists())

    def test_failed_start_leaves_nothing_running(self):
        # If one process fails to start, the others must not be left running.
        runner = runner_lib.Runner(
            DEPLOYMENT,
            parts=frozenset({runner_lib.TARGETS}),
            cold_start_ms="no number",
        )

        async def run():
            async with runner:
                pass

        error_group = self.assertRaises(ExceptionGroup, asyncio.run, run())
        self.assertThat(
            str(error_group.exceptions[0]), matchers.Contains("cold-start-ms")
        )
        for node in runner.nodes:
            process = runner.process(node.name)
            self.assertFalse(process_exists(process.popen.pid))
