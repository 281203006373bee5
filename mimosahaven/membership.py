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

PREFIX = "membership:"
# Time after which a joining daemon asks other peers in addition.
ASK_AGAIN_MS = 200

DocumentName = platformclient.DocumentName


class Transport(Protocol):
    """Sends messages to daemons; losses are allowed, errors are not."""

    def send(self, member: fleet_lib.Member, message: messages.Message) -> None:
        """Sends a message without blocking."""


class Membership:
    """Owns the fleet view, the table, the gossip timer and platform reads.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of the daemon.
      rng: Source of jitter and of the choice of peers.
      transport: Sends messages to daemons. For a seed, the target name of
        the member is "host:port".
      on_table: Called with each table that comes into force.
      on_list: Called when the view of the fleet has changed.
      on_digest: Called with each digest of a peer, for token surplus.
      on_strike: Called with each strike that was not known before.

    Attributes:
      ready: Set once peers have answered, or after join_wait_ms.
      fresh: Cleared by refresh; set by the first answer after it.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        rng: random.Random,
        transport: Transport,
        on_table: Callable[[table_lib.Table], None],
        on_list: Callable[[], None],
        on_digest: Callable[[messages.Digest], None] | None = None,
        on_strike: Callable[[messages.Strike], None] | None = None,
    ):
        self._settings = settings
        self._limits = settings.gossip
        self._rng = rng
        self._transport = transport
        self._on_table = on_table
        self._on_list = on_list
        self._on_digest = on_digest
        self._on_strike = on_strike
        self.view = fleet_lib.FleetView()
        self.store = table_lib.TableStore(settings.mechanisms.table_order)
        self.gossip = gossip_lib.Gossip(
            settings, incarnation, self.view, self.store, rng
        )
        self.ready = asyncio.Event()
        self.fresh = asyncio.Event()
        self._join_progress = joining.JoinProgress(
            settings, self.view, self.store, self.gossip.peer_sampler
        )
        self._schedule: watching.ReadSchedule | None = None
        self._client: platformclient.PlatformClient | None = None
        self._tasks: set[asyncio.Task] = set()
        self._read: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts joining, the gossip timer and the reads of the platform."""
        now_ms = clock.monotonic_ms()
        self._schedule = watching.ReadSchedule(self._limits, self._rng, now_ms)
        if self._settings.platform:
            self._client = platformclient.PlatformClient(
                self._settings,
                self._rng,
                self._on_document,
                self._version_of,
                self._on_contact,
            )
            await self._client.start()
        self._join_progress.requested_ms = now_ms
        self._start_read()
        self._spawn(self._join(now_ms))
        self._spawn(self._run())

    async def stop(self) -> None:
        """Ends all tasks and the reads of the platform."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._client:
            await self._client.stop()

    def set_state(self, state: str) -> None:
        """Changes the own state: STARTING, READY or LEAVING (final)."""
        self._send(self.gossip.set_state(state, clock.monotonic_ms()))

    def refresh(self, now_ms: float) -> None:
        """Asks peers and the platform for their versions, after a pause.

        `fresh` is set by the first answer that was asked for at or after
        now_ms, not by messages from before the pause.
        """
        self.fresh.clear()
        self._join_progress.requested_ms = now_ms
        self._ask_peers(now_ms)
        if self._read:
            # Its answer may be from before the pause.
            self._read.cancel()
            self._read = None
        self._start_read()

    def add_strike(self, strike: messages.Strike, now_ms: float) -> None:
        """Spreads a strike of this daemon by gossip."""
        self.gossip.add_strike(strike, now_ms)

    def on_message(
        self,
        message: messages.Message,
        reply: Callable[[messages.Message], None],
        now_ms: float,
        source: str = "peer",
        waited_ms: float = 0.0,
    ) -> None:
        """Takes in a message of the gossip; others are ignored.

        Args:
          message: The message.
          reply: Sends a message back to the sender.
          now_ms: Present time.
          source: Name of the sender, for fault reports.
          waited_ms: Time that the message waited in buffers.
        """
        if not self._settings.mechanisms.gossip:
            return
        reaction = self.gossip.on_message(message, source, now_ms, waited_ms)
        if isinstance(message, messages.Digest):
            self._note_answer(message)
        for answer in reaction.replies:
            reply(answer)
        self._apply(reaction)

    def status(self, now_ms: float) -> status_lib.MembershipStatus:
        """Returns the state for the status page."""
        return status_lib.MembershipStatus(
            state=self.gossip.reports.own.state,
            ready=self.ready.is_set(),
            table_version=self.store.version,
            table_hash=self.store.hash,
            table_source=self.store.source,
            table_faults=[fault.describe() for fault in self.store.faults],
            list_version=self.view.version,
            list_fault=self.gossip.list_fault,
            platform_age_ms=self.view.platform_age_ms(now_ms),
            watching=bool(self._client and self._client.watching),
        )

    def tick(self, now_ms: float) -> None:
        """Does one gossip round and decides on reads of the platform."""
        outgoing = self.gossip.next_round(now_ms)
        seeds = self.gossip.peer_sampler.seeds()
        if not outgoing and seeds and self._settings.mechanisms.gossip:
            outgoing = self.gossip.request_digests(
                [self._rng.choice(seeds)], now_ms
            )
        self._send(outgoing)
        if not self._client:
            return
        if watching.is_watcher(self.view, self._settings):
            self._client.start_watching()
            return
        self._client.stop_watching()
        domain = self._settings.target.failure_domain
        daemons = len(self.view.daemons(domain))
        if self._schedule.due(self.view.contact_ms, daemons, now_ms):
            self._start_read()

    async def _run(self) -> None:
        interval_s = self._limits.interval_ms / 1000
        await asyncio.sleep(self._rng.uniform(0, interval_s))
        while True:
            self.tick(clock.monotonic_ms())
            await asyncio.sleep(interval_s)

    async def _join(self, started_ms: float) -> None:
        end_ms = started_ms + self._limits.join_wait_ms
        while not self.ready.is_set():
            now_ms = clock.monotonic_ms()
            if now_ms >= end_ms:
                self._check_joined(force=True)
                return
            self._ask_peers(now_ms)
            wait_ms = min(ASK_AGAIN_MS, end_ms - now_ms)
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
            "{} ready: table {}, list {}, {} peers answered",
            PREFIX,
            self.store.version,
            self.view.version,
            self._join_progress.count,
        )
        self.ready.set()

    def _ask_peers(self, now_ms: float) -> None:
        if not self._settings.mechanisms.gossip:
            return
        peers = self.gossip.peer_sampler.sample(self._limits.join_peers)
        if len(peers) < self._limits.join_peers:
            seeds = self.gossip.peer_sampler.seeds()
            count = min(len(seeds), self._limits.join_peers - len(peers))
            peers += self._rng.sample(seeds, count)
        self._send(self.gossip.request_digests(peers, now_ms))

    def _note_answer(self, digest: messages.Digest) -> None:
        if self._on_digest:
            self._on_digest(digest)
        if self._join_progress.record(digest):
            self.fresh.set()
            self._check_joined()

    def _apply(self, reaction: gossip_lib.Effects) -> None:
        if reaction.table_changed:
            self._on_table(self.store.table)
        if reaction.list_changed:
            self._on_list()
        if self._on_strike:
            for strike in reaction.strikes:
                self._on_strike(strike)
        self._send(reaction.pushes)
        self._check_joined()

    def _send(self, outgoing: list[gossip_lib.OutgoingMessage]) -> None:
        for item in outgoing:
            self._transport.send(item.member, item.message)

    def _start_read(self) -> None:
        if self._client and (self._read is None or self._read.done()):
            self._read = self._spawn(self._read_all())

    async def _read_all(self) -> None:
        asked_ms = clock.monotonic_ms()
        if (
            await self._client.read_all()
            and asked_ms >= self._join_progress.requested_ms
        ):
            self.fresh.set()

    def _on_document(
        self, name: DocumentName, text: str, now_ms: float
    ) -> None:
        if name is DocumentName.TABLE:
            reaction = self.gossip.offer_table(text, table_lib.PLATFORM, now_ms)
        else:
            reaction = self.gossip.offer_list(text, now_ms)
        self._apply(reaction)
        if reaction.list_changed and not self.ready.is_set():
            self._ask_peers(now_ms)

    def _version_of(self, name: DocumentName) -> int:
        holder = self.store if name is DocumentName.TABLE else self.view
        return holder.version

    def _on_contact(self, name: DocumentName, contact_ms: float) -> None:
        # The age of the contact stands for the age of the list.
        if name is DocumentName.LIST:
            self.view.record_contact(contact_ms)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            logger.opt(exception=error).error("{} task failed", PREFIX)
