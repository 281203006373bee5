"""Shares row-limit tokens and crash strikes with peer daemons."""

from mimosahaven import clock
from mimosahaven import membership as membership_lib
from mimosahaven import messages
from mimosahaven import peertransport
from mimosahaven import quarantine as quarantine_lib
from mimosahaven import rowlimits
from mimosahaven import settings as settings_lib


class PeerSync:
    """Borrows tokens for rate-limited rows and publishes strikes."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: membership_lib.Membership,
        peer_transport: peertransport.PeerTransport,
        quarantine: quarantine_lib.Quarantine,
        row_limiter: rowlimits.RowLimiter,
    ):
        self._settings = settings
        self._membership = membership
        self._peer_transport = peer_transport
        self._quarantine = quarantine
        self._row_limiter = row_limiter
        self._next_surplus_update_ms = 0.0

    def on_digest(self, digest: messages.Digest) -> None:
        """Updates the number of tokens that a peer can lend."""
        self._row_limiter.update_peer_surplus(
            digest.report.target, digest.surplus
        )

    def on_strike(self, strike: messages.Strike) -> None:
        """Records a strike received by gossip."""
        self._quarantine.record_strike(strike, clock.monotonic_ms())

    def publish_strikes(self, strikes: list[messages.Strike]) -> None:
        """Sends strikes directly to peers of this service, and by gossip."""
        now_ms = clock.monotonic_ms()
        for strike in strikes:
            self._membership.add_strike(strike, now_ms)
            self.publish(strike)

    def publish(self, message: messages.Message) -> None:
        """Sends a message to the other daemons of this service."""
        local_target = self._settings.target
        for member in self._membership.fleet_view.targets(local_target.service):
            if member.target != local_target.name:
                self._peer_transport.send(member, message)

    def tick(self, now_ms: float) -> None:
        """Publishes the token surplus, and requests tokens that are needed."""
        if now_ms >= self._next_surplus_update_ms:
            # Done at every tick, this took 0.5% of a core and more with 100
            # rate-limited rows.
            interval_ms = self._settings.gossip.interval_ms / 2
            self._next_surplus_update_ms = now_ms + interval_ms
            surplus = self._row_limiter.surplus(now_ms)
            self._membership.gossip.surplus = surplus
        for borrow_request in self._row_limiter.borrow_requests(now_ms):
            member = self._membership.fleet_view.members.get(
                borrow_request.peer
            )
            if member is not None:
                request = messages.TokenRequest(
                    borrow_request.row_id, borrow_request.amount
                )
                self._peer_transport.send(member, request)
