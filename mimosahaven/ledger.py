"""Ledger of the calls that a guard has run, is running or has barred."""

import collections
import collections.abc
import dataclasses
import enum

import msgspec

from mimosahaven import codes
from mimosahaven import messages
from mimosahaven import settings as settings_lib

Code = codes.Code
RunState = codes.RunState


class Disposition(enum.Enum):
    """What the guard does with a copy of a call."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class Decision:
    """Decision about one copy of a call.

    Attributes:
      disposition: What to do.
      code: Reason of a refusal.
      result: Kept outcome, when the verdict is ANSWER.
    """

    disposition: Disposition
    code: Code | None = None
    result: messages.Result | None = None


@dataclasses.dataclass(frozen=True)
class Inquiry:
    """Answer to an inquiry, as in messages.InquiryReply.

    Attributes:
      state: "done", "running" or "barred".
      result: The outcome when the state is "done".
    """

    state: str
    result: messages.Result | None = None


class ResultStore:
    """Outcomes by identity, whose answers are bounded in bytes.

    An outcome stays until it is removed. Beyond the bound the oldest answers
    lose their headers and body; the outcomes themselves remain.

    Args:
      bytes_max: Bound of all headers and bodies.
    """

    def __init__(self, bytes_max: int):
        self._bytes_max = bytes_max
        self._bytes = 0
        self._results: dict[collections.abc.Hashable, messages.Result] = {}
        # Bytes of the kept answers, oldest first.
        self._sizes: collections.OrderedDict[collections.abc.Hashable, int] = (
            collections.OrderedDict()
        )

    @property
    def answer_bytes(self) -> int:
        """Bytes of the headers and bodies that are kept."""
        return self._bytes

    def put(
        self, identity: collections.abc.Hashable, result: messages.Result
    ) -> None:
        """Keeps an outcome in place of an earlier one.

        Thresholds and load are left out: they would be stale when read.
        """
        self.remove(identity)
        self._results[identity] = messages.Result(
            result.call_id,
            result.attempt,
            result.code,
            result.status,
            result.headers,
            result.body,
            result.unused_budget,
            run_state=result.run_state,
        )
        size = len(result.body) + sum(
            len(name) + len(value) for name, value in result.headers
        )
        if size:
            self._sizes[identity] = size
            self._bytes += size
        while self._bytes > self._bytes_max:
            evicted, size = self._sizes.popitem(last=False)
            self._bytes -= size
            self._results[evicted] = _without_answer(self._results[evicted])

    def get(self, identity: collections.abc.Hashable) -> messages.Result | None:
        """Returns the outcome as it is told again, or None."""
        result = self._results.get(identity)
        if result is not None and result.code == Code.OK:
            return msgspec.structs.replace(result, code=Code.OK_FROM_LEDGER)
        return result

    def remove(self, identity: collections.abc.Hashable) -> None:
        """Forgets an outcome, if there is one."""
        if self._results.pop(identity, None) is not None:
            self._bytes -= self._sizes.pop(identity, 0)


def _without_answer(result: messages.Result) -> messages.Result:
    """Drops headers and body; an outcome that is not RAN keeps its code."""
    code = Code(result.code)
    if codes.describe(code).run_state is RunState.RAN:
        code = Code.ANSWER_NOT_KEPT
    return messages.Result(
        result.call_id,
        result.attempt,
        int(code),
        unused_budget=result.unused_budget,
    )


class Ledger:
    """Lets a non-idempotent call run at most once.

    A running call stays in the ledger until it ends. Its outcome, or a
    tombstone, stays for action_window_ms after that. This is long enough when
    no call has a deadline later than action_window_ms after it was sent: a
    copy that arrives later is refused for its deadline.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.ledger
        self._enabled = settings.mechanisms.ledger
        self._running: set[str] = set()
        # Time of settlement and call id, oldest first.
        self._settled: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._barred: set[str] = set()
        self._answers = ResultStore(settings.ledger.answer_bytes_max)

    def __len__(self) -> int:
        return len(self._running) + len(self._settled)

    @property
    def answer_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._answers.answer_bytes

    def begin(
        self, call_id: str, attempt: int, idempotent: bool, now_ms: float
    ) -> Decision:
        """Decides about a copy of a call that has arrived.

        Args:
          call_id: Identity of the call.
          attempt: Number of the attempt; a kept outcome is given under it.
          idempotent: Whether the call may run twice; it needs no record.
          now_ms: Present time.
        """
        if not self._enabled:
            return Decision(Disposition.RUN)
        self.sweep(now_ms)
        if call_id in self._barred:
            return Decision(Disposition.REFUSE, Code.BARRED)
        if idempotent:
            return Decision(Disposition.RUN)
        if call_id in self._running:
            return Decision(Disposition.WAIT)
        kept = self._answers.get(call_id)
        if kept is not None:
            result = msgspec.structs.replace(kept, attempt=attempt)
            return Decision(Disposition.ANSWER, result=result)
        if self._is_full():
            return Decision(Disposition.REFUSE, Code.LEDGER_FULL)
        self._running.add(call_id)
        return Decision(Disposition.RUN)

    def finish(
        self, call_id: str, result: messages.Result, now_ms: float
    ) -> None:
        """Takes in the outcome of a call that was dispatched.

        An outcome of "not run" leaves no record, as with release().

        Args:
          call_id: Identity of the call; one that is not running is ignored.
          result: The outcome.
          now_ms: Present time, from which the record stays for the window.
        """
        if call_id not in self._running:
            return
        self._running.remove(call_id)
        state = codes.describe(Code(result.code)).run_state
        if state is not RunState.NOT_RUN:
            self._settled.append((now_ms, call_id))
            self._answers.put(call_id, result)

    def release(self, call_id: str, now_ms: float) -> None:
        """Takes in that a call was refused before dispatch.

        The same call id may come again; a tombstone stays.
        """
        self._running.discard(call_id)
        self.sweep(now_ms)

    def inquire(self, call_id: str, now_ms: float) -> Inquiry:
        """Tells the state of a non-idempotent call and bars an unseen one.

        Idempotent calls have no record, so nobody may inquire about them.

        Returns:
          The state. Without room for a tombstone it is "running": the copy
          could run later, and the asker asks again or ends with an unknown
          outcome.
        """
        if not self._enabled:
            return Inquiry("barred")
        self.sweep(now_ms)
        if call_id in self._running:
            return Inquiry("running")
        if call_id in self._barred:
            return Inquiry("barred")
        kept = self._answers.get(call_id)
        if kept is not None:
            return Inquiry("done", kept)
        if self._is_full():
            return Inquiry("running")
        self._settled.append((now_ms, call_id))
        self._barred.add(call_id)
        return Inquiry("barred")

    def sweep(self, now_ms: float) -> None:
        """Removes outcomes and tombstones that are past the window."""
        window_ms = self._settings.action_window_ms
        while self._settled and now_ms - self._settled[0][0] > window_ms:
            _, call_id = self._settled.popleft()
            self._barred.discard(call_id)
            self._answers.remove(call_id)

    def _is_full(self) -> bool:
        return len(self) >= self._settings.records_max
