"""Open-loop load: sends requests at their time, whatever comes back."""

import asyncio
import dataclasses
import itertools
import json
import random

import aiohttp

from mimosahaven import entry as entry_lib
from mimosahaven import loadplan
from mimosahaven import targetclient

# A sender that is behind lets other tasks run after this many arrivals.
YIELD_EVERY = 20
# Unused action ids kept for each entry, from `Mimosahaven-Next-Action`. They
# are used up quickly, because they expire.
IDS_KEPT = 50
# Below the 5 s after which the servers close an idle connection; a request
# sent at that moment is lost.
KEEPALIVE_S = 2.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One send of a request and what the client was told.

    Attributes:
      action_id: Action id of the answer, or the one that was sent.
      status: HTTP status; 0 without an answer.
      code: Result code; 0 without one.
      run: Run state as the header says it; empty without an answer.
      whole: Whether a success is the complete answer to this request.
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
        """Whether the client has what it wanted."""
        return self.status == 200 and self.complete


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a client with all its sends.

    Attributes:
      intended_s: Time at which it was due, from the start of the plan.
      sent_s: Time at which it was sent; the difference is the lag of this
        process.
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
        if any(send.succeeded for send in self.attempts):
            return "succeeded"
        if all(send.run_state == "not-run" for send in self.attempts):
            return "refused"
        return "failed"


class ActionIdPool:
    """Unused action ids of the entries, for sends that reuse one id."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session
        self._kept: dict[str, list[str]] = {}

    def keep(self, entry: str, action_id: str) -> None:
        """Keeps an id that an entry handed out."""
        kept = self._kept.setdefault(entry, [])
        kept.append(action_id)
        del kept[:-IDS_KEPT]

    async def take(self, entry: str) -> str:
        """Returns an unused id, or an empty text when there is none."""
        kept = self._kept.get(entry)
        if kept:
            return kept.pop()
        try:
            async with self._session.post(entry + "/-/actions") as response:
                return response.headers.get(entry_lib.NEXT_ACTION_HEADER, "")
        except (aiohttp.ClientError, OSError):
            return ""


class LoadGenerator:
    """Carries out a plan.

    Attributes:
      requests: All requests, in the order of their intended time.
      start_s: Start of the plan on the machine's monotonic clock.
    """

    def __init__(self, plan: loadplan.Plan, session: aiohttp.ClientSession):
        """Prepares the plan.

        Args:
          plan: What to send.
          session: Client without a limit of connections.
        """
        self.requests: list[Request] = []
        self._plan = plan
        self._session = session
        self._rng = random.Random(plan.seed)
        self._ids = ActionIdPool(session)
        self._sequence = itertools.count(1)
        self.start_s = 0.0

    async def run(self) -> list[Request]:
        """Sends all requests and waits for the last answer.

        Raises:
          ExceptionGroup: A document of a phase could not be sent.
        """
        self.start_s = asyncio.get_running_loop().time()
        begin_s = 0.0
        async with asyncio.TaskGroup() as group:
            for phase in self._plan.phases:
                for put in phase.puts:
                    group.create_task(self._put(put))
                await self._send_phase(group, phase, begin_s)
                begin_s += phase.duration_s
        return self.requests

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self.start_s

    async def _put(self, put: loadplan.PutRequest) -> None:
        async with self._session.put(put.url, json=put.body) as response:
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
            group.create_task(self._carry_out(request))

    async def _sleep_until(self, time_s: float) -> None:
        delay_s = time_s - self._now_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        elif len(self.requests) % YIELD_EVERY == 0:
            await asyncio.sleep(0)

    async def _carry_out(self, request: Request) -> None:
        # A generator of its own: answers must not change the arrivals.
        rng = random.Random(request.id)
        policy = self._plan.resend
        request.sent_s = self._now_s()
        entry = rng.choice(self._plan.entries)
        action_id = ""
        same = rng.random() < policy.same_action_share
        if same and policy.resends:
            action_id = await self._ids.take(entry)
        for _ in range(1 + policy.resends):
            send = await self._send(request, entry, action_id)
            request.attempts.append(send)
            refused = send.run_state == "not-run" and not policy.refused
            if send.succeeded or refused:
                break
            entry = rng.choice(self._plan.entries)
        request.end_s = self._now_s()

    async def _send(
        self, request: Request, entry: str, action_id: str
    ) -> Attempt:
        kind = request.kind
        timeout_ms = self._plan.resend.timeout_ms
        send = Attempt(action_id, self._now_s())
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
                self._note(send, request, entry, response, body)
        except TimeoutError:
            send.error = "timeout"
        except (aiohttp.ClientError, OSError) as error:
            send.error = type(error).__name__
        send.end_s = self._now_s()
        return send

    def _note(
        self,
        send: Attempt,
        request: Request,
        entry: str,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        headers = response.headers
        send.status = response.status
        send.code = int(headers.get(entry_lib.CODE_HEADER, 0))
        send.run_state = headers.get(entry_lib.RUN_HEADER, "")
        send.action_id = headers.get(entry_lib.ACTION_HEADER, send.action_id)
        next_id = headers.get(entry_lib.NEXT_ACTION_HEADER)
        if next_id:
            self._ids.keep(entry, next_id)
        if response.status == 200:
            send.complete = is_complete_response(request, body)


def is_complete_response(request: Request, body: bytes) -> bool:
    """Returns whether a body is the complete answer to the request.

    The targets echo the id and the path and end each answer with `end`.
    """
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    return (
        isinstance(answer, dict)
        and answer.get("id") == request.id
        and request.kind.path == f"/{answer.get('service')}{answer.get('path')}"
        and answer.get("end") is True
    )


def make_session() -> aiohttp.ClientSession:
    """Returns a client without a limit of connections."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # The library re-sends GET by itself on a broken pooled connection; such
    # a send would be missing in the record.
    session._retry_connection = False
    return session
