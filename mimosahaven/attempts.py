"""Sends call attempts, matches their results and inquires about lost ones."""

import asyncio
import dataclasses

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import fleet as fleet_lib
from mimosahaven import links as links_lib
from mimosahaven import messages
from mimosahaven import settings as settings_lib

Code = codes.Code

# The deadline that is sent with an attempt is this much earlier than the
# sender's own, so that the result arrives while the sender still waits.
HOP_MARGIN_MS = 10.0
# Time to wait for a link before the target counts as unreachable.
LINK_UP_TIMEOUT_MS = 1_000.0
# Time to wait for a first reply to inquiries before the outcome is reported as
# unknown. Once the guard replies that the call is running, the deadline of the
# call limits the inquiries instead.
INQUIRY_TIMEOUT_MS = 3_000.0
# Interval between inquiries while the call is still running.
INQUIRY_INTERVAL_MS = 100.0


@dataclasses.dataclass
class PendingAttempt:
    """An attempt whose outcome is not known yet.

    Attributes:
      member: Target that the attempt was sent to.
      incarnation: Incarnation of the daemon that it was addressed to.
      outcome: Completes with the result, or with None if the link was lost.
      replies: Replies to inquiries.
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
    """Returns a result that carries no response of the target."""
    return messages.Result(call_id, attempt, int(code))


def not_run_result(call: messages.Call, code: Code) -> messages.Result:
    """Returns a "not run" result that refunds the delegated retry budget."""
    return messages.Result(
        call.call_id, call.attempt, int(code), unused_budget=call.budget
    )


class AttemptSender:
    """Sends attempts over links and determines their outcome."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        link_manager: links_lib.LinkManager,
    ):
        self._settings = settings
        self._link_manager = link_manager
        self._pending: dict[tuple[str, int], PendingAttempt] = {}
        self.unmatched_count = 0
        self.inquiry_count = 0

    def __len__(self) -> int:
        return len(self._pending)

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
          idempotent: Whether a lost attempt may be retried without inquiry.
        """
        link = self._link_manager.get_or_create(
            member.target, member.host, member.link_port
        )
        if not await wait_for_link(link, deadline_ms):
            return not_run_result(call, Code.NO_TARGET)
        pending = PendingAttempt(
            member,
            link.incarnation,
            asyncio.get_running_loop().create_future(),
            asyncio.Queue(),
        )
        key = (call.call_id, call.attempt)
        self._pending[key] = pending
        try:
            result = await self._await_outcome(
                link, pending, call, deadline_ms, idempotent
            )
        finally:
            del self._pending[key]
        result.incarnation = pending.incarnation
        return result

    async def _await_outcome(
        self,
        link: links_lib.Link,
        pending: PendingAttempt,
        call: messages.Call,
        deadline_ms: float,
        idempotent: bool,
    ) -> messages.Result:
        now_ms = clock.monotonic_ms()
        call.incarnation = pending.incarnation
        call.sent_ms = now_ms
        call.remaining_ms = deadline_ms - now_ms - HOP_MARGIN_MS
        if call.remaining_ms <= 0:
            return not_run_result(call, Code.DEADLINE_BEFORE_RUN)
        if not link.send(call, now_ms):
            return not_run_result(call, Code.NO_TARGET)
        try:
            result = await _await_with_timeout(
                pending.outcome, deadline_ms - now_ms
            )
        except TimeoutError:
            self._send_cancel(pending, call)
            return result_without_response(
                call.call_id, call.attempt, Code.TIMEOUT
            )
        if result is not None:
            return result
        if idempotent or not self._settings.mechanisms.inquire:
            return result_without_response(
                call.call_id, call.attempt, Code.LINK_LOST
            )
        result = await self._inquire(pending, call, deadline_ms)
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
        """Inquires about an earlier call whose outcome is unknown."""
        pending = PendingAttempt(
            member,
            incarnation,
            asyncio.get_running_loop().create_future(),
            asyncio.Queue(),
        )
        # With the outcome set, a late result counts as a reply to the inquiry.
        pending.outcome.set_result(None)
        key = (call_id, attempt)
        self._pending[key] = pending
        inquiry = messages.Inquire(call_id, attempt, incarnation)
        try:
            return await self._inquire(pending, inquiry, deadline_ms)
        finally:
            del self._pending[key]

    async def _inquire(
        self,
        pending: PendingAttempt,
        call: messages.Call | messages.Inquire,
        deadline_ms,
    ) -> messages.Result:
        """Inquires until the outcome is known or the time has run out.

        A guard that has not received the call bars it, so that a copy which
        arrives later does not run.
        """
        self.inquiry_count += 1
        member = pending.member
        inquiry = messages.Inquire(
            call.call_id, call.attempt, pending.incarnation
        )
        inquiry_deadline_ms = min(
            deadline_ms, clock.monotonic_ms() + INQUIRY_TIMEOUT_MS
        )
        code = Code.LINK_LOST
        while clock.monotonic_ms() < inquiry_deadline_ms:
            link = self._link_manager.get_or_create(
                member.target, member.host, member.link_port
            )
            if not await wait_for_link(link, inquiry_deadline_ms):
                continue
            if link.incarnation != pending.incarnation:
                # The daemon has restarted and its ledger is gone.
                return result_without_response(
                    call.call_id, call.attempt, Code.LINK_LOST
                )
            link.send(inquiry, clock.monotonic_ms())
            reply = await self._await_reply(pending, inquiry_deadline_ms)
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
            inquiry_deadline_ms = deadline_ms
            await asyncio.sleep(INQUIRY_INTERVAL_MS / 1000)
        return result_without_response(call.call_id, call.attempt, code)

    async def _await_reply(
        self, pending: PendingAttempt, inquiry_deadline_ms: float
    ):
        """Returns the next reply; None if there is none within silence_ms."""
        wait_ms = min(
            inquiry_deadline_ms - clock.monotonic_ms(),
            self._settings.links.silence_ms,
        )
        try:
            return await asyncio.wait_for(
                pending.replies.get(), max(0.0, wait_ms) / 1000
            )
        except TimeoutError:
            return None

    def _send_cancel(
        self, pending: PendingAttempt, call: messages.Call
    ) -> None:
        member = pending.member
        link = self._link_manager.get_or_create(
            member.target, member.host, member.link_port
        )
        if link.up.is_set() and link.incarnation == pending.incarnation:
            link.send(messages.Cancel(call.call_id), clock.monotonic_ms())

    def on_reply(
        self,
        link: links_lib.Link,
        message: messages.Result | messages.InquiryReply,
    ) -> None:
        """Handles a result or a reply to an inquiry.

        It is matched by call id and attempt number; a message that matches no
        attempt in flight to its sender is counted and dropped.
        """
        pending = self._pending.get((message.call_id, message.attempt))
        if pending is None or pending.member.target != link.target:
            self.unmatched_count += 1
        elif pending.resolved:
            # A duplicate that arrived before the waiting task resumed.
            self.unmatched_count += 1
        elif (
            isinstance(message, messages.Result) and not pending.outcome.done()
        ):
            pending.outcome.set_result(message)
        else:
            pending.replies.put_nowait(message)

    def on_link_lost(self, link: links_lib.Link) -> None:
        """Marks the attempts in flight on a link as lost."""
        for pending in self._pending.values():
            if (
                pending.member.target == link.target
                and not pending.outcome.done()
            ):
                pending.outcome.set_result(None)


async def _await_with_timeout(future: asyncio.Future, timeout_ms: float):
    """Waits for a future and sets a TimeoutError on it at the timeout.

    One timer costs less than half of what `wait_for` and `shield` cost.

    Raises:
      TimeoutError: The future was not done in time.
    """
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeout_ms / 1000, _set_timeout, future)
    try:
        return await future
    finally:
        timer.cancel()


def _set_timeout(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(TimeoutError())


async def wait_for_link(link: links_lib.Link, deadline_ms: float) -> bool:
    """Waits for a link to come up; returns False if it does not in time."""
    if link.up.is_set():
        return True
    wait_ms = min(LINK_UP_TIMEOUT_MS, deadline_ms - clock.monotonic_ms())
    try:
        await asyncio.wait_for(link.up.wait(), max(0.0, wait_ms) / 1000)
    except TimeoutError:
        return False
    return True
