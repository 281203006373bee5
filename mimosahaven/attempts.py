"""Attempts in flight: sends, matching of results, and inquiries."""

import asyncio
import dataclasses

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import fleet as fleet_lib
from mimosahaven import links as links_lib
from mimosahaven import messages
from mimosahaven import settings as settings_lib

Code = codes.Code

# A nested call ends this much earlier than the call it is made for, so that
# its result arrives while the caller above still waits.
HOP_MARGIN_MS = 10.0
# How long to wait for a link before the target counts as out of reach.
LINK_WAIT_MS = 1_000.0
# How long an unknown outcome is inquired after before it stays unknown.
INQUIRY_MS = 3_000.0
INQUIRY_INTERVAL_MS = 100.0


@dataclasses.dataclass
class PendingAttempt:
    """An attempt whose outcome is awaited.

    Attributes:
      member: Where it was sent.
      incarnation: Incarnation that it was meant for.
      outcome: Ends with the result, or None when the link was lost.
      replies: Answers to inquiries.
    """

    member: fleet_lib.Member
    incarnation: str
    outcome: asyncio.Future
    replies: asyncio.Queue

    @property
    def resolved(self) -> bool:
        """Whether the result is known without an inquiry."""
        return self.outcome.done() and self.outcome.result() is not None


def result_without_response(
    call_id: str, attempt: int, code: Code
) -> messages.Result:
    """Returns a result without an answer of the target."""
    return messages.Result(call_id, attempt, int(code))


def not_run_result(call: messages.Call, code: Code) -> messages.Result:
    """Returns a refusal that gives the passed-down retry budget back."""
    return messages.Result(
        call.call_id, call.attempt, int(code), unused_budget=call.budget
    )


class AttemptSender:
    """Sends attempts over links and finds out what became of them."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        link_manager: links_lib.LinkManager,
    ):
        self._settings = settings
        self._link_manager = link_manager
        self._sent: dict[tuple[str, int], PendingAttempt] = {}
        self.unmatched_count = 0
        self.inquiry_count = 0

    def __len__(self) -> int:
        return len(self._sent)

    async def send(
        self,
        member: fleet_lib.Member,
        call: messages.Call,
        deadline_ms: float,
        idempotent: bool,
    ) -> messages.Result:
        """Sends one attempt and waits for its outcome.

        Args:
          member: Target of the attempt.
          call: The attempt; incarnation and times are filled in here.
          deadline_ms: Deadline on the monotonic clock.
          idempotent: Whether a lost attempt may simply be repeated.
        """
        link = self._link_manager.get_or_create(
            member.target, member.host, member.link_port
        )
        if not await wait_for_link(link, deadline_ms):
            return not_run_result(call, Code.NO_TARGET)
        sent = PendingAttempt(
            member,
            link.incarnation,
            asyncio.get_running_loop().create_future(),
            asyncio.Queue(),
        )
        key = (call.call_id, call.attempt)
        self._sent[key] = sent
        try:
            result = await self._await_outcome(
                link, sent, call, deadline_ms, idempotent
            )
        finally:
            del self._sent[key]
        result.incarnation = sent.incarnation
        return result

    async def _await_outcome(
        self,
        link: links_lib.Link,
        sent: PendingAttempt,
        call: messages.Call,
        deadline_ms: float,
        idempotent: bool,
    ) -> messages.Result:
        now_ms = clock.monotonic_ms()
        call.incarnation = sent.incarnation
        call.sent_ms = now_ms
        call.remaining_ms = deadline_ms - now_ms - HOP_MARGIN_MS
        if call.remaining_ms <= 0:
            return not_run_result(call, Code.DEADLINE_BEFORE_RUN)
        if not link.send(call, now_ms):
            return not_run_result(call, Code.NO_TARGET)
        try:
            result = await _within(sent.outcome, deadline_ms - now_ms)
        except TimeoutError:
            self._cancel(sent, call)
            return result_without_response(
                call.call_id, call.attempt, Code.TIMEOUT
            )
        if result is not None:
            return result
        if idempotent or not self._settings.mechanisms.inquire:
            return result_without_response(
                call.call_id, call.attempt, Code.LINK_LOST
            )
        result = await self._inquire(sent, call, deadline_ms)
        if Code(result.code) is Code.BARRED:
            result.unused_budget = call.budget
        return result

    async def inquire(
        self,
        member: fleet_lib.Member,
        incarnation: str,
        call_id: str,
        attempt: int,
        deadline_ms: float,
    ) -> messages.Result:
        """Asks again about a call whose outcome was left unknown."""
        sent = PendingAttempt(
            member,
            incarnation,
            asyncio.get_running_loop().create_future(),
            asyncio.Queue(),
        )
        # A late result is as good as an answer to the inquiry.
        sent.outcome.set_result(None)
        key = (call_id, attempt)
        self._sent[key] = sent
        call = messages.Inquire(call_id, attempt, incarnation)
        try:
            return await self._inquire(sent, call, deadline_ms)
        finally:
            del self._sent[key]

    async def _inquire(
        self,
        sent: PendingAttempt,
        call: messages.Call | messages.Inquire,
        deadline_ms,
    ) -> messages.Result:
        """Resolves an unknown outcome; the guard bars what it never saw."""
        self.inquiry_count += 1
        member = sent.member
        question = messages.Inquire(
            call.call_id, call.attempt, sent.incarnation
        )
        until_ms = min(deadline_ms, clock.monotonic_ms() + INQUIRY_MS)
        code = Code.LINK_LOST
        while clock.monotonic_ms() < until_ms:
            link = self._link_manager.get_or_create(
                member.target, member.host, member.link_port
            )
            if not await wait_for_link(link, until_ms):
                continue
            if link.incarnation != sent.incarnation:
                return result_without_response(
                    call.call_id, call.attempt, Code.LINK_LOST
                )
            link.send(question, clock.monotonic_ms())
            reply = await self._reply(sent, until_ms)
            if reply is None:
                continue
            if isinstance(reply, messages.Result):
                return reply
            if reply.state == "done" and reply.result:
                return reply.result
            if reply.state == "barred":
                return result_without_response(
                    call.call_id, call.attempt, Code.BARRED
                )
            if reply.state == "other-incarnation":
                return result_without_response(
                    call.call_id, call.attempt, Code.LINK_LOST
                )
            code = Code.STILL_RUNNING
            until_ms = deadline_ms
            await asyncio.sleep(INQUIRY_INTERVAL_MS / 1000)
        return result_without_response(call.call_id, call.attempt, code)

    async def _reply(self, sent: PendingAttempt, until_ms: float):
        wait_ms = min(
            until_ms - clock.monotonic_ms(), self._settings.links.silence_ms
        )
        try:
            return await asyncio.wait_for(
                sent.replies.get(), max(0.0, wait_ms) / 1000
            )
        except TimeoutError:
            return None

    def _cancel(self, sent: PendingAttempt, call: messages.Call) -> None:
        member = sent.member
        link = self._link_manager.get_or_create(
            member.target, member.host, member.link_port
        )
        if link.up.is_set() and link.incarnation == sent.incarnation:
            link.send(messages.Cancel(call.call_id), clock.monotonic_ms())

    def on_reply(
        self,
        link: links_lib.Link,
        message: messages.Result | messages.InquiryReply,
    ) -> None:
        """Takes in a result or an answer to an inquiry.

        Only the identity of the call decides what it belongs to; what
        matches no attempt in flight is counted and dropped.
        """
        sent = self._sent.get((message.call_id, message.attempt))
        if sent is None or sent.member.target != link.target:
            self.unmatched_count += 1
        elif sent.resolved:
            # A copy that arrived before the waiting task has gone on.
            self.unmatched_count += 1
        elif isinstance(message, messages.Result) and not sent.outcome.done():
            sent.outcome.set_result(message)
        else:
            sent.replies.put_nowait(message)

    def on_link_lost(self, link: links_lib.Link) -> None:
        """Ends the wait of the attempts that were in flight on a link."""
        for sent in self._sent.values():
            if sent.member.target == link.target and not sent.outcome.done():
                sent.outcome.set_result(None)


async def _within(future: asyncio.Future, limit_ms: float):
    """Waits for a future, which gets a TimeoutError at the limit.

    One timer costs less than half of what `wait_for` and `shield` cost.

    Raises:
      TimeoutError: The limit passed first.
    """
    loop = asyncio.get_running_loop()
    timer = loop.call_later(limit_ms / 1000, _expire, future)
    try:
        return await future
    finally:
        timer.cancel()


def _expire(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(TimeoutError())


async def wait_for_link(link: links_lib.Link, deadline_ms: float) -> bool:
    """Waits for a link; returns False when it does not come up in time."""
    if link.up.is_set():
        return True
    wait_ms = min(LINK_WAIT_MS, deadline_ms - clock.monotonic_ms())
    try:
        await asyncio.wait_for(link.up.wait(), max(0.0, wait_ms) / 1000)
    except TimeoutError:
        return False
    return True
