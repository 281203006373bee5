"""Messages to other daemons that need no answer to be matched."""

from loguru import logger

from mimosahaven import clock
from mimosahaven import fleet as fleet_lib
from mimosahaven import links as links_lib
from mimosahaven import messages

# Messages that wait for a link to come up; older ones are dropped.
WAITING_MAX = 8


class PeerLinks:
    """Sends messages over links, and holds a few while a link opens."""

    def __init__(self, hub: links_lib.LinkHub):
        self._hub = hub
        self._waiting: dict[str, list[messages.Message]] = {}

    def send(self, member: fleet_lib.Member, message: messages.Message) -> None:
        """Sends a message without blocking; it may be lost."""
        link = self._hub.link_to(member.target, member.host, member.link_port)
        if link.up.is_set():
            link.send_once(message, clock.monotonic_ms())
            return
        waiting = self._waiting.setdefault(member.target, [])
        waiting.append(message)
        del waiting[:-WAITING_MAX]

    def reply(self, route: links_lib.Route, message: messages.Message) -> None:
        """Sends a message back on the way that one came."""
        if not self._hub.reply(route, message):
            logger.debug("link: no way back to {}", route.target)

    def on_link_up(self, link: links_lib.Link, now_ms: float) -> None:
        """Sends what has waited for a link."""
        for message in self._waiting.pop(link.target, ()):
            link.send_once(message, now_ms)
