"""Creates the components of one daemon and runs them."""

import asyncio
import random
import signal
import sys

from loguru import logger

from mimosahaven import actions as actions_lib
from mimosahaven import attempts
from mimosahaven import calls
from mimosahaven import clock
from mimosahaven import decisions
from mimosahaven import dispatch
from mimosahaven import entry
from mimosahaven import entrystats
from mimosahaven import fleet as fleet_lib
from mimosahaven import gauges
from mimosahaven import gctuning
from mimosahaven import guard as guard_lib
from mimosahaven import httpserver
from mimosahaven import identity
from mimosahaven import lifecycle as lifecycle_lib
from mimosahaven import links as links_lib
from mimosahaven import listening
from mimosahaven import logsink
from mimosahaven import membership as membership_lib
from mimosahaven import messagehandler
from mimosahaven import metrics as metrics_lib
from mimosahaven import ownerclient
from mimosahaven import peersync
from mimosahaven import peertransport
from mimosahaven import quarantine as quarantine_lib
from mimosahaven import router as router_lib
from mimosahaven import routing
from mimosahaven import rowlimits
from mimosahaven import settings as settings_lib
from mimosahaven import shedding
from mimosahaven import statuspage
from mimosahaven import table as table_lib
from mimosahaven import targetclient
from mimosahaven import tasks as tasks_lib

TICK_MS = 20
# With nothing in flight, nothing is due sooner than the window of the shed
# threshold; 50 ticks a second cost an idle daemon over 1% of a core.
IDLE_TICK_MS = 100
# Minimum drain time, so that the LEAVING state reaches peers while new calls
# are refused.
LEAVE_NOTICE_MS = 500

Metric = metrics_lib.Metric


class Daemon:
    """One daemon: entry, router and guard of one target."""

    def __init__(self, settings: settings_lib.Settings):
        self.settings = settings
        self.started_ms = clock.monotonic_ms()
        self.table_changed_ms = self.started_ms
        self.list_changed_ms = self.started_ms
        self.incarnation = identity.new_incarnation(random.SystemRandom())
        self.tasks = tasks_lib.BackgroundTasks()
        self._rng = random.Random(settings.seed)
        self._server: httpserver.Server | None = None
        self._server_task: asyncio.Task | None = None
        self._list_confirmed_ms = 0.0
        self._make_observability()
        self._make_links()
        self._make_guard()
        self._make_entry()
        self._connect_message_handler()

    def _make_observability(self) -> None:
        settings = self.settings
        self.sink = logsink.NonBlockingSink(sys.stderr.fileno())
        self.log = decisions.DecisionLog(settings.log, self.sink)
        self.metrics = metrics_lib.Metrics(
            settings.metrics, settings.target.name
        )
        self.entry_stats = entrystats.EntryStats(self.log, self.metrics)

    def _make_links(self) -> None:
        settings = self.settings
        self.message_handler = messagehandler.MessageHandler(
            self.incarnation, self.tasks
        )
        self.link_manager = links_lib.LinkManager(
            settings, self.incarnation, self.message_handler
        )
        self.peer_transport = peertransport.PeerTransport(self.link_manager)
        self.quarantine = quarantine_lib.Quarantine(
            settings, settings.target.name, self.incarnation
        )
        self.membership = membership_lib.Membership(
            settings,
            self.incarnation,
            self._rng,
            self.peer_transport,
            self._apply_table,
            self._apply_list,
            # Looked up at each call: peer_sync is created below, because it
            # needs the membership.
            lambda digest: self.peer_sync.on_digest(digest),
            lambda strike: self.peer_sync.on_strike(strike),
        )
        self.fleet_view = self.membership.fleet_view
        self.row_limiter = rowlimits.RowLimiter(settings, self._rng)
        self.peer_sync = peersync.PeerSync(
            settings,
            self.membership,
            self.peer_transport,
            self.quarantine,
            self.row_limiter,
        )

    def _make_guard(self) -> None:
        settings = self.settings
        self.lifecycle = lifecycle_lib.Lifecycle(settings)
        self.call_registry = calls.CallRegistry()
        self.thresholds = shedding.ThresholdMap(settings)
        self.target_client = targetclient.TargetClient(settings)
        self.guard = guard_lib.Guard(
            settings,
            self.incarnation,
            self.call_registry,
            self.target_client,
            self.lifecycle,
            self.thresholds,
            self.quarantine,
            self.log,
            self.metrics,
        )
        self.guard.quarantine_enforcer.on_strikes = (
            self.peer_sync.publish_strikes
        )
        self.guard.quarantine_enforcer.on_clear = self.peer_sync.publish

    def _make_entry(self) -> None:
        settings = self.settings
        self.attempt_sender = attempts.AttemptSender(
            settings, self.link_manager
        )
        self.target_selector = routing.TargetSelector(settings, self._rng)
        self.router = router_lib.Router(
            settings,
            self.fleet_view,
            self.target_selector,
            self.attempt_sender,
            self.thresholds,
            self.log,
            self.metrics,
        )
        self.actions = actions_lib.ActionRegistry(
            settings, settings.target.name, self.incarnation
        )
        self.dispatcher = dispatch.Dispatcher(
            settings,
            self.call_registry,
            self.router,
            self.actions,
            ownerclient.OwnerClient(
                settings.target.name,
                self.incarnation,
                self.fleet_view,
                self.attempt_sender,
            ),
            self.lifecycle,
            self.thresholds,
            self.row_limiter,
            self.entry_stats,
        )
        self.dispatcher.before_request = self.check_for_pause

    def _connect_message_handler(self) -> None:
        handler = self.message_handler
        handler.attempt_sender = self.attempt_sender
        handler.target_selector = self.target_selector
        handler.dispatcher = self.dispatcher
        handler.guard = self.guard
        handler.lifecycle = self.lifecycle
        handler.membership = self.membership
        handler.metrics = self.metrics
        handler.peer_transport = self.peer_transport
        handler.quarantine = self.quarantine
        handler.row_limiter = self.row_limiter
        handler.before_message = self.check_for_pause

    async def start(self) -> None:
        """Opens all sockets and starts the timers.

        Raises:
          ListenError: An address cannot be bound.
        """
        endpoint = self.settings.entry
        listener = listening.bind(endpoint.host, endpoint.port)
        await self.target_client.start()
        self.link_manager.start()
        await self.membership.start()
        app = entry.make_app(
            self.dispatcher,
            self.settings.max_body_bytes,
            [
                ("/-/status", statuspage.StatusResource(self)),
                (
                    "/-/decisions",
                    statuspage.DecisionsResource(
                        self.settings.target.name, self.log
                    ),
                ),
            ],
        )
        self._server = httpserver.make_server(
            app,
            endpoint.host,
            endpoint.port,
            entry.make_protocol(self.dispatcher),
        )
        self._server_task = self.tasks.spawn(self._server.serve([listener]))
        self.tasks.spawn(self._tick_forever())

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and returns."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        await self.start()
        gctuning.tune()
        await stop_requested.wait()
        if self.settings.mechanisms.drain:
            await self.drain()
        await self.stop()

    async def drain(self) -> None:
        """Refuses new work and waits for requests and calls in flight."""
        logger.info("daemon: draining, {} in flight", self.in_flight_count)
        self.lifecycle.begin_leaving()
        self.membership.set_state(fleet_lib.LEAVING)
        started_ms = clock.monotonic_ms()
        while clock.monotonic_ms() - started_ms < self.settings.drain_ms:
            await asyncio.sleep(TICK_MS / 1000)
            waited_ms = clock.monotonic_ms() - started_ms
            if self.in_flight_count == 0 and waited_ms >= LEAVE_NOTICE_MS:
                break
        logger.info("daemon: drain ended, {} in flight", self.in_flight_count)

    async def stop(self) -> None:
        """Stops the servers, closes all connections and flushes the log."""
        self._server.should_exit = True
        await self._server_task
        await self.membership.stop()
        self.link_manager.stop()
        await self.target_client.stop()
        self.log.flush()
        self.metrics.close()

    @property
    def in_flight_count(self) -> int:
        """Number of requests being served and of calls being run."""
        return self.dispatcher.in_flight_count + self.guard.in_flight_count

    def check_for_pause(self, now_ms: float) -> None:
        """Detects a pause of this process; after one, refreshes its state."""
        if self.lifecycle.pause_detector.check_for_pause(now_ms):
            gap_ms = self.lifecycle.pause_detector.last_gap_ms
            logger.warning("daemon: process was paused for {:.0f} ms", gap_ms)
            self.metrics.count(Metric.PAUSES)
            self.link_manager.reset_silence_timers(now_ms)
            self.membership.refresh(now_ms)

    def _apply_table(self, table: table_lib.Table) -> None:
        now_ms = clock.monotonic_ms()
        self.table_changed_ms = now_ms
        self.guard.table = table
        self.dispatcher.table = table
        self.row_limiter.apply_rows(table.rows, now_ms)
        service = table.services.get(self.settings.target.service)
        self.target_client.not_run_statuses = frozenset(
            service.not_run_statuses if service else ()
        )
        self.log.record(
            decisions.Component.TABLE,
            "",
            f"version {table.version} in force",
            f"from {self.membership.store.source}",
        )

    def _apply_list(self) -> None:
        now_ms = clock.monotonic_ms()
        self.list_changed_ms = now_ms
        local_target = self.settings.target.name
        self.lifecycle.set_listed_leaving(
            self.fleet_view.is_leaving(local_target)
        )
        self.row_limiter.apply_list(self.fleet_view.members.values(), now_ms)
        self._record_confirmed_list()
        self.log.record(
            decisions.Component.FLEET,
            "",
            f"list {self.fleet_view.version} in force",
            f"{len(self.fleet_view.members)} targets",
        )

    def _record_confirmed_list(self) -> None:
        """Records for key ownership that the platform confirmed the list."""
        confirmed_ms = self.fleet_view.contact_ms
        if confirmed_ms is None or confirmed_ms <= self._list_confirmed_ms:
            return
        self._list_confirmed_ms = confirmed_ms
        live = [
            member.target
            for member in self.fleet_view.members.values()
            if member.state == fleet_lib.LIVE
        ]
        self.actions.key_ownership.record_list(
            self.fleet_view.version, live, confirmed_ms
        )

    def _update_readiness(self, now_ms: float) -> None:
        if self.membership.fresh.is_set():
            self.lifecycle.pause_detector.record_refresh(now_ms)
        if self.lifecycle.ready or not self.membership.ready.is_set():
            return
        if self.guard.table is not None and self.fleet_view.members:
            self.lifecycle.mark_ready()
            self.membership.set_state(fleet_lib.READY)

    async def _tick_forever(self) -> None:
        due_ms = clock.monotonic_ms()
        while True:
            now_ms = clock.monotonic_ms()
            self.metrics.record_peak(Metric.LOOP_LAG, now_ms - due_ms)
            self.check_for_pause(now_ms)
            self._update_readiness(now_ms)
            self._record_confirmed_list()
            self.guard.tick(now_ms)
            self.link_manager.tick(now_ms)
            self.peer_sync.tick(now_ms)
            self.log.flush()
            if self.metrics.due(now_ms):
                gauges.sample(self, now_ms)
            self.metrics.tick(now_ms)
            tick_ms = TICK_MS if self.in_flight_count else IDLE_TICK_MS
            due_ms = clock.monotonic_ms() + tick_ms
            await asyncio.sleep(tick_ms / 1000)
