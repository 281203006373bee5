"""Tokens and strikes that daemons exchange."""

from mimosahaven import clock
from mimosahaven import membership as membership_lib
from mimosahaven import messages
from mimosahaven import peertransport
from mimosahaven import quarantine as quarantine_lib
from mimosahaven import rowlimits
from mimosahaven import settings as settings_lib


class PeerSync:
    """Borrows tokens of limited rows and publishes strikes."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: membership_lib.Membership,
        peers: peertransport.PeerTransport,
        quarantine: quarantine_lib.Quarantine,
        row_limiter: rowlimits.RowLimiter,
    ):
        self._settings = settings
        self._membership = membership
        self._peers = peers
        self._quarantine = quarantine
        self._row_limiter = row_limiter
        self._surplus_due_ms = 0.0

    def on_digest(self, digest: messages.Digest) -> None:
        """Takes in what a peer may lend."""
        self._row_limiter.update_peer_surplus(
            digest.report.target, digest.surplus
        )

    def on_strike(self, strike: messages.Strike) -> None:
        """Takes in a strike that came by gossip."""
        self._quarantine.record_strike(strike, clock.monotonic_ms())

    def publish_strikes(self, strikes: list[messages.Strike]) -> None:
        """Sends strikes to the own service at once, and by gossip."""
        now_ms = clock.monotonic_ms()
        for strike in strikes:
            self._membership.add_strike(strike, now_ms)
            self.publish(strike)

    def publish(self, message: messages.Message) -> None:
        """Sends a message to the other daemons of the own service."""
        own = self._settings.target
        for member in self._membership.view.targets(own.service):
            if member.target != own.name:
                self._peers.send(member, message)

    def tick(self, now_ms: float) -> None:
        """Tells gossip the surplus, and asks for tokens that are short."""
        if now_ms >= self._surplus_due_ms:
            # At each tick, 100 limited rows took 0.5% of a core and more.
            interval_ms = self._settings.gossip.interval_ms / 2
            self._surplus_due_ms = now_ms + interval_ms
            surplus = self._row_limiter.surplus(now_ms)
            self._membership.gossip.surplus = surplus
        for want in self._row_limiter.borrow_requests(now_ms):
            member = self._membership.view.members.get(want.peer)
            if member is not None:
                request = messages.TokenRequest(want.row_id, want.amount)
                self._peers.send(member, request)
