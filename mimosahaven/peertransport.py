"""Messages to other daemons that need no answer to be matched."""

from loguru import logger

from mimosahaven import clock
from mimosahaven import fleet as fleet_lib
from mimosahaven import links as links_lib
from mimosahaven import messages

# Messages that wait for a link to come up; older ones are dropped.
WAITING_MAX = 8


class PeerTransport:
    """Sends messages over links, and holds a few while a link opens."""

    def __init__(self, link_manager: links_lib.LinkManager):
        self._link_manager = link_manager
        self._waiting: dict[str, list[messages.Message]] = {}

    def send(self, member: fleet_lib.Member, message: messages.Message) -> None:
        """Sends a message without blocking; it may be lost."""
        link = self._link_manager.get_or_create(
            member.target, member.host, member.link_port
        )
        if link.up.is_set():
            link.send_one_way(message, clock.monotonic_ms())
            return
        waiting = self._waiting.setdefault(member.target, [])
        waiting.append(message)
        del waiting[:-WAITING_MAX]

    def reply(
        self, peer: links_lib.InboundPeer, message: messages.Message
    ) -> None:
        """Sends a message back on the way that one came."""
        if not self._link_manager.reply(peer, message):
            logger.debug("link: no way back to {}", peer.target)

    def on_link_up(self, link: links_lib.Link, now_ms: float) -> None:
        """Sends what has waited for a link."""
        for message in self._waiting.pop(link.target, ()):
            link.send_one_way(message, now_ms)
