"""Assembles the parts of one daemon and runs them."""

import asyncio
import contextlib
import random
import signal
import sys

import msgspec
import uvicorn
from loguru import logger

from mimosahaven import actions as actions_lib
from mimosahaven import attempts
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven import dispatch
from mimosahaven import entry
from mimosahaven import entrystats
from mimosahaven import fleet as fleet_lib
from mimosahaven import guard as guard_lib
from mimosahaven import identity
from mimosahaven import lifecycle as lifecycle_lib
from mimosahaven import links as links_lib
from mimosahaven import messages
from mimosahaven import metrics as metrics_lib
from mimosahaven import ownerlink
from mimosahaven import platformclient
from mimosahaven import router as router_lib
from mimosahaven import routing
from mimosahaven import rowlimits
from mimosahaven import settings as settings_lib
from mimosahaven import shedding
from mimosahaven import table as table_lib
from mimosahaven import targetclient

TICK_MS = 20
# Time for the news of leaving to reach peers while new calls are refused.
LEAVE_NOTICE_MS = 500


class _Server(uvicorn.Server):
    """A uvicorn server that leaves the signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class StatusResource:
    """Tells the state of the daemon."""

    def __init__(self, daemon: "Daemon"):
        self._daemon = daemon

    async def on_get(self, req, resp) -> None:
        """Answers with the state as JSON."""
        del req
        state = self._daemon.lifecycle.state(clock.monotonic_ms())
        resp.media = {"state": state.value}


class Daemon(links_lib.Handler):
    """One daemon: entry, router and guard of one target."""

    def __init__(self, settings: settings_lib.Settings):
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.incarnation = identity.new_incarnation(random.SystemRandom())
        self.lifecycle = lifecycle_lib.Lifecycle(settings)
        self.sink = decisions.LineSink(sys.stderr.fileno())
        self.log = decisions.DecisionLog(settings.log, self.sink)
        self.metrics = metrics_lib.Metrics(
            settings.metrics, settings.target.name
        )
        self.thresholds = shedding.ThresholdMap(settings)
        self.row_limiter = rowlimits.RowLimiter(settings, self.rng)
        self.registry = calls.CallRegistry()
        self.fleet = fleet_lib.FleetView()
        self.hub = links_lib.LinkHub(settings, self.incarnation, self)
        self.attempts = attempts.Attempts(settings, self.hub)
        self.chooser = routing.Chooser(settings, self.rng)
        self.router = router_lib.Router(
            settings,
            self.fleet,
            self.chooser,
            self.attempts,
            self.thresholds,
            self.log,
            self.metrics,
        )
        self.client = targetclient.TargetClient(settings)
        self.guard = guard_lib.Guard(
            settings,
            self.incarnation,
            self.registry,
            self.client,
            self.lifecycle,
            self.thresholds,
            self.log,
            self.metrics,
        )
        self.actions = actions_lib.ActionRegistry(
            settings, settings.target.name, self.incarnation
        )
        self.entry_stats = entrystats.EntryStats(self.log, self.metrics)
        self.dispatcher = dispatch.Dispatcher(
            settings,
            self.registry,
            self.router,
            self.actions,
            ownerlink.OwnerLink(
                settings.target.name,
                self.incarnation,
                self.fleet,
                self.attempts,
            ),
            self.lifecycle,
            self.thresholds,
            self.row_limiter,
            self.entry_stats,
        )
        self.dispatcher.on_event = self.observe
        self._tasks: set[asyncio.Task] = set()
        self.platform = None
        if settings.platform:
            self.platform = platformclient.PlatformClient(
                settings,
                self.rng,
                self._on_document,
                self._version_of,
                lambda now_ms: None,
            )
        self._server: _Server | None = None
        self._server_task: asyncio.Task | None = None

    def use_table(self, table: table_lib.Table) -> None:
        """Puts a table in force."""
        self.guard.table = table
        self.row_limiter.apply_rows(table.rows, clock.monotonic_ms())
        self.dispatcher.table = table
        service = table.services.get(self.settings.target.service)
        self.client.not_run_statuses = frozenset(
            service.not_run_statuses if service else ()
        )

    async def start(self) -> None:
        """Opens all sockets and starts the timers."""
        await self.client.start()
        self.hub.start()
        if self.platform:
            await self.platform.start()
            self.platform.start_watching()
        app = entry.make_app(
            self.dispatcher,
            self.settings.max_body_bytes,
            [("/-/status", StatusResource(self))],
        )
        endpoint = self.settings.entry
        self._server = _Server(
            uvicorn.Config(
                app,
                host=endpoint.host,
                port=endpoint.port,
                http="httptools",
                loop="none",
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                date_header=False,
            )
        )
        self._server_task = self.spawn(self._server.serve())
        self.spawn(self._tick_forever())

    def observe(self, now_ms: float) -> None:
        """Takes in the present time; notices when the process was paused."""
        if self.lifecycle.pause.observe(now_ms):
            gap_ms = self.lifecycle.pause.last_gap_ms
            logger.warning("daemon: was paused for {:.0f} ms", gap_ms)
            self.metrics.count(metrics_lib.Metric.PAUSES)
            self.hub.forgive_silence(now_ms)

    def _version_of(self, name: platformclient.DocumentName) -> int:
        if name is platformclient.DocumentName.LIST:
            return self.fleet.version
        return self.guard.table.version if self.guard.table else 0

    def _on_document(self, name, text: str, now_ms: float) -> None:
        if name is platformclient.DocumentName.LIST:
            listing = msgspec.json.decode(text, type=fleet_lib.MemberList)
            if self.fleet.apply_list(listing, now_ms):
                self.row_limiter.apply_list(listing.members, now_ms)
        else:
            self.use_table(table_lib.parse_table(text))
        if self.guard.table and self.fleet.members:
            self.lifecycle.make_ready()

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine as a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.opt(exception=task.exception()).error("daemon: task failed")

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and returns."""
        stop_wanted = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_wanted.set)
        await self.start()
        await stop_wanted.wait()
        await self.drain()
        await self.stop()

    async def drain(self) -> None:
        """Refuses new work and waits until nothing is in flight."""
        logger.info("daemon: leaving, {} in flight", self.in_flight_count)
        self.lifecycle.leave()
        started_ms = clock.monotonic_ms()
        while clock.monotonic_ms() - started_ms < self.settings.drain_ms:
            await asyncio.sleep(TICK_MS / 1000)
            waited_ms = clock.monotonic_ms() - started_ms
            if self.in_flight_count == 0 and waited_ms >= LEAVE_NOTICE_MS:
                break
        logger.info("daemon: stopping, {} in flight", self.in_flight_count)

    @property
    def in_flight_count(self) -> int:
        """Requests being served and calls being run."""
        return self.dispatcher.in_flight_count + self.guard.in_flight_count

    async def stop(self) -> None:
        """Closes everything."""
        self._server.should_exit = True
        await self._server_task
        if self.platform:
            await self.platform.stop()
        self.hub.stop()
        await self.client.stop()

    def on_request(self, route, message, waited_ms, now_ms) -> None:
        """Takes in a message from a peer that connected to this daemon."""
        self.observe(now_ms)
        if isinstance(message, messages.Call):
            self.spawn(self._run_call(route, message, waited_ms, now_ms))
        elif isinstance(message, messages.Inquire):
            self.hub.reply(route, self.guard.inquire(message, now_ms))
        elif isinstance(message, messages.Cancel):
            self.guard.cancel(message.call_id, now_ms)
        elif isinstance(message, messages.TokenRequest):
            self._lend(route, message, now_ms)

    def on_answer(self, link, message, now_ms) -> None:
        """Takes in a message from a peer that this daemon connected to."""
        self.observe(now_ms)
        if isinstance(message, messages.Result | messages.InquiryReply):
            self.attempts.on_answer(link, message)
        elif isinstance(message, messages.TokenGrant):
            self.row_limiter.receive(message.row, message.amount, now_ms)

    def on_link_up(self, link) -> None:
        """Learns that a link can be used."""
        self.chooser.learn_up(link.target, clock.monotonic_ms())

    def on_link_lost(self, link, reason) -> None:
        """Learns that a link was replaced."""
        del reason
        self.chooser.learn_lost(link.target, clock.monotonic_ms())
        self.attempts.on_link_lost(link)

    def _lend(self, route, request: messages.TokenRequest, now_ms) -> None:
        amount = self.row_limiter.grant(request.row, request.amount, now_ms)
        if amount:
            self.hub.reply(route, messages.TokenGrant(request.row, amount))

    def _borrow(self, now_ms: float) -> None:
        for want in self.row_limiter.wanted(now_ms):
            member = self.fleet.members.get(want.peer)
            if member is None:
                continue
            link = self.hub.link_to(
                member.target, member.host, member.link_port
            )
            if link.up.is_set():
                link.send(
                    messages.TokenRequest(want.row_id, want.amount), now_ms
                )

    async def _run_call(self, route, call, waited_ms, now_ms) -> None:
        if call.forwarded:
            result = await self._serve_forwarded(call, waited_ms, now_ms)
        else:
            result = await self.guard.run(call, waited_ms, now_ms)
        if not self.hub.reply(route, result):
            logger.info("guard: {} no way back", call.call_id)

    async def _serve_forwarded(
        self, call: messages.Call, waited_ms: float, now_ms: float
    ) -> messages.Result:
        """Serves a request that another entry took for this owner."""
        refused = self.lifecycle.refuse_call(now_ms)
        if call.incarnation != self.incarnation:
            refused = codes.Code.WRONG_INCARNATION
        elif call.remaining_ms <= waited_ms:
            refused = codes.Code.DEADLINE_BEFORE_RUN
        if refused is not None:
            return attempts.not_run(call, refused)
        with self.dispatcher.in_flight():
            served = await self.dispatcher.serve(
                dispatch.IncomingCall(
                    service=call.service,
                    method=call.method,
                    path=call.path,
                    headers=call.headers,
                    body=call.body,
                    caller=call.caller,
                    kind=call.kind,
                    action_id=call.action_id,
                    key=call.key,
                    remaining_ms=call.remaining_ms - waited_ms,
                    forwarded=True,
                )
            )
        return msgspec.structs.replace(
            served.result,
            call_id=call.call_id,
            attempt=call.attempt,
            run_state=served.run_state.value,
        )

    async def _tick_forever(self) -> None:
        while True:
            now_ms = clock.monotonic_ms()
            self.observe(now_ms)
            self.guard.tick(now_ms)
            self.hub.tick(now_ms)
            self._borrow(now_ms)
            self.log.flush()
            self.metrics.tick(now_ms)
            await asyncio.sleep(TICK_MS / 1000)
