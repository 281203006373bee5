"""Tests of mimosahaven.listening and of daemons that cannot listen."""

import json
import pathlib
import subprocess
import sys
import tempfile

import testtools
from testtools import matchers

from mimosahaven import codes
from mimosahaven import listening
from mimosahaven.testing import deployments
from mimosahaven.testing import placement
from mimosahaven.testing import ports as ports_lib
from mimosahaven.testing import processes

HOST = "127.0.0.1"
LIMIT_S = 60


class BindTest(testtools.TestCase):
    def test_an_address_in_use(self):
        first = listening.bind(HOST, 0)
        self.addCleanup(first.close)
        first.listen()
        port = first.getsockname()[1]
        error = self.assertRaises(
            listening.ListenError, listening.bind, HOST, port
        )
        self.assertThat(error.code, matchers.Equals(codes.Code.CANNOT_LISTEN))
        self.assertThat(
            str(error), matchers.Contains(f"{HOST}:{port}: address already")
        )

    def test_an_address_of_another_machine(self):
        # Addresses of 192.0.2.0/24 are given to nobody (RFC 5737).
        self.assertRaises(listening.ListenError, listening.bind, "192.0.2.1", 0)


class DaemonTest(testtools.TestCase):
    def test_a_daemon_says_in_one_line_which_address_it_cannot_open(self):
        for part in ("entry_port", "link_port"):
            self._check(part)

    def _check(self, part):
        ports = ports_lib.PortHold()
        self.addCleanup(ports.release)
        node = placement.place(deployments.SKOVGAARD, ports)[0]
        taken = listening.bind(node.host, getattr(node, part))
        self.addCleanup(taken.close)
        taken.listen()
        settings = placement.daemon_settings(
            node, [node], "dk", {"host": HOST, "port": 1}, 0
        )
        folder = tempfile.TemporaryDirectory(prefix="mimosahaven-")
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "mimosahaven.cli_daemon"]
            + ["--settings", str(path)],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
        lines = [
            line for line in done.stderr.splitlines() if "CANNOT_LISTEN" in line
        ]
        self.assertThat(
            done.returncode, matchers.Equals(listening.EXIT_CANNOT_LISTEN)
        )
        self.assertThat(lines, matchers.HasLength(1))
        self.assertThat(
            done.stderr, matchers.Not(matchers.Contains("Traceback"))
        )
