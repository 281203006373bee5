"""Targets and callers of a soak, which record their observations."""

import asyncio
import dataclasses
import random
import time
import weakref

from tests.mesh import rawtarget
from tests.soak import observations as observations_lib

CALLERS_PORT, PEERS_PORT, READY_PORT = 7621, 7622, 7623
TARGET_PORT, STORE_PORT = 7624, 7625
SERVICES = ("katalog", "ordre", "presse")
TARGETS_MAX = 2
SLOTS = 20
DEADLINE_MS = 2_000
# Callers pipeline two requests instead of one this often, if they may.
PIPELINE_ONE_IN = 5
PROBE_KIND = "probe"
HOST_HEADER = "soak.example"
NOT_RUN_HEADER = "Mimosahaven-Not-Run: 1\r\n"
# Responses of targets carry their id, for the observations.
TARGET_HEADER = "soak-target"
RATE_LIMIT_HEADER = "mimosahaven-rate-limit"
LEAVING_HEADER = "mimosahaven-leaving"


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      calls: Kinds of the nested calls that the target makes, in order.
      rank: Importance; 0 is the highest.
      share: Share of this kind in the requests of the callers.
    """

    prefix: str
    service: str
    at_most_once: bool = False
    method: str = "GET"
    body_bytes: int = 0
    response_bytes: int = 100
    work_ms: float = 15.0
    calls: tuple[str, ...] = ()
    rank: int = 1
    share: float = 0.0

    def body(self, attempt_id: str) -> bytes:
        """Returns the request body of an attempt."""
        return (attempt_id.encode() * self.body_bytes)[: self.body_bytes]


KINDS = {
    "read": Kind("/read/", "katalog", calls=("jobs",), rank=2, share=0.5),
    "order": Kind(
        "/order/",
        "ordre",
        at_most_once=True,
        method="POST",
        body_bytes=3_000,
        calls=("jobs", "jobs"),
        rank=0,
        share=0.35,
    ),
    "upload": Kind("/upload/", "katalog", response_bytes=200_000, share=0.15),
    "jobs": Kind("/jobs/", "presse", work_ms=8.0),
    PROBE_KIND: Kind("/probe-", ""),
}


def service_of(vm: int) -> str:
    """Returns the service of the target on a VM."""
    return SERVICES[vm % len(SERVICES)]


def response_body(attempt_id: str, size: int) -> bytes:
    """Returns the response body of an attempt."""
    return ((attempt_id + " ").encode() * size)[:size]


class Target:
    """One incarnation of the target on a VM.

    Attributes:
      target_id: Id of this incarnation.
      drop_share: Share of responses that are dropped after the run.
      truncate_share: Share of responses that are truncated.
      duplicate_share: Share of responses that are sent twice.
      refuse_share: Share of requests that are refused.
      copy_share: Share of runs during which the last refusal on the same
        connection is sent once more.
      slow_factor: Factor by which runs take longer than usual.
      rate_limit: Rate limit that it announces, or None.
      leaving: Whether it announces that it leaves.
      started_unix_ms: When it started.
      write_count: How often it has written its entry.
      state: State in its entry.
    """

    def __init__(
        self,
        vm: int,
        host: str,
        number: int,
        observations: observations_lib.Observations,
        rng,
    ):
        self.vm, self.host = vm, host
        self.target_id = f"i-{vm}-{number}"
        self.service = service_of(vm)
        self.started_unix_ms = int(time.time() * 1000)
        self.write_count = 0
        self.state = ""
        self.drop_share = self.truncate_share = self.duplicate_share = 0.0
        self.refuse_share = self.copy_share = 0.0
        self.slow_factor = 1.0
        self.rate_limit: observations_lib.RateLimit | None = None
        self.leaving = False
        self._observations = observations
        self._rng = rng
        self._running = 0
        self._call_count = 0
        self._server = rawtarget.RawTarget(self._serve)
        self._writers: set[asyncio.StreamWriter] = set()
        self._refused_ids: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, str
        ] = weakref.WeakKeyDictionary()

    async def start(self) -> None:
        """Starts listening."""
        await self._server.start(self.host, TARGET_PORT)

    def crash(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def announce_rate_limit(self, limit_per_s: float | None) -> None:
        """Announces another rate limit, or none, from now on."""
        if self.rate_limit is not None:
            self.rate_limit.end_s = time.monotonic()
            self.rate_limit = None
        if limit_per_s is not None:
            self.rate_limit = observations_lib.RateLimit(
                self.target_id, limit_per_s, time.monotonic()
            )
            self._observations.rate_limits.append(self.rate_limit)

    async def _serve(self, head, body, writer, number) -> None:
        self._writers.add(writer)
        attempt_id = head["mimosahaven-attempt"]
        self._observations.arrivals.append(
            observations_lib.Arrival(
                attempt_id, self.target_id, time.monotonic()
            )
        )
        intended_id = head.get("mimosahaven-target", self.target_id)
        if intended_id != self.target_id:
            await self._respond(writer, attempt_id, 421, b"", NOT_RUN_HEADER)
            return
        if self._running >= SLOTS or self._rng.random() < self.refuse_share:
            self._refused_ids[writer] = attempt_id
            await self._respond(writer, attempt_id, 503, b"", NOT_RUN_HEADER)
            return
        self._running += 1
        try:
            await self._run(head, body, writer, attempt_id)
        finally:
            self._running -= 1

    async def _run(self, head, body, writer, attempt_id: str) -> None:
        path = head["path"]
        self._observations.runs.append(
            observations_lib.Run(
                attempt_id,
                self.target_id,
                self.service,
                head["line"].split(" ")[0],
                path,
                body,
                head.get("mimosahaven-caller", ""),
                time.monotonic(),
            )
        )
        refused_id = self._refused_ids.get(writer)
        if refused_id and self._rng.random() < self.copy_share:
            await self._respond(writer, refused_id, 503, b"", NOT_RUN_HEADER)
        kind = next(k for k in KINDS.values() if path.startswith(k.prefix))
        work_factor = self._rng.uniform(0.5, 2.0) * self.slow_factor
        await asyncio.sleep(kind.work_ms * work_factor / 1000)
        for name in kind.calls:
            if not await self._call(attempt_id, KINDS[name], head):
                await self._respond(writer, attempt_id, 500, b"")
                return
        draw = self._rng.random()
        if draw < self.drop_share:
            writer.transport.abort()
            return
        complete_body = response_body(attempt_id, kind.response_bytes)
        if draw < self.drop_share + self.truncate_share:
            await self._respond(
                writer, attempt_id, 200, complete_body, truncated=True
            )
            writer.transport.abort()
            return
        await self._respond(writer, attempt_id, 200, complete_body)
        if self._rng.random() < self.duplicate_share:
            await self._respond(writer, attempt_id, 200, complete_body)

    async def _call(self, attempt_id: str, kind: Kind, head) -> bool:
        self._call_count += 1
        call_id = f"{attempt_id}.{self.target_id}-{self._call_count}"
        self._observations.nested_call_ids.add(call_id)
        remaining_ms = float(head["mimosahaven-deadline-ms"])
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    self.host, CALLERS_PORT
                )
                try:
                    writer.write(encode_request(kind, call_id, remaining_ms))
                    response_head, _ = await read_response(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        record_announcement(self._observations, self.vm, response_head)
        return response_head["status"] == 200

    async def _respond(
        self, writer, attempt_id, status, body, extra="", truncated=False
    ) -> None:
        if self.rate_limit is not None:
            limit_per_s = self.rate_limit.limit_per_s
            extra += f"{RATE_LIMIT_HEADER}: {limit_per_s:.1f}\r\n"
        if self.leaving:
            extra += f"{LEAVING_HEADER}: 1\r\n"
        head = (
            f"HTTP/1.1 {status} X\r\nMimosahaven-Attempt: {attempt_id}\r\n"
            f"Mimosahaven-Signature: s\r\nContent-Length: {len(body)}\r\n"
            f"{TARGET_HEADER}: {self.target_id}\r\n{extra}\r\n"
        )
        writer.write(
            head.encode() + (body[: len(body) // 2] if truncated else body)
        )
        await writer.drain()


def encode_request(
    kind: Kind, attempt_id: str, deadline_ms: float, path=""
) -> bytes:
    """Returns the encoded request of an attempt.

    Its caller header is forged; the daemon must replace the value.
    """
    body = kind.body(attempt_id)
    head = (
        f"{kind.method} {path or kind.prefix + 'x'} HTTP/1.1\r\n"
        f"Host: {HOST_HEADER}\r\nMimosahaven-Attempt: {attempt_id}\r\n"
        f"Mimosahaven-Deadline-Ms: {deadline_ms:.0f}\r\n"
        f"Mimosahaven-Caller: forged\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def record_announcement(
    observations: observations_lib.Observations, vm: int, head: dict
) -> None:
    """Records that a daemon has passed on an announcement of a target."""
    limited, leaving = RATE_LIMIT_HEADER in head, LEAVING_HEADER in head
    if limited or leaving:
        observations.announcements.append(
            observations_lib.Announcement(
                vm, head[TARGET_HEADER], time.monotonic(), limited, leaving
            )
        )


def origin_vm(attempt_id: str, attempt_vms: dict[str, int]) -> int | None:
    """Returns the VM at whose daemon a request or nested call began."""
    parent_id, separator, call_id = attempt_id.rpartition(".i-")
    if separator and parent_id:
        return int(call_id.split("-")[0])
    return attempt_vms.get(attempt_id)


async def read_response(reader: asyncio.StreamReader) -> tuple[dict, bytes]:
    """Reads a response and returns its head, with the status, and its body.

    Raises:
      asyncio.IncompleteReadError: The connection was closed before the end.
      OSError: The connection was reset.
    """
    head = await rawtarget.read_head(reader)
    head["status"] = int(head["line"].split(" ")[1])
    if head.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(head.get("content-length", 0)))
    if head.get("connection", "").lower() == "close":
        # Makes a Caller close its side without waiting for the daemon.
        reader.feed_eof()
    return head, body


class Caller:
    """One caller on a VM that sends requests in sequence on one connection.

    It uses an open connection until the daemon closes it. It opens no new one
    after two failed readiness checks, until the daemon is ready again.
    """

    def __init__(self, name: str, vm: int, host: str, harness, rng):
        self._name, self._vm, self._host = name, vm, host
        self._harness = harness
        self._rng: random.Random = rng
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._connection_reused = False

    async def run(self) -> None:
        """Sends requests until the end of the soak."""
        names = [name for name, kind in KINDS.items() if kind.share]
        shares = [KINDS[name].share for name in names]
        count = 0
        while not self._harness.stopping:
            await asyncio.sleep(self._rng.expovariate(1 / 0.12))
            if self._writer is None and not self._harness.accepts_callers(
                self._vm
            ):
                continue
            count += 1
            [name] = self._rng.choices(names, shares)
            attempt_ids = [f"{self._name}-{count}"]
            if not KINDS[name].at_most_once and not count % PIPELINE_ONE_IN:
                attempt_ids.append(f"{self._name}-{count}b")
            await self.send_attempts(name, attempt_ids)
        self._close()

    async def run_probes(self) -> None:
        """Repeatedly requests the newest route."""
        count = 0
        while not self._harness.stopping:
            await asyncio.sleep(0.25)
            self._close()
            count += 1
            version = self._harness.observations.tables[-1][1]
            await self.send_attempts(
                PROBE_KIND,
                [f"{self._name}-{version}-{count}"],
                f"/probe-{version}/x",
            )

    async def send_attempts(
        self, name: str, attempt_ids: list[str], path: str = ""
    ) -> None:
        """Sends attempts, pipelined if several, and records their outcomes."""
        kind = KINDS[name]
        if not await self._connect():
            return
        incarnation = self._harness.incarnations[self._vm]
        abandons = name == "read" and self._rng.random() < 0.03
        timeout_s = 0.01 if abandons else DEADLINE_MS / 1000 + 0.5
        pending: list[observations_lib.CallerAttempt] = []
        for attempt_id in attempt_ids:
            observed = observations_lib.CallerAttempt(
                attempt_id,
                name,
                self._vm,
                time.monotonic(),
                incarnation,
                self._connection_reused,
                pipelined=bool(pending),
            )
            self._harness.observations.attempts.append(observed)
            pending.append(observed)
            self._writer.write(
                encode_request(kind, attempt_id, DEADLINE_MS, path)
            )
        for observed in pending:
            if self._reader is not None:
                await self._receive(observed, timeout_s)
            else:
                observed.abandoned = pending[0].abandoned
            observed.ended_s = time.monotonic()
        if self._reader is not None and self._reader.at_eof():
            self._close()

    async def _receive(
        self, observed: observations_lib.CallerAttempt, timeout_s: float
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                head, body = await read_response(self._reader)
            observed.status = head["status"]
            record_announcement(self._harness.observations, self._vm, head)
            observed.complete = body == response_body(
                observed.attempt_id, KINDS[observed.kind].response_bytes
            )
            self._connection_reused = True
        except TimeoutError:
            observed.abandoned = True
            self._close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._close()

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        self._connection_reused = False
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    self._host, CALLERS_PORT
                )
        except (OSError, TimeoutError):
            return False
        return True

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
