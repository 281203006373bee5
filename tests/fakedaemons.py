"""Fake daemons that serve status and decisions, for tests."""

import contextlib
import http.server
import io
import threading
import urllib.parse

import msgspec

from mimosahaven import decisions
from mimosahaven import status


class FakeDaemon:
    """Serves fixed responses on an ephemeral loopback port.

    Args:
      test: Test case that stops the server in its cleanup.
      kept_decisions: Decisions to serve.
      body: Body of every response; None to serve the status and decisions.

    Attributes:
      status: Status to serve; set by the test.
    """

    def __init__(self, test, kept_decisions=(), body=None):
        fake = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                url = urllib.parse.urlsplit(self.path)
                query = urllib.parse.parse_qs(url.query)
                data = fake.response_body(
                    url.path, query.get("action", [""])[0]
                )
                self.send_response(200)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, format, *args):
                pass

        self.status = None
        self._decisions = list(kept_decisions)
        self._fixed_body = body
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.port = server.server_address[1]
        self.address = f"127.0.0.1:{self.port}"
        thread = threading.Thread(
            target=server.serve_forever, args=(0.01,), daemon=True
        )
        thread.start()
        test.addCleanup(thread.join)
        test.addCleanup(server.server_close)
        test.addCleanup(server.shutdown)

    def response_body(self, path: str, action: str) -> bytes:
        if self._fixed_body is not None:
            return self._fixed_body
        if path == "/-/status":
            return status.encode(self.status)
        matching = [d for d in self._decisions if d.call_id.startswith(action)]
        return msgspec.json.encode(
            decisions.DecisionPage(self.status.target, matching)
        )


def make_status(name: str, domain: str = "z1", **fields) -> status.DaemonStatus:
    fields.setdefault("table", status.TableStatus(3, "abc", 1_000.0))
    return status.DaemonStatus(
        target=name,
        service="presse",
        failure_domain=domain,
        incarnation="0123456789abcdef",
        program_version="0.1.0",
        state="ready",
        uptime_ms=9_000.0,
        **fields,
    )


def make_target_status(
    name: str, state="live", port: int = 9
) -> status.TargetStatus:
    return status.TargetStatus(
        name, "presse", "z1", "127.0.0.1", port, status.TargetState(state)
    )


def run_main(main, *arguments: str) -> tuple[int, str, str]:
    """Runs a program's main; returns exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            main(list(arguments))
        except SystemExit as exit_error:
            return int(exit_error.code), out.getvalue(), err.getvalue()
    raise AssertionError("the program did not exit")
