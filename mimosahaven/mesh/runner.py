"""Runs requests on the local target."""

import asyncio
import functools
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import admission as admission_lib
from mimosahaven.mesh import announcements
from mimosahaven.mesh import durations
from mimosahaven.mesh import frames
from mimosahaven.mesh import http1
from mimosahaven.mesh import httpclient
from mimosahaven.mesh import inflight as inflight_lib
from mimosahaven.mesh import keptbodies
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import responsestream
from mimosahaven.mesh import sendrecords
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import targetmonitor

Code = codes.Code

# The target itself responds with 504 at the deadline; this allows for that
# response to arrive.
DEADLINE_SLACK_MS = 60.0
# A response that is being streamed at the deadline may still end until then. A
# caller takes a late response, but a target may send without an end.
STREAM_SLACK_MS = 1_000.0
STATUS_MISDIRECTED = 421
# Statuses by which a caller understands that its request has not run.
NOT_RUN_STATUSES = frozenset({408, STATUS_MISDIRECTED, 429, 503})


class Runner:
    """Runs requests on the local target, subject to admission control.

    Args:
      settings: Settings of the daemon.
      admission: Admission control of the target.
      in_flight: Running requests, to which calls of the target are attributed.
      tasks: Runs the probes of an unresponsive target.
      incarnation: Incarnation of the daemon.
      now_ms: Current time.

    Attributes:
      pool: Connections to the target.
      send_records: Records of the at-most-once sends.
      monitor: Finds out whether the target responds, or has crashed.
      announced: Latest announcement of the target; None before its first
        response to this daemon.
      on_leaving: Called with the ID of the target when it announces that it
        leaves.
      sent_count: Number of requests sent to the target.
      refuse_code: Code with which all runs are refused, or None.
      stop_ms: Time at which the daemon stops serving, or None.
    """

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        admission: admission_lib.AdmissionController,
        in_flight: inflight_lib.InFlightRequests,
        tasks: tasks_lib.BackgroundTasks,
        incarnation: str,
        now_ms: float,
    ):
        self._settings = settings
        self._header_names = settings.headers
        self._overwritten_headers = frozenset(
            name.lower().encode()
            for name in (
                settings.headers.deadline_ms,
                settings.headers.target_id,
                settings.headers.caller,
            )
        )
        self._not_run_header = settings.headers.not_run.lower().encode()
        self._signature_header = settings.headers.signature.lower().encode()
        self.admission = admission
        self.pool = httpclient.ClientPool(
            settings.target.host,
            settings.target.port,
            settings.headers.attempt_id,
        )
        self.in_flight = in_flight
        self.monitor = targetmonitor.TargetMonitor(
            self.pool, tasks, self._fail_retryable_runs, now_ms
        )
        self._pending_decisions: dict[
            admission_lib.AdmissionRequest, asyncio.Future
        ] = {}
        self._running: dict[httpclient.ClientConnection, frames.Run] = {}
        self.send_records = sendrecords.SendRecords(incarnation, now_ms)
        self._kept_bodies = keptbodies.KeptBodies()
        self._announcement_reader = announcements.AnnouncementReader(
            settings.headers
        )
        self.announced: announcements.Announcement | None = None
        self.on_leaving: Callable[[str], None] = lambda target_id: None
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self.sent_count = 0
        self.refuse_code: Code | None = Code.STARTING
        self.stop_ms: float | None = None
        self._duration = durations.DurationEstimate()

    async def run(self, send: outcomes.Send) -> outcomes.Outcome:
        """Runs a request; cancelling the call also cancels it at the target."""
        now_ms = clock.monotonic_ms()
        if self.refuse_code is not None:
            return outcomes.Refused(self.refuse_code)
        if self.stop_ms is not None and self.stop_ms < (
            self._duration.latest_end_ms(now_ms, send.deadline_ms)
        ):
            # Another daemon can run it to its end.
            return outcomes.Refused(Code.LEAVING)
        if self.monitor.health.down:
            return outcomes.Refused(Code.TARGET_DOWN)
        if self.monitor.is_quarantined(send.run, now_ms):
            return outcomes.Refused(Code.QUARANTINED)
        if not send.run.once:
            return await self._admit_and_run(send)
        recorded = asyncio.get_running_loop().create_future()
        arrival = self.send_records.add(
            send.run.send_id, send.run.generation, recorded
        )
        if arrival is sendrecords.Arrival.BARRED:
            return outcomes.Refused(Code.BARRED)
        if arrival is not sendrecords.Arrival.NEW:
            return _record_lost(send.run.generation)
        outcome: outcomes.Outcome = outcomes.Failed(Code.TARGET_LOST)
        try:
            outcome = await self._admit_and_run(send)
            if isinstance(outcome, outcomes.Answered):
                outcome.stream.keep(self._kept_bodies.add())
        finally:
            recorded.set_result(outcome)
        return outcome

    async def inquire(self, inquiry: frames.Inquire) -> outcomes.Outcome:
        """Returns the outcome of a send; bars it if it has not arrived."""
        record = self.send_records.inquire(inquiry.send_id, inquiry.generation)
        if record is None:
            return _record_lost(inquiry.generation)
        if record.outcome is None:
            return outcomes.Refused(Code.BARRED)
        outcome = await asyncio.shield(record.outcome)
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        # The stream itself may have been read in part, for the sender.
        stream = await outcome.stream.replay()
        if stream is None:
            return outcomes.Failed(Code.ANSWER_TRUNCATED)
        return outcomes.Answered(stream)

    def tick(self, now_ms: float) -> None:
        """Does the periodic work.

        Expires queued runs, idle connections and old send records, and probes
        the target if it is unresponsive.
        """
        self._apply_decisions(self.admission.tick(now_ms))
        self.pool.expire(now_ms)
        self.monitor.tick(len(self.in_flight), now_ms)
        for record in self.send_records.tick(now_ms):
            _discard_response(record)

    async def _admit_and_run(self, send: outcomes.Send) -> outcomes.Outcome:
        now_ms = clock.monotonic_ms()
        self._adopt_rate_limit(send.run.rate_limit_per_s, now_ms)
        admission_request = admission_lib.AdmissionRequest(
            send.run.priority,
            send.deadline_ms,
            send.root_ms,
            send.run.rerouted,
        )
        decision = asyncio.get_running_loop().create_future()
        self._pending_decisions[admission_request] = decision
        self._apply_decisions(self.admission.offer(admission_request, now_ms))
        queued = not decision.done()
        try:
            code = await decision
        except asyncio.CancelledError:
            if decision.done() and not decision.cancelled():
                if decision.result() is None:
                    # The run was admitted just before the cancellation.
                    self._release_slot(None)
            else:
                self._pending_decisions.pop(admission_request, None)
                self.admission.cancel(admission_request, clock.monotonic_ms())
            raise
        if code is not None:
            return outcomes.Refused(code, queued=queued)
        outcome = await self._run_admitted(send)
        if isinstance(outcome, outcomes.Answered):
            self._duration.record(clock.monotonic_ms() - now_ms)
        return outcome

    def _apply_decisions(
        self, decisions: admission_lib.AdmissionDecisions
    ) -> None:
        for admission_request in decisions.run:
            self._apply_decision(admission_request, None)
        for admission_request, code in decisions.refused:
            self._apply_decision(admission_request, code)
        if self._dispatch_timer is None:
            self._start_dispatch_timer()

    def _start_dispatch_timer(self) -> None:
        """Schedules the dispatch of a run that waits for the rate limit."""
        now_ms = clock.monotonic_ms()
        due_ms = self.admission.next_dispatch_ms(now_ms)
        if due_ms is not None:
            self._dispatch_timer = asyncio.get_running_loop().call_later(
                (due_ms - now_ms) / 1000, self._on_dispatch_due
            )

    def _on_dispatch_due(self) -> None:
        self._dispatch_timer = None
        self._apply_decisions(self.admission.tick(clock.monotonic_ms()))

    def _apply_decision(
        self,
        admission_request: admission_lib.AdmissionRequest,
        code: Code | None,
    ) -> None:
        decision = self._pending_decisions.pop(admission_request)
        if not decision.done():
            decision.set_result(code)
        elif code is None:
            # The call was cancelled before the run was admitted.
            self._release_slot(None)

    def _release_slot(self, service_ms: float | None) -> None:
        self._apply_decisions(
            self.admission.finish(service_ms, clock.monotonic_ms())
        )

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
            attempt_id = run.attempt_id.encode("latin-1")
            acquired = await self.pool.acquire(started_ms, attempt_id)
            if isinstance(acquired, httpclient.ConnectFailure):
                self.monitor.start_probe()
                return outcomes.Refused(Code.TARGET_DOWN)
            connection = acquired
            now_ms = clock.monotonic_ms()
            if send.deadline_ms <= now_ms:
                return outcomes.Refused(Code.DEADLINE_BEFORE_RUN)
            if not self.admission.may_start(now_ms):
                # The target has left while the connection was opened.
                return outcomes.Refused(Code.LEAVING)
            self.in_flight.add(parent)
            self._running[connection] = run
            self.sent_count += 1
            stream = connection.send(
                self._encode_request(send, now_ms),
                attempt_id,
                run.method == "HEAD",
            )
            timeout_ms = send.deadline_ms - now_ms + DEADLINE_SLACK_MS
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    await stream.wait_buffered()
            except TimeoutError:
                service_ms = clock.monotonic_ms() - started_ms
                return outcomes.Failed(Code.TIMEOUT)
            self.monitor.record_response(run, stream, now_ms)
            self._record_announcement(run, stream)
            outcome = self._classify_response(run, stream)
            if isinstance(outcome, outcomes.Answered):
                service_ms = clock.monotonic_ms() - started_ms
                service = self._settings.service
                parent.add_runs({service: 1.0}, {service: round(service_ms)})
                stream.tree, stream.slot_ms = parent.tree, parent.slot_ms
                if not stream.ended:
                    streaming = True
                    # A streamed response occupies its slot until its last byte.
                    stream.on_end.append(
                        functools.partial(
                            self._end_run, connection, parent, None
                        )
                    )
                    stream.limit_duration(
                        send.deadline_ms
                        - clock.monotonic_ms()
                        + STREAM_SLACK_MS
                    )
            return outcome
        finally:
            if not streaming:
                self._end_run(connection, parent, service_ms)

    def _end_run(
        self,
        connection: httpclient.ClientConnection | None,
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
        self._release_slot(service_ms)

    def _fail_retryable_runs(self) -> None:
        """Fails the runs that may be retried, and closes idle connections."""
        self.pool.close_idle()
        for connection, run in list(self._running.items()):
            if not run.once:
                connection.close()

    def _encode_request(self, send: outcomes.Send, now_ms: float) -> bytes:
        run = send.run
        names = self._header_names
        headers = http1.without_headers(run.headers, self._overwritten_headers)
        remaining_ms = max(1, int(send.deadline_ms - now_ms))
        headers += [
            (names.deadline_ms.encode(), b"%d" % remaining_ms),
            (names.target_id.encode(), run.target_id.encode("latin-1")),
            (names.caller.encode(), run.caller.encode("latin-1")),
        ]
        return http1.encode_request(run.method, run.path, headers, run.body)

    def _record_announcement(
        self, run: frames.Run, stream: responsestream.ResponseStream
    ) -> None:
        """Records what the target announces in a response.

        A response without a valid head says nothing, and neither does an
        invalid announcement: the previous one stays in force.
        """
        if not stream.status:
            return
        try:
            self.announced = self._announcement_reader.read(stream.headers)
        except announcements.InvalidAnnouncementError:
            return
        self.admission.set_rate_limit(
            self.announced.rate_limit_per_s, clock.monotonic_ms()
        )
        if self.announced.leaving:
            self.on_leaving(run.target_id)

    def _adopt_rate_limit(
        self, rate_limit_per_s: float | None, now_ms: float
    ) -> None:
        """Adopts the rate limit that a sender knows.

        Only until the first response: a daemon that has just started does not
        know what its target has announced to the previous process.
        """
        if self.announced is not None or rate_limit_per_s is None:
            return
        known_per_s = self.admission.rate_limit_per_s
        if known_per_s is None or rate_limit_per_s < known_per_s:
            self.admission.set_rate_limit(rate_limit_per_s, now_ms)

    def _classify_response(
        self, run: frames.Run, stream: responsestream.ResponseStream
    ) -> outcomes.Outcome:
        if stream.failure is not None:
            return outcomes.Failed(stream.failure)
        if stream.status == STATUS_MISDIRECTED:
            return outcomes.Refused(Code.WRONG_INCARNATION, arrived=True)
        if http1.find_header(stream.headers, self._not_run_header) is not None:
            return outcomes.Refused(Code.TARGET_REFUSED, arrived=True)
        if run.once and stream.status in NOT_RUN_STATUSES:
            # Without the header, the request may have run.
            return outcomes.Failed(Code.TARGET_ERROR)
        is_signed = (
            http1.find_header(stream.headers, self._signature_header)
            is not None
        )
        # Every success of a target carries a signature. One without it is
        # treated as truncated and is not forwarded.
        if stream.status < 300 and not is_signed:
            return outcomes.Failed(Code.ANSWER_TRUNCATED)
        return outcomes.Answered(stream)


def _record_lost(
    generation: frames.RecordGeneration | None,
) -> outcomes.Failed:
    """Returns the outcome of a send about which nothing is known any more.

    A sender of the version without generations does not know RECORD_LOST.
    """
    if generation is None:
        return outcomes.Failed(Code.TARGET_LOST)
    return outcomes.Failed(Code.RECORD_LOST)


def _discard_response(record: sendrecords.SendRecord) -> None:
    """Frees the response of a send about which nothing can be told any more."""
    recorded = record.outcome
    if recorded is None or not recorded.done():
        return
    outcome = recorded.result()
    if isinstance(outcome, outcomes.Answered):
        outcome.stream.kept.discard()
