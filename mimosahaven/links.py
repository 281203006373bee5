"""ZeroMQ links between daemons."""

import asyncio
import dataclasses
import math

import zmq
from loguru import logger
from zmq.utils import monitor as zmq_monitor

from mimosahaven import channel as channel_lib
from mimosahaven import clock
from mimosahaven import clockskew
from mimosahaven import errors
from mimosahaven import listening
from mimosahaven import messages
from mimosahaven import settings as settings_lib

LOG_PREFIX = "link:"
# Time for which a stopping daemon may still send queued messages.
STOP_LINGER_MS = 1_000
# An inbound peer that has sent nothing for this long is removed.
INBOUND_PEER_TTL_MS = 60_000


@dataclasses.dataclass
class InboundPeer:
    """A peer that has connected to this daemon.

    Attributes:
      routing_id: ZeroMQ routing id of the connection, which addresses replies.
      target: Name of the peer's target, empty until its Hello is received.
      incarnation: Incarnation of the peer.
      last_message_ms: Time of the last message.
      skew: Estimates the queueing delay of messages with sender timestamps.
    """

    routing_id: bytes
    target: str = ""
    incarnation: str = ""
    last_message_ms: float = 0.0
    skew: clockskew.SkewEstimator = dataclasses.field(
        default_factory=clockskew.SkewEstimator
    )


class Link:
    """The connection of this daemon to one peer.

    Attributes:
      target: Name of the peer's target.
      endpoint: ZeroMQ endpoint with the local and the remote address.
      incarnation: Incarnation of the peer, empty until the link is up.
      up: Set once the peer has acknowledged Hello.
      last_used_ms: Time of the last message sent, without heartbeats and Hello.
      last_call_ms: Time of the last message sent by send().
      silence_since_ms: Start of the silence timer: the time of the last message
        from the peer, or later if no heartbeats were needed.
      awaiting_reply: Whether nothing has been received since the last message
        was sent.
      last_ping_ms: Time of the last heartbeat or repeated Hello.
    """

    def __init__(self, link_manager: "LinkManager", target: str, endpoint: str):
        self.target = target
        self.endpoint = endpoint
        self.incarnation = ""
        self.up = asyncio.Event()
        self.last_used_ms = clock.monotonic_ms()
        self.last_call_ms = -math.inf
        self.silence_since_ms = self.last_used_ms
        self.awaiting_reply = False
        self.last_ping_ms = 0.0
        self._link_manager = link_manager
        socket = link_manager.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(
            zmq.SNDHWM, link_manager.settings.links.high_water_messages
        )
        socket.setsockopt(zmq.RECONNECT_IVL, 50)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        self._monitor = channel_lib.Channel(
            socket.get_monitor_socket(
                zmq.EVENT_CONNECTED | zmq.EVENT_DISCONNECTED
            ),
            self._on_monitor_event,
        )
        self._socket = socket
        self._channel = channel_lib.Channel(
            socket, self._on_frames, link_manager.traffic
        )
        socket.connect(endpoint)

    def send(self, message: messages.Message, now_ms: float) -> bool:
        """Sends a message; returns False if the socket cannot accept it.

        Heartbeats are sent until idle_ms after the last message that was sent
        by this method.
        """
        self.last_call_ms = now_ms
        return self.send_one_way(message, now_ms)

    def send_one_way(self, message: messages.Message, now_ms: float) -> bool:
        """Sends a message for which no result is awaited.

        Heartbeats are sent only until the next message from the peer, so that
        gossip with changing peers does not cause heartbeats on many links.
        """
        self.last_used_ms = now_ms
        self.awaiting_reply = True
        return self._channel.send([messages.encode(message)])

    def hello(self, now_ms: float) -> None:
        """Sends the Hello message that opens the link."""
        self._channel.send(
            [
                messages.encode(
                    messages.Hello(
                        self._link_manager.target,
                        self._link_manager.incarnation,
                        now_ms,
                    )
                )
            ]
        )

    def ping(self, now_ms: float) -> None:
        """Sends a heartbeat; it does not count as use of the link."""
        self._channel.send([messages.encode(messages.Ping(now_ms))])

    def close(self) -> None:
        """Closes the link; nothing is delivered afterwards."""
        self._socket.disable_monitor()
        self._monitor.close()
        self._channel.close()

    def _on_monitor_event(self, frames: list[bytes]) -> None:
        event = zmq_monitor.parse_monitor_message(frames)["event"]
        if event == zmq.EVENT_CONNECTED:
            self.hello(clock.monotonic_ms())
        elif self.up.is_set():
            self._link_manager.drop_link(self, "disconnected")

    def _on_frames(self, frames: list[bytes]) -> None:
        now_ms = clock.monotonic_ms()
        message = self._link_manager.decode(frames[-1])
        if message is None:
            return
        self.silence_since_ms = now_ms
        self.awaiting_reply = False
        if isinstance(message, messages.HelloAck):
            self._link_manager.on_hello_ack(self, message)
        elif not isinstance(message, messages.Pong):
            self._link_manager.handler.on_reply(self, message, now_ms)


class Handler:
    """Callbacks of a LinkManager; subclasses override them."""

    def on_request(
        self,
        peer: InboundPeer,
        message: messages.AnyMessage,
        waited_ms: float,
        now_ms: float,
    ) -> None:
        """Handles a message from a peer that connected to this daemon.

        Args:
          peer: The sender.
          message: The message.
          waited_ms: Queueing delay of the message.
          now_ms: Current time.
        """

    def on_reply(
        self, link: Link, message: messages.AnyMessage, now_ms: float
    ) -> None:
        """Handles a message from a peer that this daemon connected to."""

    def on_link_up(self, link: Link) -> None:
        """Called when a link becomes usable."""

    def on_link_lost(self, link: Link, reason: str) -> None:
        """Called after a link that no longer works was closed or replaced.

        It is not called when an unused link is closed.
        """


class LinkManager:
    """All links of one daemon."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        handler: Handler,
    ):
        self.settings = settings
        self.target = settings.target.name
        self.incarnation = incarnation
        self.handler = handler
        self.context = zmq.Context()
        self.malformed_count = 0
        self.traffic = channel_lib.Traffic()
        self._links: dict[str, Link] = {}
        self._inbound_peers: dict[bytes, InboundPeer] = {}
        self._server: channel_lib.Channel | None = None

    def start(self) -> None:
        """Binds the socket that peers connect to.

        Raises:
          ListenError: The address cannot be bound.
        """
        socket = self.context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        # A message holds a body and up to 1 MiB of other fields.
        socket.setsockopt(
            zmq.MAXMSGSIZE, self.settings.max_body_bytes + 1_048_576
        )
        socket.setsockopt(zmq.RCVHWM, self.settings.links.high_water_messages)
        address = self.settings.link
        try:
            socket.bind(f"tcp://{address.host}:{address.port}")
        except zmq.ZMQError as error:
            socket.close()
            raise listening.ListenError(
                address.host, address.port, error.errno
            ) from error
        self._server = channel_lib.Channel(
            socket, self._on_frames, self.traffic
        )

    def stop(self) -> None:
        """Closes all sockets."""
        for link in self._links.values():
            link.close()
        self._links.clear()
        if self._server:
            # The results that are still queued after a drain must be sent.
            self._server.close(STOP_LINGER_MS)
        self.context.term()

    def get_or_create(self, target: str, host: str, port: int) -> Link:
        """Returns the link to a peer; creates it if there is none."""
        # Network rules expect connections from this daemon's link address.
        local_host = self.settings.link.host
        endpoint = f"tcp://{local_host}:0;{host}:{port}"
        link = self._links.get(target)
        if link and link.endpoint == endpoint:
            return link
        if link:
            self.drop_link(link, "address changed", replace=False)
        link = Link(self, target, endpoint)
        self._links[target] = link
        return link

    def links(self) -> list[Link]:
        """Returns the current links."""
        return list(self._links.values())

    def inbound_peers(self) -> list[InboundPeer]:
        """Returns the peers connected to this daemon."""
        return list(self._inbound_peers.values())

    def reply(self, peer: InboundPeer, message: messages.Message) -> bool:
        """Sends to a connected peer; returns False if it is unreachable."""
        if self._server is None:
            return False
        return self._server.send([peer.routing_id, messages.encode(message)])

    def drop_link(self, link: Link, reason: str, replace: bool = True) -> None:
        """Closes a link that no longer works; if `replace`, opens a new one."""
        if self._links.get(link.target) is not link:
            return
        link.close()
        if replace:
            replacement = Link(self, link.target, link.endpoint)
            # Replacing a link must not count as use: a link to a removed
            # target would never become idle.
            replacement.last_used_ms = link.last_used_ms
            replacement.last_call_ms = link.last_call_ms
            self._links[link.target] = replacement
        else:
            del self._links[link.target]
        logger.info("{} {} lost: {}", LOG_PREFIX, link.target, reason)
        self.handler.on_link_lost(link, reason)

    def on_hello_ack(self, link: Link, ack: messages.HelloAck) -> None:
        """Handles the reply to Hello and marks the link as up."""
        link.incarnation = ack.incarnation
        if not link.up.is_set():
            link.up.set()
            self.handler.on_link_up(link)

    def reset_silence_timers(self, now_ms: float) -> None:
        """Restarts the silence timers after a pause of this process."""
        for link in self._links.values():
            link.silence_since_ms = now_ms

    def tick(self, now_ms: float) -> None:
        """Sends heartbeats, replaces silent links and closes unused ones."""
        link_settings = self.settings.links
        for link in list(self._links.values()):
            unused_ms = now_ms - link.last_used_ms
            if unused_ms > link_settings.close_ms:
                link.close()
                del self._links[link.target]
                continue
            heartbeats_needed = link.awaiting_reply or not link.up.is_set()
            if now_ms - link.last_call_ms <= link_settings.idle_ms:
                heartbeats_needed = True
            if unused_ms > link_settings.idle_ms or not heartbeats_needed:
                link.silence_since_ms = now_ms
                continue
            if now_ms - link.silence_since_ms > link_settings.silence_ms:
                if self.settings.mechanisms.heartbeat:
                    self.drop_link(link, "heartbeat timeout")
                continue
            if now_ms - link.last_ping_ms >= link_settings.heartbeat_ms:
                link.last_ping_ms = now_ms
                if link.up.is_set():
                    link.ping(now_ms)
                else:
                    link.hello(now_ms)
        self._remove_expired_peers(now_ms)

    def decode(self, data: bytes) -> messages.AnyMessage | None:
        """Decodes a message; counts malformed ones and returns None."""
        try:
            return messages.decode(data)
        except errors.MimosahavenError as error:
            self.malformed_count += 1
            logger.warning("{} message dropped: {}", LOG_PREFIX, error)
            return None

    def _remove_expired_peers(self, now_ms: float) -> None:
        expired = [
            routing_id
            for routing_id, peer in self._inbound_peers.items()
            if now_ms - peer.last_message_ms > INBOUND_PEER_TTL_MS
        ]
        for routing_id in expired:
            del self._inbound_peers[routing_id]

    def _on_frames(self, frames: list[bytes]) -> None:
        now_ms = clock.monotonic_ms()
        if len(frames) != 2:
            self.malformed_count += 1
            return
        message = self.decode(frames[1])
        if message is None:
            return
        peer = self._inbound_peers.get(frames[0])
        if peer is None:
            peer = self._inbound_peers[frames[0]] = InboundPeer(frames[0])
        peer.last_message_ms = now_ms
        sent_ms = getattr(message, "sent_ms", None)
        waited_ms = 0.0
        if sent_ms is not None:
            waited_ms = peer.skew.observe(sent_ms, now_ms)
        if isinstance(message, messages.Hello):
            peer.target = message.target
            peer.incarnation = message.incarnation
            ack = messages.HelloAck(
                self.target, self.incarnation, now_ms, message.sent_ms
            )
            self.reply(peer, ack)
        elif isinstance(message, messages.Ping):
            self.reply(peer, messages.Pong(now_ms, message.sent_ms))
        else:
            self.handler.on_request(peer, message, waited_ms, now_ms)
