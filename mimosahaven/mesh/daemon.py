"""Assembles and runs the components of a mesh daemon."""

import asyncio
import pathlib
import random
import signal
import sys

import msgspec

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import errorlog
from mimosahaven import errors
from mimosahaven import gctuning
from mimosahaven import identity
from mimosahaven import logsink
from mimosahaven import pause as pause_lib
from mimosahaven import shedding
from mimosahaven import tabletext
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import admission as admission_lib
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import eventlog
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import inflight as inflight_lib
from mimosahaven.mesh import listeners
from mimosahaven.mesh import loadbalancer as loadbalancer_lib
from mimosahaven.mesh import outbound as outbound_lib
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import peerprobe
from mimosahaven.mesh import records
from mimosahaven.mesh import replica as replica_lib
from mimosahaven.mesh import report
from mimosahaven.mesh import retrybudget
from mimosahaven.mesh import runner as runner_lib
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import shutdown
from mimosahaven.mesh import storewatch
from mimosahaven.mesh import subscriptions
from mimosahaven.mesh import targetdrain as targetdrain_lib

Code = codes.Code

# Interval of the daemon's periodic work.
TICK_MS = 50.0
# Longest description of a frame that is refused; it may quote the frame.
FAULT_CHARS_MAX = 300


class MeshDaemon:
    """A daemon that serves callers and runs requests on its local target."""

    def __init__(
        self, settings: settings_lib.MeshSettings, feed: feed_lib.Feed
    ):
        self.settings = settings
        self.tasks = tasks_lib.BackgroundTasks()
        rng = random.Random()
        self.log = eventlog.EventLog(
            settings.vm, logsink.NonBlockingSink(sys.stdout.fileno())
        )
        now_ms = clock.monotonic_ms()
        self.pause_detector = pause_lib.PauseDetector(settings)
        self.target_drain = targetdrain_lib.TargetDrain(
            settings.bounds.drain_s * 1000
        )
        self.admission = admission_lib.AdmissionController(
            settings.slots_default, now_ms, self.target_drain
        )
        self.in_flight = inflight_lib.InFlightRequests()
        self.incarnation = identity.new_incarnation(rng)
        self.runner = runner_lib.Runner(
            settings,
            self.admission,
            self.in_flight,
            self.tasks,
            self.incarnation,
            now_ms,
        )
        self.runner.monitor.notify_service = self._notify_service
        self.runner.on_leaving = self._on_target_leaving
        self.balancer = loadbalancer_lib.LoadBalancer(
            settings.failure_domain, settings.target.host, rng
        )
        self.thresholds = shedding.ThresholdMap(settings)
        self.peers = peerpool.PeerPool(settings, self._on_load)
        self.settings_file: settings_lib.SettingsFile | None = None
        bounds = settings.bounds
        self.budget = retrybudget.RetryBudget(
            bounds.resend_ratio,
            bounds.resend_slack,
            bounds.resend_window_s * 1000,
        )
        self.replica = replica_lib.Replica(settings, self.peers, self.log)
        self.store_watch = storewatch.StoreWatch(
            settings, feed, self.replica, self.log, rng
        )
        self.peer_probe = peerprobe.PeerProbe(
            self.balancer, self.peers, self.replica, self.log
        )
        self.peers.on_frame_error = self.on_frame_error
        self.followers = subscriptions.Followers()
        self.subscriptions = subscriptions.Subscriptions(
            self.replica, self.peers, self.tasks, self.log
        )
        self.replica.on_change = self._on_replica_change
        self.replica.publish = self.followers.publish
        self.store_watch.on_contact = self._record_refresh
        self.outbound = outbound_lib.OutboundProxy(
            settings,
            self.replica,
            self.balancer,
            self.thresholds,
            self.runner,
            self.peers,
            self.budget,
            self.log,
            rng,
            self.incarnation,
        )
        self._caller_connections: set[callerserver.CallerConnection] = set()
        # Replies to other daemons that are being written.
        self.peer_reply_count = 0
        self._servers: list[asyncio.Server] = []
        self.term_ms: float | None = None
        self.last_request_ms = now_ms
        self._last_housekeeping_ms = now_ms
        self._status_log = report.StatusLog(self, now_ms)

    @property
    def ready(self) -> bool:
        """Whether the daemon accepts new callers."""
        return self.term_ms is None and self.replica.index is not None

    # Implementation of callerserver.CallerHandler.

    async def handle(
        self, request: callerserver.Request
    ) -> callerserver.Response:
        """Serves a request of a caller."""
        self.last_request_ms = request.read_ms
        self._check_pause(request.read_ms)
        if self.pause_detector.refuses_new_requests(request.read_ms):
            self.log.request("", "refused", Code.STALE_AFTER_PAUSE, "")
            return self.outbound.refuse(Code.STALE_AFTER_PAUSE)
        return await self.outbound.handle(request)

    def limits(self) -> records.CallerLimits:
        """Returns the size and time limits on requests."""
        index = self.replica.index
        return index.table.limits if index else records.CallerLimits()

    def should_close(self) -> bool:
        """Returns whether to close connections after a response."""
        return self.term_ms is not None

    def refuse(self, code: Code) -> callerserver.Response:
        """Returns the response to a request that could not be read."""
        return self.outbound.refuse(code)

    def on_open(self, connection: callerserver.CallerConnection) -> None:
        """Tracks an open connection, to enforce timeouts and to close it."""
        self._caller_connections.add(connection)

    def on_close(self, connection: callerserver.CallerConnection) -> None:
        """Stops tracking a closed connection."""
        self._caller_connections.discard(connection)

    # Implementation of peerserver.PeerHandler.

    def load(self) -> frames.Load:
        """Returns the load of the local target."""
        return report.load(self, clock.monotonic_ms())

    def run_refusal_code(self) -> Code | None:
        """Returns the code with which a peer's run is refused, or None."""
        now_ms = clock.monotonic_ms()
        self._check_pause(now_ms)
        if self.pause_detector.refuses_new_calls(now_ms):
            return Code.STALE_AFTER_PAUSE
        return None

    def refuses_pings(self) -> bool:
        """Returns whether this daemon may end before a run after a ping."""
        return shutdown.refuses_pings(self, clock.monotonic_ms())

    def state_newer_than(
        self, request: frames.Fetch | frames.Follow
    ) -> frames.State:
        """Returns the routes and targets newer than the given versions."""
        return self.replica.state_newer_than(request)

    def heartbeat(self) -> frames.Sign:
        """Returns the heartbeat for followers.

        While the daemon is stopping, `has_store` is False, so that followers
        no longer rely on it.
        """
        sign = self.replica.heartbeat(
            self.store_watch.has_store, clock.monotonic_ms()
        )
        if self.term_ms is not None:
            sign.has_store = sign.watches_store = False
        return sign

    def on_peer_versions(
        self, host: str, table_version: int, list_revision: int
    ) -> None:
        """Handles the versions that a peer reports."""
        now_ms = clock.monotonic_ms()
        self._check_pause(now_ms)
        self.replica.on_peer_versions(
            host, table_version, list_revision, now_ms
        )

    def on_frame_error(self, host: str, detail: str) -> None:
        """Logs bytes of a peer that are no valid frame."""
        self.log.event(
            "frame refused",
            f"from {host}: {tabletext.truncate(detail, FAULT_CHARS_MAX)}",
            int(Code.MALFORMED),
        )

    async def run(self, settings_path: pathlib.Path) -> None:
        """Runs until SIGTERM or SIGINT, then drains and returns.

        Args:
          settings_path: Settings file; it is reloaded when it changes.
        """
        self.settings_file = settings_lib.SettingsFile(settings_path)
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        gctuning.tune()
        await stop_requested.wait()
        await self.drain()
        self.stop()

    def reload(self) -> None:
        """Reloads the bounds from the settings file.

        An invalid file is logged and has no effect. All other settings, such as
        addresses and names, need a restart.
        """
        try:
            settings = self.settings_file.read()
        except errors.SettingsError as error:
            self.log.event(
                "settings refused", "; ".join(error.faults), int(error.code)
            )
            return
        bounds = settings.bounds
        self.budget.set_bounds(
            bounds.resend_ratio,
            bounds.resend_slack,
            bounds.resend_window_s * 1000,
        )
        self.store_watch.bounds = bounds
        self.target_drain.drain_ms = bounds.drain_s * 1000
        self.settings = msgspec.structs.replace(self.settings, bounds=bounds)
        self.log.event("settings read", str(bounds))

    async def start(self) -> None:
        """Opens all sockets and starts the timers.

        Raises:
          ListenError: Listening on an address failed.
        """
        self._servers = await listeners.open_all(self)
        self.log.event(
            "started",
            f"{self.settings.service}, incarnation {self.incarnation}",
        )
        self.tasks.spawn(self.store_watch.run())
        self.tasks.spawn(self.replica.fetch_from_seeds())
        self.tasks.spawn(self._run_ticks())

    def stop(self) -> None:
        """Closes sockets and connections, and cancels all tasks."""
        self.close_listeners()
        self.tasks.cancel_all()
        for connection in list(self._caller_connections):
            connection.abort()
        self.peers.close()
        self.runner.pool.close_idle()
        self.log.event("stopped", "")
        self.log.flush()

    def metrics_text(self) -> str:
        """Returns the metrics in the Prometheus text format."""
        return self.log.metrics.render(report.gauges(self))

    async def drain(self) -> None:
        """Finishes the work in flight, within the grace period."""
        self.term_ms = clock.monotonic_ms()
        await shutdown.drain(self)

    def close_listeners(self) -> None:
        """Stops accepting connections."""
        for server in self._servers:
            server.close()
        self._servers.clear()

    def close_idle_connections(self) -> None:
        """Closes the connections of callers that wait for no response."""
        for connection in list(self._caller_connections):
            connection.close_if_idle()

    def end_exchanges(self) -> None:
        """Ends the requests of callers that have no response yet."""
        for connection in list(self._caller_connections):
            connection.end_exchanges()

    @property
    def caller_connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._caller_connections)

    @property
    def work_count(self) -> int:
        """Number of requests of callers and of runs in progress."""
        return self.outbound.in_flight_count + self.admission.running

    @property
    def has_unsent_responses(self) -> bool:
        """Whether a caller or another daemon still receives a response."""
        return self.peer_reply_count > 0 or any(
            connection.has_unsent_response
            for connection in self._caller_connections
        )

    def _check_pause(self, now_ms: float) -> None:
        if self.pause_detector.check_for_pause(now_ms):
            self.log.event(
                "was paused", f"{self.pause_detector.last_gap_ms:.0f} ms"
            )
            self.runner.pool.close_idle()
            self.tasks.spawn(self._refresh())

    async def _refresh(self) -> None:
        """Fetches what may have changed during a pause of this process."""
        if await self.replica.refresh():
            self._record_refresh()

    def _record_refresh(self) -> None:
        self.pause_detector.record_refresh(clock.monotonic_ms())

    def _on_load(self, host: str, load: frames.Load) -> None:
        """Handles the load report of a peer."""
        now_ms = clock.monotonic_ms()
        self.balancer.record_load(host, load, now_ms)
        self._update_threshold(host, now_ms)
        self.thresholds.update_all(load.thresholds, now_ms)
        self.replica.on_peer_versions(
            host, load.table_version, load.list_revision, now_ms
        )

    def _notify_service(self, frame: frames.Frame) -> None:
        """Sends a frame to the daemons of the other targets of the service."""
        local_host = self.settings.target.host
        for target in self.replica.directory.serving(self.settings.service):
            if target.host != local_host:
                self.tasks.spawn(self.peers.notify(target.host, frame))
        if isinstance(frame, frames.Crash):
            self.log.event("target crashed", f"{len(frame.ran_ms)} runs")

    def _on_target_leaving(self, target_id: str) -> None:
        """Handles the announcement of the local target that it leaves."""
        target = self.replica.directory.get(target_id)
        if target is not None:
            self.replica.mark_leaving(target)

    def _update_local_load(self, now_ms: float) -> None:
        host = self.settings.target.host
        self.balancer.record_load(host, self.load(), now_ms)
        self._update_threshold(host, now_ms)

    def _update_threshold(self, host: str, now_ms: float) -> None:
        """Updates the shed threshold of the service of a VM's target."""
        directory = self.replica.directory
        target = directory.at_address(host, self.settings.target.port)
        if target is None:
            return
        threshold = self.balancer.threshold(
            directory.serving(target.service), now_ms
        )
        self.thresholds.update(target.service, threshold, 0.0, now_ms)

    def _on_replica_change(self) -> None:
        """Updates what depends on the routes and targets."""
        directory = self.replica.directory
        hosts = directory.hosts()
        self.budget.daemon_count = max(1, len(hosts))
        self.balancer.retain_only(hosts)
        local_target = directory.at_address(
            self.settings.target.host, self.settings.target.port
        )
        others = [
            target
            for target in directory.serving(self.settings.service)
            if target.host != self.settings.target.host
        ]
        if self.target_drain.observe(
            local_target is not None and directory.is_serving(local_target),
            bool(others),
            clock.monotonic_ms(),
        ):
            self.log.event(
                "target draining",
                f"{self.admission.running} running, "
                f"{self.admission.waiting} waiting, {len(others)} others",
            )
        if (
            local_target is not None
            and local_target.slots != self.admission.slots
        ):
            self.admission.set_slots(local_target.slots)
        self._complete_startup()

    def _complete_startup(self) -> None:
        """Accepts requests from the time when routes are known."""
        if self.replica.index is None:
            return
        if self.outbound.refuse_code is Code.STARTING:
            self.outbound.refuse_code = None
            self.runner.refuse_code = None
            self.log.event("ready", f"table {self.replica.table_version}")

    async def _run_ticks(self) -> None:
        while True:
            try:
                self._tick(clock.monotonic_ms())
            except Exception as error:  # noqa: BLE001 - the timer must go on
                errorlog.log_exception("daemon: error in a timer", error)
            await asyncio.sleep(TICK_MS / 1000)

    def _tick(self, now_ms: float) -> None:
        """Does the periodic work, without waiting for anything."""
        self._check_pause(now_ms)
        self.runner.tick(now_ms)
        self._update_local_load(now_ms)
        self.subscriptions.tick(now_ms)
        heartbeat = self.heartbeat()
        if self.followers.heartbeat_due(heartbeat, now_ms):
            self.followers.publish(heartbeat)
        self.replica.tick(now_ms)
        if self.replica.is_fetch_due(now_ms):
            self.tasks.spawn(self.replica.fetch_newer())
        self._complete_startup()
        self._status_log.tick(now_ms)
        if now_ms - self._last_housekeeping_ms >= 500:
            self._last_housekeeping_ms = now_ms
            self.peers.expire(now_ms)
            for connection in list(self._caller_connections):
                connection.check_timeouts(now_ms)
            self.tasks.spawn(self.peer_probe.run())
            if self.settings_file and self.settings_file.has_changed():
                self.reload()
        self.log.flush()
