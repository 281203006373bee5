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
TIMEOUT_S = 60


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
        # 192.0.2.0/24 is reserved for documentation (RFC 5737).
        self.assertRaises(listening.ListenError, listening.bind, "192.0.2.1", 0)


class DaemonTest(testtools.TestCase):
    def test_a_daemon_logs_one_line_for_an_address_it_cannot_bind(self):
        for port_field in ("entry_port", "link_port"):
            self._check_port_in_use(port_field)

    def _check_port_in_use(self, port_field):
        ports = ports_lib.PortAllocator()
        self.addCleanup(ports.release)
        node = placement.place_targets(deployments.SKOVGAARD, ports)[0]
        taken = listening.bind(node.host, getattr(node, port_field))
        self.addCleanup(taken.close)
        taken.listen()
        settings = placement.make_daemon_settings(
            node, [node], "dk", {"host": HOST, "port": 1}, 0
        )
        temp_dir = tempfile.TemporaryDirectory(prefix="mimosahaven-")
        self.addCleanup(temp_dir.cleanup)
        path = pathlib.Path(temp_dir.name) / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        completed = subprocess.run(
            [sys.executable, "-m", "mimosahaven.cli_daemon"]
            + ["--settings", str(path)],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        lines = [
            line
            for line in completed.stderr.splitlines()
            if "CANNOT_LISTEN" in line
        ]
        self.assertThat(
            completed.returncode, matchers.Equals(listening.EXIT_CANNOT_LISTEN)
        )
        self.assertThat(lines, matchers.HasLength(1))
        self.assertThat(
            completed.stderr, matchers.Not(matchers.Contains("Traceback"))
        )
