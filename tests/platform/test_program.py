"""Runs the platform's program, platform/daemon.py, as a separate process."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools
from testtools import matchers

from mimosahaven import listening
from mimosahaven.mesh import frames
from mimosahaven.testing import ports as ports_lib
from mimosahaven.testing import processes
from tests.mesh import test_frames

HOST = "127.0.0.1"
TIMEOUT_S = 60
PROGRAM = processes.ROOT / "platform" / "daemon.py"
EXIT_BAD_SETTINGS = 2
# Modules for other parts of the product, and those of rare events.
HEAVY_MODULES = {
    "_ssl",
    "aiohttp",
    "falcon",
    "json5",
    "loguru",
    "mimosahaven.settings",
    "pydantic",
    "uvicorn",
    "zmq",
}


class ProgramTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory(prefix="mimosahaven-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ports = ports_lib.PortAllocator()
        self.addCleanup(self.ports.release)
        callers, peers, readiness, target, store = self.ports.allocate(HOST, 5)
        self.settings = {
            "vm": "vm-1",
            "failure_domain": "a",
            "service": "katalog",
            "target": f"{HOST}:{target}",
            "listen": {
                "callers": f"{HOST}:{callers}",
                "peers": f"{HOST}:{peers}",
                "readiness": f"{HOST}:{readiness}",
            },
            # Nothing listens on this port.
            "store": {"endpoint": f"{HOST}:{store}"},
        }

    def start(self, text=None, options=()):
        path = self.folder / "settings.json5"
        path.write_text(text or json.dumps(self.settings), encoding="utf-8")
        with (
            (self.folder / "out").open("wb") as out,
            (self.folder / "err").open("wb") as err,
        ):
            process = subprocess.Popen(
                [sys.executable, *options, str(PROGRAM)],
                env=os.environ | {"MIMOSAHAVEN_SETTINGS": str(path)},
                stdout=out,
                stderr=err,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def events(self):
        lines = (self.folder / "out").read_text().splitlines()
        return [json.loads(line)["event"] for line in lines]

    def wait_for_event(self, event):
        end_s = time.monotonic() + TIMEOUT_S
        while event not in self.events():
            self.assertThat(time.monotonic(), matchers.LessThan(end_s), event)
            time.sleep(0.02)

    def test_runs_without_a_store_and_exits_on_sigterm(self):
        process = self.start()
        self.wait_for_event("store lost")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(TIMEOUT_S))
        self.assertEqual("stopped", self.events()[-1])

    def test_no_run_that_follows_a_ping_is_lost_at_a_planned_stop(self):
        # Guards against orders with an unknown outcome at a planned restart:
        # the process ended between its reply to a ping and the run after it.
        process = self.start()
        self.wait_for_event("store lost")
        lost = asyncio.run(
            asyncio.wait_for(self.send_until_closed(process), TIMEOUT_S)
        )
        self.assertEqual(0, process.wait(TIMEOUT_S))
        self.assertEqual([], lost)

    async def send_until_closed(self, process):
        """Sends pings and runs while the process stops; returns lost runs."""
        host, port = self.settings["listen"]["peers"].split(":")
        lost = []

        async def exchange(reader, writer, decoder, frame):
            writer.write(frames.encode(frame))
            received = []
            while not received:
                data = await reader.read(65536)
                if not data:
                    raise ConnectionResetError
                received = decoder.feed(data)
            return received[0]

        async def send(sender):
            reader, writer = await asyncio.open_connection(host, int(port))
            decoder = frames.FrameDecoder()
            with contextlib.suppress(ConnectionError):
                for number in itertools.count():
                    ping = frames.Ping("127.0.0.2", 0, 0)
                    reply = await exchange(reader, writer, decoder, ping)
                    if not isinstance(reply, frames.Pong):
                        continue
                    run = test_frames.run(send_id=f"{sender}#{number}")
                    lost.append(run.send_id)
                    await exchange(reader, writer, decoder, run)
                    lost.remove(run.send_id)
            writer.close()

        async with asyncio.TaskGroup() as senders:
            for sender in range(8):
                senders.create_task(send(sender))
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
        return lost

    def test_heavy_modules_are_never_imported(self):
        # Each of these takes 0.5 to 10 MB, on every VM.
        process = self.start(options=("-X", "importtime"))
        self.wait_for_event("store lost")
        self.wait_for_event("state")
        process.send_signal(signal.SIGHUP)
        self.wait_for_event("settings read")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(TIMEOUT_S))
        lines = (self.folder / "err").read_text().splitlines()
        imported = {line.rpartition("|")[2].strip() for line in lines}
        self.assertIn("mimosahaven.mesh.daemon", imported)
        self.assertEqual(set(), imported & HEAVY_MODULES)

    def test_sighup_reloads_settings_without_exiting(self):
        process = self.start()
        self.wait_for_event("store lost")
        process.send_signal(signal.SIGHUP)
        self.wait_for_event("settings read")
        self.assertIs(None, process.poll())

    def test_invalid_settings_are_reported_without_a_traceback(self):
        bad_bounds = self.settings | {"bounds": {"grace_s": -1}}
        for text in ("{", json.dumps(bad_bounds)):
            process = self.start(text)
            self.assertEqual(EXIT_BAD_SETTINGS, process.wait(TIMEOUT_S))
            self.assertThat(
                (self.folder / "err").read_text(),
                matchers.Not(matchers.Contains("Traceback")),
            )

    def test_an_address_in_use_is_reported_in_one_line(self):
        host, port = self.settings["listen"]["callers"].split(":")
        taken = listening.bind(host, int(port))
        self.addCleanup(taken.close)
        taken.listen()
        process = self.start()
        self.assertEqual(listening.EXIT_CANNOT_LISTEN, process.wait(TIMEOUT_S))
        [line] = (self.folder / "err").read_text().splitlines()
        self.assertThat(line, matchers.Contains("CANNOT_LISTEN"))
