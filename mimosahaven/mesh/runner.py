"""Runs requests on the local target."""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import admission as admission_lib
from mimosahaven.mesh import crashtracker as crashtracker_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import http1
from mimosahaven.mesh import inflight as inflight_lib
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import responsestream
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import targethealth
from mimosahaven.mesh import targetpool

Code = codes.Code

# A target answers 504 by itself at the deadline; its answer is on the way.
DEADLINE_SLACK_MS = 60.0
# Sends that may run once are remembered this long. No request lasts longer.
ONCE_MEMORY_MS = 60_000.0
STATUS_MISDIRECTED = 421
# Interval of the connections that test whether the target is back.
PROBE_PAUSE_S = 0.2


@dataclasses.dataclass(slots=True)
class _OnceSend:
    """A send that may run at most once, or the bar against it."""

    at_ms: float
    outcome: asyncio.Future | None


class Runner:
    """Runs requests on the local target, through admission control.

    Args:
      settings: Settings of the daemon.
      admission: Queue in front of the target.
      in_flight: Where the calls of the target find their parents.
      tasks: Keeps the probes of a target that does not answer.
      now_ms: Present time.
    """

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        admission: admission_lib.AdmissionController,
        in_flight: inflight_lib.InFlightRequests,
        tasks: tasks_lib.BackgroundTasks,
        now_ms: float,
    ):
        self._settings = settings
        self._headers = settings.headers
        self._set_by_mesh = frozenset(
            name.lower().encode()
            for name in (
                settings.headers.deadline_ms,
                settings.headers.target_id,
                settings.headers.caller,
            )
        )
        self._not_run = settings.headers.not_run.lower().encode()
        self._signature = settings.headers.signature.lower().encode()
        self.admission = admission
        self.pool = targetpool.TargetPool(
            settings.target.host,
            settings.target.port,
            settings.headers.attempt_id,
        )
        self.in_flight = in_flight
        self.crashes = crashtracker_lib.CrashTracker()
        self.notify_service: Callable[[frames.Frame], None] = lambda frame: None
        # Runs that a reset has ended, until it is known whether the target
        # has crashed, with their start.
        self._broken: dict[str, float] = {}
        self._waiting: dict[admission_lib.AdmissionRequest, asyncio.Future] = {}
        self._running: dict[targetpool.TargetConnection, frames.Run] = {}
        self._once_sends: collections.OrderedDict[str, _OnceSend] = (
            collections.OrderedDict()
        )
        self._tasks = tasks
        self.health = targethealth.TargetHealth(now_ms)
        self.refuse_code: Code | None = Code.STARTING

    async def run(self, send: outcomes.Send) -> outcomes.Outcome:
        """Runs a request; cancelling the call drops it at the target."""
        now_ms = clock.monotonic_ms()
        if self.refuse_code is not None:
            return outcomes.Refused(self.refuse_code)
        if self.health.down:
            return outcomes.Refused(Code.TARGET_DOWN)
        if self._is_held(send.run, now_ms):
            return outcomes.Refused(Code.QUARANTINED)
        if not send.run.once:
            return await self._admit_and_run(send)
        send_id = send.run.send_id
        if send_id in self._once_sends:
            return outcomes.Refused(Code.BARRED)
        entry = _OnceSend(now_ms, asyncio.get_running_loop().create_future())
        self._once_sends[send_id] = entry
        outcome: outcomes.Outcome = outcomes.Failed(Code.TARGET_LOST)
        try:
            outcome = await self._admit_and_run(send)
        finally:
            entry.outcome.set_result(outcome)
        return outcome

    async def inquire(self, send_id: str) -> outcomes.Outcome:
        """Returns what became of a send; one that never arrived is barred."""
        entry = self._once_sends.get(send_id)
        if entry is None:
            self._once_sends[send_id] = _OnceSend(clock.monotonic_ms(), None)
            return outcomes.Refused(Code.BARRED)
        if entry.outcome is None:
            return outcomes.Refused(Code.BARRED)
        return await asyncio.shield(entry.outcome)

    def tick(self, now_ms: float) -> None:
        """Expires what is old; to be called often."""
        self._apply(self.admission.tick(now_ms))
        self.pool.expire(now_ms)
        if self.health.needs_probe(len(self.in_flight), now_ms):
            self._begin_probe()
        entries = self._once_sends
        while entries:
            send_id, entry = next(iter(entries.items()))
            if now_ms - entry.at_ms < ONCE_MEMORY_MS:
                break
            del entries[send_id]

    async def _admit_and_run(self, send: outcomes.Send) -> outcomes.Outcome:
        now_ms = clock.monotonic_ms()
        ticket = admission_lib.AdmissionRequest(
            send.run.priority, send.deadline_ms, send.root_ms
        )
        decided = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = decided
        self._apply(self.admission.offer(ticket, now_ms))
        try:
            code = await decided
        except asyncio.CancelledError:
            if decided.done() and not decided.cancelled():
                if decided.result() is None:
                    self._finish(None)
            else:
                self._waiting.pop(ticket, None)
                self.admission.cancel(ticket, clock.monotonic_ms())
            raise
        if code is not None:
            return outcomes.Refused(code)
        return await self._run_admitted(send)

    def _apply(self, verdicts: admission_lib.AdmissionDecisions) -> None:
        for ticket in verdicts.run:
            self._decide(ticket, None)
        for ticket, code in verdicts.refused:
            self._decide(ticket, code)

    def _decide(
        self, ticket: admission_lib.AdmissionRequest, code: Code | None
    ) -> None:
        decided = self._waiting.pop(ticket)
        if not decided.done():
            decided.set_result(code)
        elif code is None:
            self._finish(None)

    def _finish(self, service_ms: float | None) -> None:
        self._apply(self.admission.finish(service_ms, clock.monotonic_ms()))

    async def _run_admitted(self, send: outcomes.Send) -> outcomes.Outcome:
        started_ms = clock.monotonic_ms()
        service_ms: float | None = None
        run = send.run
        parent = inflight_lib.ParentRequest(
            run.attempt_id,
            run.priority,
            send.root_ms,
            send.deadline_ms,
            run.repeat,
        )
        streaming = False
        connection = None
        try:
            acquired = await self.pool.acquire(started_ms)
            if isinstance(acquired, targetpool.ConnectFailure):
                self._begin_probe()
                return outcomes.Refused(Code.TARGET_DOWN)
            connection = acquired
            now_ms = clock.monotonic_ms()
            if send.deadline_ms <= now_ms:
                return outcomes.Refused(Code.DEADLINE_BEFORE_RUN)
            self.in_flight.add(parent)
            self._running[connection] = run
            stream = connection.send(
                self._request(send, now_ms),
                run.attempt_id.encode("latin-1"),
                run.method == "HEAD",
            )
            limit_ms = send.deadline_ms - now_ms + DEADLINE_SLACK_MS
            try:
                async with asyncio.timeout(limit_ms / 1000):
                    await stream.wait_buffered()
            except TimeoutError:
                service_ms = clock.monotonic_ms() - started_ms
                return outcomes.Failed(Code.TIMEOUT)
            self.health.record_response(clock.monotonic_ms())
            outcome = self._judge(stream)
            self._learn_crash(run, stream, now_ms)
            if isinstance(outcome, outcomes.Answered):
                service_ms = clock.monotonic_ms() - started_ms
                stream.tree = {self._settings.service: 1.0}
                for service, runs in parent.tree.items():
                    stream.tree[service] = stream.tree.get(service, 0) + runs
                if not stream.ended:
                    streaming = True
                    # A long answer keeps its slot until its last byte.
                    stream.on_end = functools.partial(
                        self._end, connection, parent, None
                    )
            return outcome
        finally:
            if not streaming:
                self._end(connection, parent, service_ms)

    def _end(
        self,
        connection: targetpool.TargetConnection | None,
        parent: inflight_lib.ParentRequest,
        service_ms: float | None,
    ) -> None:
        self.in_flight.remove(parent)
        if connection is not None:
            self._running.pop(connection, None)
            if connection.busy:
                connection.close()
            else:
                self.pool.release(connection)
        self._finish(service_ms)

    def on_crash(self, crash: frames.Crash) -> None:
        """Takes in what ran at a target of the same service that crashed."""
        now_ms = clock.monotonic_ms()
        for fingerprint, ran_ms in crash.ran_ms.items():
            self.crashes.record_crash(fingerprint, ran_ms, now_ms)

    def _is_held(self, run: frames.Run, now_ms: float) -> bool:
        return bool(self.crashes) and self.crashes.is_quarantined(
            _fingerprint(run), now_ms
        )

    def _learn_crash(
        self,
        run: frames.Run,
        stream: responsestream.ResponseStream,
        started_ms: float,
    ) -> None:
        """Takes in whether a run was reset, or has succeeded."""
        if stream.failure is Code.TARGET_LOST:
            # A reset may be a lost answer; only a target that accepts no
            # connection has crashed.
            self._broken[_fingerprint(run)] = started_ms
            self._begin_probe()
        elif stream.failure is None and stream.status < 300 and self.crashes:
            fingerprint = _fingerprint(run)
            if self.crashes.clear(fingerprint):
                self.notify_service(frames.Clear(fingerprint))

    def _note_crash(self) -> None:
        """Tells the daemons of the service what ran at the crash."""
        if not self._broken:
            return
        now_ms = clock.monotonic_ms()
        crash = frames.Crash(
            {
                fingerprint: now_ms - started_ms
                for fingerprint, started_ms in self._broken.items()
            }
        )
        self._broken.clear()
        self.on_crash(crash)
        self.notify_service(crash)

    def _begin_probe(self) -> None:
        if not self.health.probing:
            self.health.probing = True
            self._tasks.spawn(self._probe())

    async def _probe(self) -> None:
        """Opens connections until one succeeds; meanwhile nothing is sent.

        A target that refuses connections may be leaving, or be full, and still
        be at work on what it has. Its process is gone only when it breaks off
        the connections that are open. One that is silent does not, so that its
        runs are ended here.
        """
        try:
            while True:
                opened = await self.pool.open()
                if isinstance(opened, targetpool.TargetConnection):
                    break
                self.health.down = True
                self._note_crash()
                silent = opened is targetpool.ConnectFailure.TIMED_OUT
                if silent and self.health.is_unresponsive(clock.monotonic_ms()):
                    self._fail_repeatable()
                await asyncio.sleep(PROBE_PAUSE_S)
            self._broken.clear()
            self.pool.release(opened)
        finally:
            self.health.record_recovery(clock.monotonic_ms())

    def _fail_repeatable(self) -> None:
        """Ends the runs that may be sent to another target."""
        self.pool.close_idle()
        for connection, run in list(self._running.items()):
            if not run.once:
                connection.close()

    def _request(self, send: outcomes.Send, now_ms: float) -> bytes:
        run = send.run
        names = self._headers
        headers = http1.without_headers(run.headers, self._set_by_mesh)
        left_ms = max(1, int(send.deadline_ms - now_ms))
        headers += [
            (names.deadline_ms.encode(), b"%d" % left_ms),
            (names.target_id.encode(), run.target_id.encode("latin-1")),
            (names.caller.encode(), run.caller.encode("latin-1")),
        ]
        return http1.encode_request(run.method, run.path, headers, run.body)

    def _judge(self, stream: responsestream.ResponseStream) -> outcomes.Outcome:
        if stream.failure is not None:
            return outcomes.Failed(stream.failure)
        if stream.status == STATUS_MISDIRECTED:
            return outcomes.Refused(Code.WRONG_INCARNATION, arrived=True)
        if http1.find_header(stream.headers, self._not_run) is not None:
            return outcomes.Refused(Code.TARGET_REFUSED, arrived=True)
        signed = http1.find_header(stream.headers, self._signature) is not None
        if stream.status < 300 and not signed:
            return outcomes.Failed(Code.ANSWER_TRUNCATED)
        return outcomes.Answered(stream)


def _fingerprint(run: frames.Run) -> str:
    """Returns what a request and its later copies have in common."""
    return identity.fingerprint(
        run.caller, "", run.method, run.path.decode("latin-1"), run.body
    )
