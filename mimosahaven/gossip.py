"""Gossip protocol of one daemon, without I/O."""

import dataclasses
import random

from loguru import logger

from mimosahaven import dissemination
from mimosahaven import fleet as fleet_lib
from mimosahaven import messages
from mimosahaven import peersampling
from mimosahaven import selfreports
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib

LOG_PREFIX = "gossip:"


@dataclasses.dataclass(frozen=True)
class OutgoingMessage:
    """A message and the daemon to send it to."""

    member: fleet_lib.Member
    message: messages.Message


@dataclasses.dataclass
class Effects:
    """What to do after handling a message or a document.

    Attributes:
      replies: Messages to the sender.
      pushes: Messages to other daemons.
      table_changed: True when a new table is in force.
      fleet_view_changed: True when a list or a self report has changed the
        view of the fleet.
      strikes: Strikes that were not known before.
    """

    replies: list[messages.Message] = dataclasses.field(default_factory=list)
    pushes: list[OutgoingMessage] = dataclasses.field(default_factory=list)
    table_changed: bool = False
    fleet_view_changed: bool = False
    strikes: list[messages.Strike] = dataclasses.field(default_factory=list)


class Gossip:
    """Exchanges digests, documents and updates with other daemons.

    Documents are the table and the list of VMs. Updates are self reports and
    strikes; they are sent as part of digests.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of the daemon.
      fleet_view: View of the fleet that reports and lists are applied to.
      store: Table store that received tables are offered to.
      rng: Random source for the selection of peers.

    Attributes:
      peer_sampler: Selects the peers of each round.
      reports: This daemon's report, and reports of others to pass on.
      list_text: Text of the list of VMs in force, or empty.
      list_fault: Why the last list was refused, or empty.
      surplus: Rate limit tokens that this daemon can lend, by row id.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        fleet_view: fleet_lib.FleetView,
        store: table_lib.TableStore,
        rng: random.Random,
    ):
        self._settings = settings
        self._gossip_settings = settings.gossip
        self._fleet_view = fleet_view
        self._store = store
        self._rng = rng
        self.peer_sampler = peersampling.PeerSampler(settings, fleet_view, rng)
        self.reports = selfreports.SelfReports(
            settings, incarnation, fleet_view, rng
        )
        self.list_text = ""
        self.list_fault = ""
        self.surplus: dict[str, float] = {}
        self._refused_list_version = 0
        self._pending_request_ms: float | None = None
        self._strikes = dissemination.DisseminationBuffer(
            self._gossip_settings, rng
        )
        self._seen_strikes = dissemination.SeenSet()

    def set_state(self, state: str, now_ms: float) -> list[OutgoingMessage]:
        """Changes this daemon's state; LEAVING is final and pushed at once."""
        changed = self.reports.set_state(state, now_ms)
        if not changed or state != fleet_lib.LEAVING:
            return []
        if not self._settings.mechanisms.gossip:
            return []
        return self._address_to_peers(self.digest(now_ms))

    def next_round(self, now_ms: float) -> list[OutgoingMessage]:
        """Returns the digests of one gossip round.

        One goes to a daemon of the local failure domain, one to any daemon.
        """
        if not self._settings.mechanisms.gossip:
            return []
        # Without a recent platform contact, the digest also requests the
        # peer's digest, which may report a more recent contact.
        age_ms = self._fleet_view.platform_age_ms(now_ms)
        contact_is_old = (
            not 0 <= age_ms < self._gossip_settings.contact_max_age_ms
        )
        outgoing = []
        for member in self.peer_sampler.sample_for_round():
            digest = self.digest(now_ms, reply_wanted=contact_is_old)
            if member.failure_domain != self._settings.target.failure_domain:
                # Tokens are lent only within a failure domain; the surplus of
                # 100 rows is 24 times as large as the rest of the digest.
                digest.surplus = {}
            outgoing.append(OutgoingMessage(member, digest))
        return outgoing

    def request_digests(
        self, members: list[fleet_lib.Member], now_ms: float
    ) -> list[OutgoingMessage]:
        """Returns digests that request the digests of other daemons."""
        digest = self.digest(now_ms, reply_wanted=True)
        return [OutgoingMessage(member, digest) for member in members]

    def digest(
        self, now_ms: float, reply_wanted: bool = False, echo_ms: float = 0.0
    ) -> messages.Digest:
        """Builds a digest and counts the updates in it as sent."""
        faults = self._store.faults_to_gossip()
        return messages.Digest(
            self.reports.own,
            self._store.version,
            self._store.hash,
            self._fleet_view.version,
            self._fleet_view.platform_age_ms(now_ms),
            surplus=self.surplus,
            reports=self.reports.take_updates(now_ms),
            strikes=self._strikes.take(now_ms),
            # One fault per digest bounds the size of the digest.
            table_faults=[self._rng.choice(faults)] if faults else [],
            reply_wanted=reply_wanted,
            sent_ms=now_ms,
            echo_ms=echo_ms,
        )

    def add_strike(self, strike: messages.Strike, now_ms: float) -> bool:
        """Queues a strike for gossip; returns whether it is a new one."""
        key = (strike.fingerprint, strike.crash_id)
        if not self._seen_strikes.add(key):
            return False
        self._strikes.add(key, strike, now_ms)
        return True

    def on_message(
        self,
        message: messages.Message,
        source: str,
        now_ms: float,
        waited_ms: float = 0.0,
    ) -> Effects:
        """Handles a gossip message.

        Args:
          message: A message; those of other protocols are ignored.
          source: Name of the sender, for fault reports.
          now_ms: Current time.
          waited_ms: Queueing delay of the message.
        """
        match message:
            case messages.Digest():
                return self._on_digest(message, now_ms, waited_ms)
            case messages.SelfReport():
                changed = self.reports.apply(message, True, now_ms)
                return Effects(fleet_view_changed=changed)
            case messages.TableDocument():
                return self.offer_table(message.text, source, now_ms)
            case messages.ListDocument():
                effects = self.offer_list(message.text, now_ms)
                if self.list_fault:
                    self._refused_list_version = message.version
                return effects
            case messages.DocumentRequest():
                return Effects(replies=self._newer_documents(message))
        return Effects()

    def offer_table(self, text: str, source: str, now_ms: float) -> Effects:
        """Offers a table to the store; pushes an accepted one at once."""
        self._pending_request_ms = None
        offer_result = self._store.offer(text, source, now_ms)
        if offer_result.code:
            logger.warning(
                "{} table from {} refused: {} {}",
                LOG_PREFIX,
                source,
                offer_result.code.name,
                "; ".join(offer_result.faults),
            )
        if not offer_result.accepted:
            return Effects()
        version = self._store.version
        logger.info(
            "{} table {} in force, from {}", LOG_PREFIX, version, source
        )
        document = messages.TableDocument(version, text)
        return Effects(pushes=self._push(document, now_ms), table_changed=True)

    def offer_list(self, text: str, now_ms: float) -> Effects:
        """Offers a list of VMs to the view; pushes an accepted one at once."""
        self._pending_request_ms = None
        try:
            listing = fleet_lib.parse_list(text)
        except fleet_lib.ListError as error:
            self.list_fault = error.detail
            logger.warning("{} list refused: {}", LOG_PREFIX, error)
            return Effects()
        if not self._fleet_view.apply_list(listing, now_ms):
            return Effects()
        self.list_text, self.list_fault = text, ""
        document = messages.ListDocument(listing.version, text)
        return Effects(
            pushes=self._push(document, now_ms), fleet_view_changed=True
        )

    def _on_digest(
        self, digest: messages.Digest, now_ms: float, waited_ms: float
    ) -> Effects:
        sender = digest.report.target
        effects = Effects()
        for report in (digest.report, *digest.reports):
            direct = report is digest.report
            effects.fleet_view_changed |= self.reports.apply(
                report, direct, now_ms
            )
        effects.strikes = [
            strike
            for strike in digest.strikes
            if self.add_strike(strike, now_ms)
        ]
        for fault in digest.table_faults:
            self._store.record_peer_fault(fault, sender, now_ms)
        self._store.check_peer_version(
            digest.table_version, digest.table_hash, sender, now_ms
        )
        # A platform contact of a peer with a newer list does not confirm that
        # this daemon's list is current.
        had_contact = digest.platform_age_ms >= 0
        if had_contact and digest.list_version <= self._fleet_view.version:
            age_ms = digest.platform_age_ms + waited_ms
            self._fleet_view.record_contact(now_ms - age_ms)
        effects.replies = self._replies_to(digest, now_ms)
        return effects

    def _replies_to(
        self, digest: messages.Digest, now_ms: float
    ) -> list[messages.Message]:
        table_version = digest.table_version
        if any(f.text_hash == self._store.hash for f in digest.table_faults):
            # The peer has refused this table; it is not sent again.
            table_version = self._store.version
        newer = self._newer_documents(
            messages.DocumentRequest(table_version, digest.list_version)
        )
        pushable = [
            document
            for document in newer
            if len(document.text) <= self._gossip_settings.push_bytes_max
        ]
        replies: list[messages.Message] = pushable
        newer_report = self.reports.superseding_report(digest.report)
        if digest.reply_wanted or newer_report or len(pushable) < len(newer):
            reply_digest = self.digest(now_ms, echo_ms=digest.sent_ms)
            if newer_report:
                reply_digest.reports = [newer_report, *reply_digest.reports]
            replies = [*pushable, reply_digest]
        if self._needs_document_from(digest) and self._may_request(now_ms):
            self._pending_request_ms = now_ms
            request = messages.DocumentRequest(
                self._store.version,
                max(self._fleet_view.version, self._refused_list_version),
            )
            replies = [*replies, request]
        return replies

    def _newer_documents(
        self, peer: messages.DocumentRequest
    ) -> list[messages.Message]:
        documents: list[messages.Message] = []
        if self._store.version > peer.table_version:
            documents.append(
                messages.TableDocument(self._store.version, self._store.text)
            )
        if self._fleet_view.version > peer.list_version:
            documents.append(
                messages.ListDocument(self._fleet_view.version, self.list_text)
            )
        return documents

    def _needs_document_from(self, digest: messages.Digest) -> bool:
        table_is_newer = digest.table_version > self._store.version
        if table_is_newer and not self._store.is_known_invalid(
            digest.table_hash
        ):
            return True
        known_version = max(
            self._fleet_view.version, self._refused_list_version
        )
        return digest.list_version > known_version

    def _may_request(self, now_ms: float) -> bool:
        """Returns whether no document request is pending within its timeout."""
        return (
            self._pending_request_ms is None
            or now_ms - self._pending_request_ms
            > self._gossip_settings.request_timeout_ms
        )

    def _push(
        self, document: messages.Message, now_ms: float
    ) -> list[OutgoingMessage]:
        """Pushes a document, or a digest instead of a large document."""
        if not self._settings.mechanisms.gossip:
            return []
        if len(document.text) > self._gossip_settings.push_bytes_max:
            document = self.digest(now_ms)
        return self._address_to_peers(document)

    def _address_to_peers(
        self, message: messages.Message
    ) -> list[OutgoingMessage]:
        sampled = self.peer_sampler.sample(self._gossip_settings.push_fanout)
        return [OutgoingMessage(member, message) for member in sampled]
