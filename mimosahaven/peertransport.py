"""One-way messages to other daemons; replies are not matched to them."""

from loguru import logger

from mimosahaven import clock
from mimosahaven import fleet as fleet_lib
from mimosahaven import links as links_lib
from mimosahaven import messages

# Messages queued for a peer until its link is up; older ones are dropped.
PENDING_MESSAGES_MAX = 8


class PeerTransport:
    """Sends messages over links; queues a few until a link is up."""

    def __init__(self, link_manager: links_lib.LinkManager):
        self._link_manager = link_manager
        self._pending: dict[str, list[messages.Message]] = {}

    def send(self, member: fleet_lib.Member, message: messages.Message) -> None:
        """Sends a message without blocking; it may be lost."""
        link = self._link_manager.get_or_create(
            member.target, member.host, member.link_port
        )
        if link.up.is_set():
            link.send_one_way(message, clock.monotonic_ms())
            return
        pending = self._pending.setdefault(member.target, [])
        pending.append(message)
        del pending[:-PENDING_MESSAGES_MAX]

    def reply(
        self, peer: links_lib.InboundPeer, message: messages.Message
    ) -> None:
        """Sends a message to a peer that connected to this daemon."""
        if not self._link_manager.reply(peer, message):
            logger.debug("link: reply to {} not sent", peer.target)

    def on_link_up(self, link: links_lib.Link, now_ms: float) -> None:
        """Sends the messages queued for a link."""
        for message in self._pending.pop(link.target, ()):
            link.send_one_way(message, now_ms)
