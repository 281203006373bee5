"""Passes messages from other daemons to the components of this daemon."""

import functools

import msgspec

from mimosahaven import attempts as attempts_lib
from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import dispatch
from mimosahaven import guard as guard_lib
from mimosahaven import incoming
from mimosahaven import lifecycle as lifecycle_lib
from mimosahaven import links as links_lib
from mimosahaven import membership as membership_lib
from mimosahaven import messages
from mimosahaven import metrics as metrics_lib
from mimosahaven import peertransport
from mimosahaven import quarantine as quarantine_lib
from mimosahaven import routing
from mimosahaven import rowlimits
from mimosahaven import tasks as tasks_lib

Code = codes.Code


class MessageHandler(links_lib.Handler):
    """Handles the messages of all links of a daemon.

    The daemon sets the attributes after it has created its components.
    """

    attempt_sender: attempts_lib.AttemptSender
    target_selector: routing.TargetSelector
    dispatcher: dispatch.Dispatcher
    guard: guard_lib.Guard
    lifecycle: lifecycle_lib.Lifecycle
    membership: membership_lib.Membership
    metrics: metrics_lib.Metrics
    peer_transport: peertransport.PeerTransport
    quarantine: quarantine_lib.Quarantine
    row_limiter: rowlimits.RowLimiter

    def __init__(self, incarnation: str, tasks: tasks_lib.BackgroundTasks):
        self._incarnation = incarnation
        self._tasks = tasks
        # Called with the current time before each message is handled.
        self.before_message = lambda now_ms: None

    def on_request(self, peer, message, waited_ms, now_ms) -> None:
        """Handles a message from a peer that connected to this daemon."""
        self.before_message(now_ms)
        match message:
            case messages.Call():
                # Sent if serving the call raises an exception; without a reply
                # the sender would wait until its deadline.
                internal_error = attempts_lib.result_without_response(
                    message.call_id, message.attempt, Code.INTERNAL
                )
                self._tasks.spawn(
                    self._run_call(peer, message, waited_ms, now_ms),
                    functools.partial(self._reply, peer, internal_error),
                )
            case messages.Inquire():
                self._reply(peer, self.guard.inquire(message, now_ms))
            case messages.Cancel():
                self.guard.cancel(message.call_id, now_ms)
            case messages.TokenRequest():
                self._grant_tokens(peer, message, now_ms)
            case messages.Strike():
                self.quarantine.record_strike(message, now_ms)
            case messages.Clear():
                self.quarantine.record_clear(message)
            case _:
                self.membership.on_message(
                    message,
                    lambda reply_message: self._reply(peer, reply_message),
                    now_ms,
                    peer.target,
                    waited_ms,
                )

    def on_reply(self, link, message, now_ms) -> None:
        """Handles a message from a peer that this daemon connected to."""
        self.before_message(now_ms)
        match message:
            case messages.Result() | messages.InquiryReply():
                self.attempt_sender.on_reply(link, message)
            case messages.TokenGrant():
                self.row_limiter.receive_borrowed(
                    message.row, message.amount, now_ms
                )
            case _:
                self.membership.on_message(
                    message,
                    lambda reply_message: link.send(
                        reply_message, clock.monotonic_ms()
                    ),
                    now_ms,
                    link.target,
                )

    def on_link_up(self, link) -> None:
        """Records that a link is up and sends its pending messages."""
        now_ms = clock.monotonic_ms()
        self.target_selector.on_link_up(link.target, now_ms)
        self.peer_transport.on_link_up(link, now_ms)

    def on_link_lost(self, link, reason) -> None:
        """Records that a link was lost."""
        del reason
        self.metrics.count(metrics_lib.Metric.LINKS_LOST)
        self.target_selector.on_link_lost(link.target, clock.monotonic_ms())
        self.attempt_sender.on_link_lost(link)

    def _reply(self, peer, message: messages.Message) -> None:
        self.peer_transport.reply(peer, message)

    def _grant_tokens(
        self, peer, request: messages.TokenRequest, now_ms
    ) -> None:
        amount = self.row_limiter.grant(request.row, request.amount, now_ms)
        if amount:
            self._reply(peer, messages.TokenGrant(request.row, amount))

    async def _run_call(self, peer, call, waited_ms, now_ms) -> None:
        if call.forwarded:
            result = await self._serve_forwarded(call, waited_ms, now_ms)
        else:
            result = await self.guard.run(call, waited_ms, now_ms)
        self._reply(peer, result)

    async def _serve_forwarded(
        self, call: messages.Call, waited_ms: float, now_ms: float
    ) -> messages.Result:
        """Serves a request that another entry forwarded to this owner."""
        refusal = self.lifecycle.call_refusal(now_ms)
        if call.incarnation != self._incarnation:
            refusal = Code.WRONG_INCARNATION
        elif call.remaining_ms <= waited_ms:
            refusal = Code.DEADLINE_BEFORE_RUN
        if refusal is not None:
            return attempts_lib.not_run_result(call, refusal)
        with self.dispatcher.in_flight():
            served = await self.dispatcher.serve(
                incoming.from_message(call, call.remaining_ms - waited_ms)
            )
        return msgspec.structs.replace(
            served.result,
            call_id=call.call_id,
            attempt=call.attempt,
            run_state=served.run_state.value,
        )
