"""Serves a request at the daemon where it began."""

import asyncio
import random

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import shedding
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import calltreecosts
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import frames
from mimosahaven.mesh import http1
from mimosahaven.mesh import loadbalancer as loadbalancer_lib
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import records
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import requestcontext as context_lib
from mimosahaven.mesh import retrybudget
from mimosahaven.mesh import runner as runner_lib
from mimosahaven.mesh import sendhistory
from mimosahaven.mesh import settings as settings_lib

Code = codes.Code
Response = callerserver.Response

# Threshold of a service without any target that can be reached.
REFUSE_ALL_THRESHOLD = (context_lib.TOP_WEIGHT + 1) * identity.WEIGHT_STEP
# A restart of a daemon takes up to a second; a service is lost after this.
SERVICE_LOST_MS = 1_500.0
# The outcome of a run comes from the target's daemon shortly after the
# deadline; past this time the caller is answered without it.
OUTCOME_GRACE_MS = 200.0
# A longer path is cut in the log.
LOGGED_PATH_BYTES = 100
# Pause before a target that has refused a run is sent it again.
AGAIN_S = 0.01
# A repeat with less time than this left is not worth its cost.
REPEAT_LEFT_MIN_MS = 30.0
# Bounds of the time after which a refused caller may come again.
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_SPREAD_S = 0.7
# Refusals of a daemon that say nothing of the load.
_ELSEWHERE = frozenset(
    {
        Code.LEAVING,
        Code.STARTING,
        Code.TARGET_DOWN,
        Code.STALE_AFTER_PAUSE,
        Code.WRONG_INCARNATION,
        Code.BARRED,
        Code.LINK_LOST,
    }
)
# Refusals of a daemon that hold at all others too.
_FINAL = frozenset({Code.DEADLINE_BEFORE_RUN, Code.DISPLACED, Code.QUARANTINED})
# Time for which a target that refused for one of these is not chosen.
AVOID_MS = 300.0


class OutboundProxy:
    """Serves the requests that begin on this VM."""

    def __init__(
        self,
        settings: settings_lib.MeshSettings,
        replica: replica_lib.Replica,
        balancer: loadbalancer_lib.LoadBalancer,
        thresholds: shedding.ThresholdMap,
        runner: runner_lib.Runner,
        peers: peerpool.PeerPool,
        budget: retrybudget.RetryBudget,
        log: eventlog.EventLog,
        rng: random.Random,
    ):
        self._settings = settings
        self._replica = replica
        self._balancer = balancer
        self._thresholds = thresholds
        self._runner = runner
        self._peers = peers
        self._budget = budget
        self._log = log
        self._rng = rng
        self._contexts = context_lib.ContextReader(
            settings.headers, runner.in_flight
        )
        self._costs = calltreecosts.CallTreeCosts()
        self._send_count = 0
        self._lost_since_ms: dict[str, float] = {}
        self.refuse_code: Code | None = Code.STARTING
        # New requests are refused; calls of those in flight are not.
        self.leaving = False
        self.in_flight_count = 0

    async def handle(self, request: callerserver.Request) -> Response:
        """Returns the reply to a request of a caller."""
        self.in_flight_count += 1
        try:
            return await self._handle(request)
        finally:
            self.in_flight_count -= 1

    def refuse(self, code: Code) -> Response:
        """Returns a reply of the mesh itself."""
        info = codes.describe(code)
        status = info.http_status
        if info.run_state is codes.RunState.NOT_RUN and status == 504:
            # Only these statuses tell the caller that it has not run.
            status = 503
        headers = [(b"Mimosahaven-Code", b"%d" % code)]
        if status == 503:
            # Callers that were refused together come back one by one.
            spread_s = RETRY_AFTER_SPREAD_S * self._rng.random()
            retry_after_s = RETRY_AFTER_MIN_S + spread_s
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        return Response(status, headers)

    async def _handle(self, request: callerserver.Request) -> Response:
        if self.refuse_code is not None:
            return self.refuse(self.refuse_code)
        index = self._replica.index
        if index is None:
            return self.refuse(Code.STARTING)
        context = self._contexts.read(request, index)
        if isinstance(context, Code):
            self._log_refused(request, context)
            return self.refuse(context)
        if context.parent is None and self.leaving:
            self._log_refused(request, Code.LEAVING)
            return self.refuse(Code.LEAVING)
        self._budget.record_first_attempt(context.service, request.read_ms)
        if context.parent is None and self._sheds(context):
            self._log_shed(context)
            return self.refuse(Code.SHED_AT_ENTRY)
        limit_ms = context.deadline_ms - clock.monotonic_ms() + OUTCOME_GRACE_MS
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1000):
                return await self._send_until_settled(context)
        except TimeoutError:
            self._log.request(
                context.attempt_id, "no word", Code.TIMEOUT, context.service
            )
            return self.refuse(Code.TIMEOUT)

    def _sheds(self, context: context_lib.RequestContext) -> bool:
        now_ms = context.request.read_ms
        return self._thresholds.should_shed(
            context.service, context.route.name, context.priority, False, now_ms
        )

    def _log_refused(self, request: callerserver.Request, code: Code) -> None:
        host = http1.find_header(request.headers, b"host") or b""
        self._log.request(
            self._contexts.attempt_id(request),
            "refused",
            code,
            f"{(host + request.path)[:LOGGED_PATH_BYTES].decode('latin-1')}, "
            f"table {self._replica.table_version}",
        )

    def _log_shed(self, context: context_lib.RequestContext) -> None:
        service, threshold, age_ms = self._thresholds.shedding_service(
            context.service,
            context.route.name,
            context.priority,
            context.request.read_ms,
        )
        self._log.request(
            context.attempt_id,
            "shed",
            Code.SHED_AT_ENTRY,
            f"{context.route.name}, priority {context.priority} "
            f"below {threshold} of {service}, age {age_ms:.0f} ms",
        )

    async def _send_until_settled(
        self, context: context_lib.RequestContext
    ) -> Response:
        trail = sendhistory.SendHistory(context.route.targets_max)
        code = Code.NO_TARGET
        unknown = False
        while not trail.is_exhausted:
            now_ms = clock.monotonic_ms()
            left_ms = context.deadline_ms - now_ms
            if trail.send_count and left_ms < REPEAT_LEFT_MIN_MS:
                break
            serving = self._replica.directory.serving(context.service)
            target = self._balancer.choose(
                trail.candidates(serving), trail.excluded, now_ms
            )
            if target is None:
                if not trail.send_count:
                    self._note_lost(context.service, bool(serving), now_ms)
                break
            self._lost_since_ms.pop(context.service, None)
            if trail.arrived and not self._may_repeat(context, now_ms):
                break
            if trail.has_refused(target.target_id):
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) * AGAIN_S)
            outcome = await self._send(context, target, bool(trail.arrived))
            if isinstance(outcome, outcomes.Answered):
                return self._answered(context, target, outcome)
            trail.record(target.target_id, outcome)
            code = outcome.code
            if isinstance(outcome, outcomes.Failed):
                unknown = True
                if context.route.at_most_once or code is Code.TIMEOUT:
                    break
            elif outcome.arrived:
                self._budget.record_refusal(
                    context.service, clock.monotonic_ms()
                )
            elif code in _FINAL:
                break
        return self._gave_up(context, code, unknown, trail.send_count)

    def _note_lost(self, service: str, listed: bool, now_ms: float) -> None:
        """Notes that no target of a service can be reached.

        When this lasts, the origins of requests that need the service refuse
        them: the work that other services do for them is wasted.

        Args:
          service: The service.
          listed: Whether the list has serving targets of it.
          now_ms: Present time.
        """
        since_ms = self._lost_since_ms.setdefault(service, now_ms)
        if not listed or now_ms - since_ms > SERVICE_LOST_MS:
            self._thresholds.update(service, REFUSE_ALL_THRESHOLD, 0.0, now_ms)

    def _may_repeat(
        self, context: context_lib.RequestContext, now_ms: float
    ) -> bool:
        runs = self._costs.expected_runs(context.route.name, context.service)
        weight = context.priority // identity.WEIGHT_STEP
        top_weight = context_lib.TOP_WEIGHT - self._replica.index.top_rank
        claim = retrybudget.RetryCandidate(
            runs,
            important=weight >= top_weight,
            is_single_run=context.parent is None and len(runs) == 1,
        )
        return self._budget.try_acquire(claim, now_ms)

    async def _send(
        self,
        context: context_lib.RequestContext,
        target: records.Target,
        is_repeat: bool,
    ) -> outcomes.Outcome:
        self._send_count += 1
        parent = context.parent
        run = frames.Run(
            self._settings.target.host,
            f"{context.attempt_id}#{self._settings.vm}#{self._send_count}",
            context.attempt_id,
            target.target_id,
            context.route.at_most_once,
            context.priority,
            0.0,
            0.0,
            is_repeat or (parent is not None and parent.is_retry),
            self._settings.service,
            context.request.method,
            context.request.path,
            http1.end_to_end_headers(context.request.headers),
            context.request.body,
            self._replica.table_version,
            self._replica.directory.revision,
        )
        send = outcomes.Send(run, context.deadline_ms, context.root_ms)
        state = self._balancer.state(target)
        state.outstanding += 1
        try:
            if target.host == self._settings.target.host:
                outcome = await self._runner.run(send)
            else:
                outcome = await self._peers.run(target.host, send)
        finally:
            state.outstanding -= 1
        self._learn(context, target, outcome)
        return outcome

    def _learn(
        self,
        context: context_lib.RequestContext,
        target: records.Target,
        outcome: outcomes.Outcome,
    ) -> None:
        now_ms = clock.monotonic_ms()
        balancer = self._balancer
        match outcome:
            case outcomes.Answered():
                balancer.record_result(target.host, False, now_ms)
            case outcomes.Refused():
                if outcome.code is Code.LINK_LOST:
                    balancer.set_unreachable(target.host, now_ms)
                elif outcome.arrived:
                    balancer.record_result(target.host, True, now_ms)
                elif outcome.code in _ELSEWHERE:
                    state = balancer.state(target)
                    state.avoid_until_ms = now_ms + AVOID_MS
            case outcomes.Failed():
                if outcome.code is Code.LINK_LOST:
                    balancer.set_unreachable(target.host, now_ms)
                    self._peers.close_idle(target.host)
                else:
                    balancer.record_result(target.host, True, now_ms)
        if not isinstance(outcome, outcomes.Answered):
            self._log.request(
                context.attempt_id,
                f"{type(outcome).__name__.lower()} at {target.target_id}",
                outcome.code,
                f"{context.service}, "
                f"left {context.deadline_ms - now_ms:.0f} ms",
            )

    def _answered(
        self,
        context: context_lib.RequestContext,
        target: records.Target,
        outcome: outcomes.Answered,
    ) -> Response:
        stream = outcome.stream
        now_ms = clock.monotonic_ms()
        if stream.status < 300:
            self._costs.record(context.route.name, context.service, stream.tree)
        if context.parent is not None:
            context.parent.add_runs(stream.tree)
        else:
            learn = self._thresholds.record_services_needed
            if stream.status < 300:
                learn = self._thresholds.record_services_used
            learn(context.service, context.route.name, stream.tree)
        self._log.answer(
            context.attempt_id,
            context.route.name,
            target.target_id,
            stream.status,
            now_ms - context.request.read_ms,
        )
        return Response(stream.status, stream=stream)

    def _gave_up(
        self,
        context: context_lib.RequestContext,
        code: Code,
        unknown: bool,
        send_count: int,
    ) -> Response:
        if unknown and codes.describe(code).run_state is (
            codes.RunState.NOT_RUN
        ):
            code = Code.TARGET_LOST
        elif not unknown and code is Code.LINK_LOST:
            code = Code.NO_TARGET
        self._log.request(
            context.attempt_id,
            "gave up",
            code,
            f"{context.route.name}, {send_count} sends",
        )
        return self.refuse(code)
