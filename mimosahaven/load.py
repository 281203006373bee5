"""Open-loop load generator: sends requests when due, despite slow responses."""

import asyncio
import dataclasses
import itertools
import json
import random

import aiohttp

from mimosahaven import entry as entry_lib
from mimosahaven import loadplan
from mimosahaven import targetclient

# A generator behind schedule yields to other tasks after this many arrivals.
ARRIVALS_PER_YIELD = 20
# Unused action ids pooled for each entry, from `Mimosahaven-Next-Action`. Ids
# expire, so only a few are kept and the newest is used first.
POOLED_IDS_MAX = 50
# Less than the 5 s after which servers close an idle connection; a request
# sent at that moment is lost.
KEEPALIVE_S = 2.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a client to send a request, and its result.

    Attributes:
      action_id: Action id of the response, or the one that was sent.
      status: HTTP status; 0 without a response.
      code: Result code; 0 without one.
      run_state: Run state from the response header; empty without a response.
      complete: Whether a successful response is complete and belongs to this
        request.
      error: "timeout" or the name of an exception; empty with a response.
    """

    action_id: str
    start_s: float
    end_s: float = 0.0
    status: int = 0
    code: int = 0
    run_state: str = ""
    complete: bool = False
    error: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the client received a successful and complete response."""
        return self.status == 200 and self.complete


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a client with all its attempts.

    All times are counted from the start of the plan.

    Attributes:
      intended_s: Time at which it was due.
      sent_s: Time at which the generator started it. It is later than
        intended_s by the lag of the generator.
    """

    id: str
    kind: loadplan.KindLoad
    intended_s: float
    sent_s: float = 0.0
    end_s: float = 0.0
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def outcome(self) -> str:
        """`succeeded`, `refused` (did not run) or `failed`."""
        if any(attempt.succeeded for attempt in self.attempts):
            return "succeeded"
        if all(attempt.run_state == "not-run" for attempt in self.attempts):
            return "refused"
        return "failed"


class ActionIdPool:
    """Unused action ids of the entries, for retries that reuse one id."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session
        self._pools: dict[str, list[str]] = {}

    def add(self, entry: str, action_id: str) -> None:
        """Adds an id that an entry issued."""
        pool = self._pools.setdefault(entry, [])
        pool.append(action_id)
        del pool[:-POOLED_IDS_MAX]

    async def acquire(self, entry: str) -> str:
        """Returns an unused id, or an empty string if there is none."""
        pool = self._pools.get(entry)
        if pool:
            return pool.pop()
        try:
            async with self._session.post(entry + "/-/actions") as response:
                return response.headers.get(entry_lib.NEXT_ACTION_HEADER, "")
        except (aiohttp.ClientError, OSError):
            return ""


class LoadGenerator:
    """Sends the load of a plan.

    Attributes:
      requests: All requests, in the order of their intended time.
      start_s: Start of the plan on the machine's monotonic clock.
    """

    def __init__(self, plan: loadplan.Plan, session: aiohttp.ClientSession):
        """Prepares to run the plan.

        Args:
          plan: What to send.
          session: Session without a connection limit; see `make_session`.
        """
        self.requests: list[Request] = []
        self._plan = plan
        self._session = session
        self._rng = random.Random(plan.seed)
        self._ids = ActionIdPool(session)
        self._sequence = itertools.count(1)
        self.start_s = 0.0

    async def run(self) -> list[Request]:
        """Sends all requests and waits for all responses.

        Raises:
          ExceptionGroup: A PUT request of a phase failed.
        """
        self.start_s = asyncio.get_running_loop().time()
        begin_s = 0.0
        async with asyncio.TaskGroup() as group:
            for phase in self._plan.phases:
                for put_request in phase.puts:
                    group.create_task(self._put(put_request))
                await self._send_phase(group, phase, begin_s)
                begin_s += phase.duration_s
        return self.requests

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self.start_s

    async def _put(self, put_request: loadplan.PutRequest) -> None:
        async with self._session.put(
            put_request.url, json=put_request.body
        ) as response:
            response.raise_for_status()

    async def _send_phase(
        self, group: asyncio.TaskGroup, phase: loadplan.Phase, begin_s: float
    ) -> None:
        kinds = self._plan.kinds
        shares = [kind.share for kind in kinds]
        intended_s = begin_s
        while True:
            intended_s += self._rng.expovariate(phase.rate_per_s)
            end_s = min(intended_s, begin_s + phase.duration_s)
            await self._sleep_until(end_s)
            if end_s < intended_s:
                return
            kind = self._rng.choices(kinds, shares)[0]
            request = Request(
                f"{self._plan.seed}-{next(self._sequence)}", kind, intended_s
            )
            self.requests.append(request)
            group.create_task(self._run_request(request))

    async def _sleep_until(self, time_s: float) -> None:
        delay_s = time_s - self._now_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        elif len(self.requests) % ARRIVALS_PER_YIELD == 0:
            await asyncio.sleep(0)

    async def _run_request(self, request: Request) -> None:
        # A separate random generator: responses must not change the arrivals.
        rng = random.Random(request.id)
        policy = self._plan.resend
        request.sent_s = self._now_s()
        entry = rng.choice(self._plan.entries)
        action_id = ""
        reuses_id = rng.random() < policy.same_action_share
        if reuses_id and policy.resends:
            action_id = await self._ids.acquire(entry)
        for _ in range(1 + policy.resends):
            attempt = await self._send(request, entry, action_id)
            request.attempts.append(attempt)
            is_final_refusal = (
                attempt.run_state == "not-run" and not policy.refused
            )
            if attempt.succeeded or is_final_refusal:
                break
            entry = rng.choice(self._plan.entries)
        request.end_s = self._now_s()

    async def _send(
        self, request: Request, entry: str, action_id: str
    ) -> Attempt:
        kind = request.kind
        timeout_ms = self._plan.resend.timeout_ms
        attempt = Attempt(action_id, self._now_s())
        headers = {
            entry_lib.CALLER_HEADER: kind.caller,
            entry_lib.KIND_HEADER: kind.kind,
            targetclient.DEADLINE_HEADER: f"{timeout_ms:.0f}",
        }
        if action_id:
            headers[entry_lib.ACTION_HEADER] = action_id
        data = None
        if kind.method != "GET":
            data = json.dumps({"id": request.id}).encode()
            headers["Content-Type"] = "application/json"
        try:
            async with self._session.request(
                kind.method,
                f"{entry}{kind.path}?id={request.id}",
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000),
            ) as response:
                body = await response.read()
                self._record_response(attempt, request, entry, response, body)
        except TimeoutError:
            attempt.error = "timeout"
        except (aiohttp.ClientError, OSError) as error:
            attempt.error = type(error).__name__
        attempt.end_s = self._now_s()
        return attempt

    def _record_response(
        self,
        attempt: Attempt,
        request: Request,
        entry: str,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        headers = response.headers
        attempt.status = response.status
        attempt.code = int(headers.get(entry_lib.CODE_HEADER, 0))
        attempt.run_state = headers.get(entry_lib.RUN_HEADER, "")
        attempt.action_id = headers.get(
            entry_lib.ACTION_HEADER, attempt.action_id
        )
        next_id = headers.get(entry_lib.NEXT_ACTION_HEADER)
        if next_id:
            self._ids.add(entry, next_id)
        if response.status == 200:
            attempt.complete = is_complete_response(request, body)


def is_complete_response(request: Request, body: bytes) -> bool:
    """Returns whether a body is the complete response to the request.

    Targets echo the id and the path and set `end` as the last field.
    """
    try:
        document = json.loads(body)
    except ValueError:
        return False
    return (
        isinstance(document, dict)
        and document.get("id") == request.id
        and request.kind.path
        == f"/{document.get('service')}{document.get('path')}"
        and document.get("end") is True
    )


def make_session() -> aiohttp.ClientSession:
    """Returns a client session without a connection limit."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # aiohttp resends a GET by itself when a pooled connection breaks; such an
    # attempt would be missing from the results.
    session._retry_connection = False
    return session
