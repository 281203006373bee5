"""Test environments for the failure tests: deployment, client and checks."""

import asyncio
import collections
import itertools
import json

import aiohttp
import testtools
import zmq
import zmq.asyncio

from mimosahaven import clock
from mimosahaven import entry as entry_lib
from mimosahaven import load
from mimosahaven import messages
from mimosahaven import targetclient
from mimosahaven.testing import deployments
from mimosahaven.testing import experiment
from mimosahaven.testing import invariants
from mimosahaven.testing import placement
from mimosahaven.testing import processes
from mimosahaven.testing import runner
from mimosahaven.testing import runs as runs_lib

# Short link timeouts keep the tests fast. No call is shed. The retry budget is
# effectively unlimited, because a test sends too few calls to earn retries.
SETTINGS = {
    "admission": {"algorithm": "fixed", "cold_limit_share": 1.0},
    "links": {"heartbeat_ms": 100, "silence_ms": 600},
    "retry": {"ratio": 1.0, "per_s_min": 1_000},
}
DEADLINE_MS = 8_000
CONDITION_TIMEOUT_S = 20
# The client waits past its deadline to receive the daemon's timeout response.
RESPONSE_MARGIN_MS = 4_000
SERVICE = "reservations"
KINDS = (
    ("bride", "reserve", "POST", SERVICE, "/reserve", 80, False),
    ("bride", "hold", "POST", "fittings", "/hold", 80, False),
    ("tourist", "browse", "GET", SERVICE, "/free", 10, True),
    ("stylist", "upload", "POST", SERVICE, "/attach", 30, True),
)
# Deployments that run concurrently use separate address prefixes, so that
# ports assigned by the kernel cannot collide.
_address_prefixes = itertools.cycle(
    f"127.0.{number}" for number in range(10, 40)
)


def settings_without(*mechanisms: str) -> dict:
    """Returns settings that disable the given mechanisms."""
    return {"mechanisms": dict.fromkeys(mechanisms, False)}


def make_deployment(**targets: int) -> deployments.Deployment:
    """Returns a deployment with the given number of targets per service.

    The fake targets of `fittings` call `reservations`. Those of `catalogue`
    receive no calls, so their daemons act only as entries.
    """
    return deployments.Deployment(
        "failures",
        "kigali",
        ("kigali-1", "kigali-2"),
        tuple(
            deployments.Service(name, count, 40, 100, 5)
            for name, count in targets.items()
        ),
        tuple(deployments.Kind(*kind, 0.25, 10_000) for kind in KINDS),
        SERVICE,
        next(_address_prefixes),
    )


class Environment:
    """A deployment under test and a client that records its responses."""

    def __init__(
        self, settings=None, targets=2, entries=1, fittings=0, **options
    ):
        self.fleet = runner.Runner(
            make_deployment(
                catalogue=entries, fittings=fittings, reservations=targets
            ),
            settings=placement.deep_merge(SETTINGS, settings or {}),
            **options,
        )
        # Names of the disabled mechanisms.
        self.disabled = set((settings or {}).get("mechanisms", {}))
        self.requests: dict[str, load.Request] = {}
        self.start_s = 0.0
        self._request_numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Environment":
        await self.fleet.__aenter__()
        self.start_s = asyncio.get_running_loop().time()
        return self

    async def __aexit__(self, *error) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Kills the processes, as no work is left and a drain would be slow.
        self.fleet.kill(runner.PLATFORM)
        for node in self.fleet.nodes:
            self.fleet.kill(node.daemon)
            self.fleet.kill(node.name)
        await self.fleet.__aexit__(*error)

    def new_id(self) -> str:
        """Returns an unused request id."""
        return f"r{next(self._request_numbers)}"

    async def new_action_id(self, entry: str) -> str:
        """Requests an unused action id from a daemon."""
        url = f"{self.fleet.node(entry).entry_url}/-/actions"
        async with self.fleet.session.post(url) as response:
            return (await response.json())["action"]

    async def send(
        self,
        entry: str = "catalogue-1",
        kind: str = "reserve",
        id: str = "",
        action: str = "",
        timeout_ms: float = DEADLINE_MS,
        data=None,
    ) -> load.Attempt:
        """Sends a request and returns the recorded attempt.

        An id that was sent before makes this another attempt of that request.
        """
        id = id or self.new_id()
        loads = experiment.make_kind_loads(self.fleet.deployment)
        kind_load = next(k for k in loads if k.kind == kind)
        now_s = asyncio.get_running_loop().time() - self.start_s
        request = self.requests.setdefault(
            id, load.Request(id, kind_load, now_s)
        )
        attempt = load.Attempt(action, now_s)
        request.attempts.append(attempt)
        headers = {
            entry_lib.CALLER_HEADER: kind_load.caller,
            entry_lib.KIND_HEADER: kind,
            targetclient.DEADLINE_HEADER: f"{timeout_ms:.0f}",
            "Content-Type": "application/json",
        }
        if action:
            headers[entry_lib.ACTION_HEADER] = action
        if data is None and kind_load.method != "GET":
            data = json.dumps({"id": id}).encode()
        try:
            async with self.fleet.session.request(
                kind_load.method,
                f"{self.fleet.node(entry).entry_url}{kind_load.path}?id={id}",
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(
                    total=(timeout_ms + RESPONSE_MARGIN_MS) / 1000
                ),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.error = type(error).__name__
        else:
            attempt.status = response.status
            attempt.code = int(response.headers.get(entry_lib.CODE_HEADER, 0))
            attempt.run_state = response.headers.get(entry_lib.RUN_HEADER, "")
            attempt.action_id = response.headers.get(
                entry_lib.ACTION_HEADER, action
            )
            attempt.complete = load.is_complete_response(request, body)
        attempt.end_s = asyncio.get_running_loop().time() - self.start_s
        return attempt

    def send_in_background(self, *args, **options) -> asyncio.Task:
        """Sends a request in the background."""
        task = asyncio.create_task(self.send(*args, **options))
        self._tasks.append(task)
        return task

    def runs(self, id: str | None = None) -> list[runs_lib.Run]:
        """Returns the runs of one request, or of all requests."""
        return [run for run in self.fleet.runs() if id is None or run.id == id]

    async def wait_for_run(self, id: str) -> runs_lib.Run:
        """Waits until a request runs and returns its first run."""

        async def find_runs():
            return self.runs(id)

        return (await self.wait_until(find_runs, f"run of {id}"))[0]

    async def wait_until(self, condition, description: str):
        """Waits until a condition holds, up to a long timeout."""
        return await processes.wait_until(
            condition, CONDITION_TIMEOUT_S, description
        )

    async def table_versions(self) -> dict[str, int]:
        """Returns the table version in force at each responding daemon."""
        versions = {}
        for node in self.fleet.nodes:
            status = await processes.get_json(
                self.fleet.session, f"{node.entry_url}/-/status"
            )
            if status is not None:
                versions[node.name] = status["table"].get("version", 0)
        return versions

    async def wait_for_table(self, version: int) -> None:
        """Waits until a table version is in force at all daemons."""

        async def in_force():
            versions = await self.table_versions()
            all_responded = len(versions) == len(self.fleet.nodes)
            return all_responded and set(versions.values()) == {version}

        await self.wait_until(in_force, f"table {version} in force")

    async def warm_up(self) -> None:
        """Sends calls through every daemon to open the links between them."""
        for node in self.fleet.nodes:
            for _ in range(3):
                await asyncio.gather(
                    *(self.send(node.name, "browse") for _ in range(6))
                )

    def count_violations(self) -> collections.Counter:
        """Returns the number of violations of each invariant.

        Runs are also counted by request id, because a retried request gets
        a new action id when the ledger is disabled.
        """
        observations = invariants.Observations(
            self.fleet.deployment,
            list(self.requests.values()),
            self.runs(),
            self.start_s * 1000,
        )
        violations = collections.Counter(
            v.name for v in invariants.check(observations)
        )
        runs = collections.Counter(
            (run.id, run.service)
            for run in observations.runs
            if run.path in ("/reserve", "/hold")
        )
        repeated = sum(count > 1 for count in runs.values())
        name = invariants.AT_MOST_ONCE
        violations[name] = max(violations[name], repeated)
        return +violations


class FailureTestCase(testtools.TestCase):
    """Runs scenarios with and without a mechanism."""

    def run_scenarios(self, *cases, **options) -> list:
        """Runs scenarios concurrently, each in its own environment.

        Args:
          cases: Pairs of a coroutine function that takes an Environment, and
            the settings. Empty settings enable every mechanism.
          options: Arguments of all environments.

        Returns:
          The results of the scenarios, in order.
        """

        async def run_case(scenario, settings):
            async with Environment(settings, **options) as env:
                return await scenario(env)

        async def run_all():
            return await asyncio.gather(*(run_case(*case) for case in cases))

        return asyncio.run(run_all())


class FakePeer:
    """A fake peer daemon with a link to one daemon under test."""

    def __init__(self, node: placement.Node):
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.connect(f"tcp://{node.host}:{node.link_port}")

    async def __aenter__(self) -> "FakePeer":
        return self

    async def __aexit__(self, *_error) -> None:
        self._context.destroy(linger=0)

    async def send(self, *frames: bytes) -> None:
        """Sends raw frames in one multipart message."""
        await self._socket.send_multipart(frames)

    async def request(self, message: messages.Message, reply_type: type):
        """Sends a message and returns the next reply of the given type."""
        await self.send(messages.encode(message))
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while True:
                frames = await self._socket.recv_multipart()
                reply = messages.decode(frames[-1])
                if isinstance(reply, reply_type):
                    return reply

    async def incarnation(self) -> str:
        """Returns the daemon's current incarnation."""
        hello = messages.Hello("peer", "0" * 16, clock.monotonic_ms())
        return (await self.request(hello, messages.HelloAck)).incarnation


def make_call(id: str, incarnation: str) -> messages.Call:
    """Returns a reservation attempt as sent by a peer daemon."""
    return messages.Call(
        call_id=f"peer.{'0' * 16}.1.{id}/1",
        attempt=0,
        action_id=f"peer.{'0' * 16}.1.{id}",
        caller="bride",
        kind="reserve",
        service=SERVICE,
        method="POST",
        path=f"/reserve?id={id}",
        headers=[],
        body=b"",
        incarnation=incarnation,
        sent_ms=clock.monotonic_ms(),
        remaining_ms=DEADLINE_MS,
        budget=0,
    )
