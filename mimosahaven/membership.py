"""Keeps the fleet view and the table of a daemon up to date."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from mimosahaven import clock
from mimosahaven import fleet as fleet_lib
from mimosahaven import gossip as gossip_lib
from mimosahaven import joining
from mimosahaven import membershipstatus as status_lib
from mimosahaven import messages
from mimosahaven import platformclient
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib
from mimosahaven import watching

LOG_PREFIX = "membership:"
# Interval at which a joining daemon requests digests from further peers.
JOIN_RETRY_MS = 200

DocumentName = platformclient.DocumentName


class Transport(Protocol):
    """Sends messages to daemons; may lose messages but must not raise."""

    def send(self, member: fleet_lib.Member, message: messages.Message) -> None:
        """Sends a message without blocking."""


class Membership:
    """Owns the fleet view, the table, the gossip timer and platform access.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of the daemon.
      rng: Random source for jitter and the selection of peers.
      transport: Sends messages to daemons. The name of a seed's target is
        not known, so its member has "host:port" instead.
      on_table: Called with each table that comes into force.
      on_fleet_view: Called when the fleet view has changed.
      on_digest: Called with each digest of a peer, for its token surplus.
      on_strike: Called with each strike that was not known before.

    Attributes:
      ready: Set once enough peers have replied, or after join_wait_ms.
      fresh: Cleared by refresh(); set by the first reply to a later request.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        rng: random.Random,
        transport: Transport,
        on_table: Callable[[table_lib.Table], None],
        on_fleet_view: Callable[[], None],
        on_digest: Callable[[messages.Digest], None] | None = None,
        on_strike: Callable[[messages.Strike], None] | None = None,
    ):
        self._settings = settings
        self._gossip_settings = settings.gossip
        self._rng = rng
        self._transport = transport
        self._on_table = on_table
        self._on_fleet_view = on_fleet_view
        self._on_digest = on_digest
        self._on_strike = on_strike
        self.fleet_view = fleet_lib.FleetView()
        self.store = table_lib.TableStore(settings.mechanisms.table_order)
        self.gossip = gossip_lib.Gossip(
            settings, incarnation, self.fleet_view, self.store, rng
        )
        self.ready = asyncio.Event()
        self.fresh = asyncio.Event()
        self._join_progress = joining.JoinProgress(
            settings, self.fleet_view, self.store, self.gossip.peer_sampler
        )
        self._read_schedule: watching.ReadSchedule | None = None
        self._platform_client: platformclient.PlatformClient | None = None
        self._tasks: set[asyncio.Task] = set()
        self._read_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts joining, the gossip timer and a first platform read."""
        now_ms = clock.monotonic_ms()
        self._read_schedule = watching.ReadSchedule(
            self._gossip_settings, self._rng, now_ms
        )
        if self._settings.platform:
            self._platform_client = platformclient.PlatformClient(
                self._settings,
                self._rng,
                self._on_document,
                self._current_version,
                self._on_contact,
            )
            await self._platform_client.start()
        self._join_progress.requested_ms = now_ms
        self._start_read()
        self._spawn(self._join(now_ms))
        self._spawn(self._run_gossip())

    async def stop(self) -> None:
        """Cancels all tasks and closes the platform client."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._platform_client:
            await self._platform_client.stop()

    def set_state(self, state: str) -> None:
        """Changes this daemon's state: STARTING, READY or LEAVING (final)."""
        self._send(self.gossip.set_state(state, clock.monotonic_ms()))

    def refresh(self, now_ms: float) -> None:
        """Requests versions from peers and the platform after a pause.

        `fresh` is set by the first reply to a request made at or after
        now_ms, not by messages from before the pause.
        """
        self.fresh.clear()
        self._join_progress.requested_ms = now_ms
        self._request_digests(now_ms)
        if self._read_task:
            # Its response may have been sent before the pause.
            self._read_task.cancel()
            self._read_task = None
        self._start_read()

    def add_strike(self, strike: messages.Strike, now_ms: float) -> None:
        """Spreads a strike recorded by this daemon through gossip."""
        self.gossip.add_strike(strike, now_ms)

    def on_message(
        self,
        message: messages.Message,
        reply: Callable[[messages.Message], None],
        now_ms: float,
        source: str = "peer",
        waited_ms: float = 0.0,
    ) -> None:
        """Handles a gossip message; others are ignored.

        Args:
          message: The message.
          reply: Sends a message back to the sender.
          now_ms: Current time.
          source: Name of the sender, for fault reports.
          waited_ms: Queueing delay of the message.
        """
        if not self._settings.mechanisms.gossip:
            return
        effects = self.gossip.on_message(message, source, now_ms, waited_ms)
        if isinstance(message, messages.Digest):
            self._handle_digest(message)
        for reply_message in effects.replies:
            reply(reply_message)
        self._apply_effects(effects)

    def status(self, now_ms: float) -> status_lib.MembershipStatus:
        """Returns the state for the status page."""
        return status_lib.MembershipStatus(
            state=self.gossip.reports.own.state,
            ready=self.ready.is_set(),
            table_version=self.store.version,
            table_hash=self.store.hash,
            table_source=self.store.source,
            table_faults=[fault.describe() for fault in self.store.faults],
            list_version=self.fleet_view.version,
            list_fault=self.gossip.list_fault,
            platform_age_ms=self.fleet_view.platform_age_ms(now_ms),
            watching=bool(
                self._platform_client and self._platform_client.watching
            ),
        )

    def tick(self, now_ms: float) -> None:
        """Runs a gossip round, and starts or stops platform access as needed.

        A daemon that knows no peers requests the digest of a seed instead. A
        watcher keeps a watch on the platform open; any other daemon reads the
        documents once when its next read is due.
        """
        outgoing = self.gossip.next_round(now_ms)
        seeds = self.gossip.peer_sampler.seeds()
        if not outgoing and seeds and self._settings.mechanisms.gossip:
            outgoing = self.gossip.request_digests(
                [self._rng.choice(seeds)], now_ms
            )
        self._send(outgoing)
        if not self._platform_client:
            return
        if watching.is_watcher(self.fleet_view, self._settings):
            self._platform_client.start_watching()
            return
        self._platform_client.stop_watching()
        domain = self._settings.target.failure_domain
        daemon_count = len(self.fleet_view.daemons(domain))
        if self._read_schedule.due(
            self.fleet_view.contact_ms, daemon_count, now_ms
        ):
            self._start_read()

    async def _run_gossip(self) -> None:
        interval_s = self._gossip_settings.interval_ms / 1000
        await asyncio.sleep(self._rng.uniform(0, interval_s))
        while True:
            self.tick(clock.monotonic_ms())
            await asyncio.sleep(interval_s)

    async def _join(self, started_ms: float) -> None:
        end_ms = started_ms + self._gossip_settings.join_wait_ms
        while not self.ready.is_set():
            now_ms = clock.monotonic_ms()
            if now_ms >= end_ms:
                self._check_joined(force=True)
                return
            self._request_digests(now_ms)
            wait_ms = min(JOIN_RETRY_MS, end_ms - now_ms)
            try:
                await asyncio.wait_for(self.ready.wait(), wait_ms / 1000)
            except TimeoutError:
                continue

    def _check_joined(self, force: bool = False) -> None:
        if self.ready.is_set() or not (
            force or self._join_progress.is_sufficient()
        ):
            return
        logger.info(
            "{} ready: table {}, list {}, {} peers replied",
            LOG_PREFIX,
            self.store.version,
            self.fleet_view.version,
            self._join_progress.replied_count,
        )
        self.ready.set()

    def _request_digests(self, now_ms: float) -> None:
        if not self._settings.mechanisms.gossip:
            return
        peers = self.gossip.peer_sampler.sample(
            self._gossip_settings.join_peers
        )
        if len(peers) < self._gossip_settings.join_peers:
            seeds = self.gossip.peer_sampler.seeds()
            count = min(
                len(seeds), self._gossip_settings.join_peers - len(peers)
            )
            peers += self._rng.sample(seeds, count)
        self._send(self.gossip.request_digests(peers, now_ms))

    def _handle_digest(self, digest: messages.Digest) -> None:
        if self._on_digest:
            self._on_digest(digest)
        if self._join_progress.record(digest):
            self.fresh.set()
            self._check_joined()

    def _apply_effects(self, effects: gossip_lib.Effects) -> None:
        if effects.table_changed:
            self._on_table(self.store.table)
        if effects.fleet_view_changed:
            self._on_fleet_view()
        if self._on_strike:
            for strike in effects.strikes:
                self._on_strike(strike)
        self._send(effects.pushes)
        self._check_joined()

    def _send(self, outgoing: list[gossip_lib.OutgoingMessage]) -> None:
        for item in outgoing:
            self._transport.send(item.member, item.message)

    def _start_read(self) -> None:
        if self._platform_client and (
            self._read_task is None or self._read_task.done()
        ):
            self._read_task = self._spawn(self._read_all())

    async def _read_all(self) -> None:
        requested_at_ms = clock.monotonic_ms()
        if (
            await self._platform_client.read_all()
            and requested_at_ms >= self._join_progress.requested_ms
        ):
            self.fresh.set()

    def _on_document(
        self, name: DocumentName, text: str, now_ms: float
    ) -> None:
        if name is DocumentName.TABLE:
            effects = self.gossip.offer_table(
                text, table_lib.PLATFORM_SOURCE, now_ms
            )
        else:
            effects = self.gossip.offer_list(text, now_ms)
        self._apply_effects(effects)
        if effects.fleet_view_changed and not self.ready.is_set():
            self._request_digests(now_ms)

    def _current_version(self, name: DocumentName) -> int:
        versioned = (
            self.store if name is DocumentName.TABLE else self.fleet_view
        )
        return versioned.version

    def _on_contact(self, name: DocumentName, contact_ms: float) -> None:
        # The age of the platform contact is used as the age of the list, so
        # only responses for the list count.
        if name is DocumentName.LIST:
            self.fleet_view.record_contact(contact_ms)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            logger.opt(exception=error).error("{} task failed", LOG_PREFIX)
