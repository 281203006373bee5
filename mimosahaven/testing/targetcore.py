"""State and behavior of the fake target, independent of its server."""

import asyncio
import collections
import contextlib
import json
import math
import os
import random

import aiohttp
import msgspec

from mimosahaven import clock
from mimosahaven.testing import callgraph
from mimosahaven.testing import deployments
from mimosahaven.testing import runs as runs_lib

# Factor on the service time at the beginning of a cold start.
COLD_START_FACTOR = 4.0
CRASH_EXIT_CODE = 70
# Below the 5 s after which a daemon closes an idle connection: a request sent
# while the daemon closes the connection would be lost.
KEEPALIVE_TIMEOUT_S = 2.0


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults, set by `PUT /-/control`.

    Attributes:
      service_factor: Factor on the service time.
      health: `honest`, or the false state that the health endpoint reports:
        `up` or `down`.
      report_lag_ms: Age up to which the health and load endpoints reuse a
        report.
      crash_substring: A request whose body or URL contains it crashes the
        process as soon as the request runs.
      hang: Runs do not finish and keep their slots.
      truncate: Responses end before the body is complete.
      slow_body_ms: Time over which a response body is sent.
      drop_context: Nested calls are sent without the context header.
    """

    service_factor: float = 1.0
    health: str = "honest"
    report_lag_ms: float = 1_000.0
    crash_substring: str = ""
    hang: bool = False
    truncate: bool = False
    slow_body_ms: float = 0.0
    drop_context: bool = False


class SlotPool:
    """A fixed number of slots with a bounded FIFO queue."""

    def __init__(self, count: int, queue_max: int):
        self._free_count = count
        self._queue_max = queue_max
        self._waiters: collections.deque[asyncio.Future] = collections.deque()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiters)

    async def acquire(self, wait_s: float | None) -> bool:
        """Acquires a slot within `wait_s` and returns whether it did."""
        if self._free_count:
            self._free_count -= 1
            return True
        if len(self._waiters) >= self._queue_max:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await asyncio.wait_for(waiter, wait_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiter.done() and not waiter.cancelled():
                self.release()
            else:
                with contextlib.suppress(ValueError):
                    self._waiters.remove(waiter)
            if isinstance(error, TimeoutError):
                return False
            raise
        return True

    def release(self) -> None:
        """Releases a slot, or hands it to the first waiting request."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free_count += 1


class NestedCallError(Exception):
    """A nested call failed.

    Attributes:
      detail: Body fields of the response of the calling run.
    """

    def __init__(self, service: str, reason: str, **detail):
        super().__init__(f"{service}: {reason}")
        self.detail = {"failed": service, "reason": reason, **detail}


class Request(msgspec.Struct):
    """The parts of an HTTP request that a run needs.

    Attributes:
      deadline_ms: Deadline on the monotonic clock; infinite without one.
      size: Number of padding bytes in the body of a successful response.
      crash: Whether the run crashes the process.
    """

    method: str
    path: str
    id: str
    call_id: str
    deadline_ms: float
    size: int
    crash: bool = False


class Target:
    """State and behavior of the fake target."""

    def __init__(self, options: dict):
        self.name = options["name"]
        self.service = options["service"]
        self.faults = Faults()
        self.draining = False
        self.log = runs_lib.RunLog(options["runs_file"])
        self.shed_count = 0
        slots = options["slots"]
        queue = options["queue"]
        self.slots = SlotPool(slots, slots if queue is None else queue)
        self._options = options
        self._rng = random.Random(options["seed"])
        self._started_ms = clock.monotonic_ms()
        self._tasks: dict[str, set[asyncio.Task]] = {}
        self._session: aiohttp.ClientSession | None = None

    def service_time_s(self) -> float:
        """Returns a random service time for the next run."""
        median_ms = self._options["service_ms"] * self.faults.service_factor
        time_ms = median_ms * math.exp(
            self._rng.gauss(0.0, deployments.SERVICE_TIME_SIGMA)
        )
        cold_ms = self._options["cold_start_ms"]
        age_ms = clock.monotonic_ms() - self._started_ms
        if age_ms < cold_ms:
            time_ms *= 1 + (COLD_START_FACTOR - 1) * (1 - age_ms / cold_ms)
        return time_ms / 1000

    def cancel(self, call_id: str) -> bool:
        """Cancels the runs of a call; returns whether there were any."""
        tasks = self._tasks.get(call_id, set())
        for task in tasks:
            task.cancel()
        return bool(tasks)

    async def handle(self, request: Request) -> tuple[int, dict]:
        """Runs or sheds a request.

        Returns:
          HTTP status and body fields. 503 always means that the request did
          not run.
        """
        task = asyncio.ensure_future(self._queue_and_run(request))
        tasks = self._tasks.setdefault(request.call_id, set())
        tasks.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            return 503, {"shed": "cancelled"}
        finally:
            tasks.discard(task)
            if not tasks:
                self._tasks.pop(request.call_id, None)

    async def _queue_and_run(self, request: Request) -> tuple[int, dict]:
        wait_s = _remaining_s(request)
        if (wait_s or 1) <= 0 or not await self.slots.acquire(wait_s):
            self.shed_count += 1
            return 503, {"shed": "no slot"}
        run = runs_lib.Run(
            request.call_id,
            runs_lib.action_id_of(request.call_id),
            self.service,
            self.name,
            request.path,
            request.id,
            clock.monotonic_ms(),
        )
        self.log.start(run)
        if request.crash:
            os._exit(CRASH_EXIT_CODE)
        outcome, response = "cancelled", (500, {"failed": "cancelled"})
        try:
            async with asyncio.timeout(_remaining_s(request)):
                response = await self._execute(request)
            outcome = runs_lib.OK
        except asyncio.CancelledError:
            pass
        except TimeoutError:
            outcome, response = "deadline", (504, {"failed": "deadline"})
        except NestedCallError as error:
            outcome = f"nested: {error}"
            response = 502, error.detail
        finally:
            self.log.finish(run, outcome, clock.monotonic_ms())
            self.slots.release()
        return response

    async def _execute(self, request: Request) -> tuple[int, dict]:
        if self.faults.hang:
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(self.service_time_s())
        nested = self._options["calls"] or callgraph.nested_calls(
            self.service, request.path
        )
        nested_results = [
            await self._call_nested(name, request) for name in nested
        ]
        return 200, {"nested": nested_results, "padding": "x" * request.size}

    async def _call_nested(self, name: str, request: Request) -> dict:
        service, _, path = name.partition("/")
        headers = {"Content-Type": "application/json"}
        if request.call_id and not self.faults.drop_context:
            headers[runs_lib.CONTEXT_HEADER] = request.call_id
        try:
            async with self._get_session().request(
                request.method,
                f"{self._options['daemon']}/{service}/{path}",
                params={"id": request.id},
                headers=headers,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise NestedCallError(service, type(error).__name__) from error
        if response.status != 200:
            code = response.headers.get("Mimosahaven-Code", "")
            raise NestedCallError(
                service,
                f"status {response.status} code {code}",
                run=response.headers.get("Mimosahaven-Run", ""),
            )
        result = parse_json_object(body)
        if result.get("id") != request.id or result.get("service") != service:
            raise NestedCallError(service, "foreign or truncated answer")
        return {key: result[key] for key in ("service", "target", "id")}

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S
                ),
                timeout=aiohttp.ClientTimeout(total=None),
            )
            # By default aiohttp retries GET requests on a broken pooled
            # connection, which the daemon would count as a retry.
            self._session._retry_connection = False
        return self._session


def _remaining_s(request: Request) -> float | None:
    if request.deadline_ms == math.inf:
        return None
    return (request.deadline_ms - clock.monotonic_ms()) / 1000


def parse_json_object(body: bytes) -> dict:
    """Returns the JSON object in a body, or an empty one if invalid."""
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
