"""At-most-once ledger of the calls that a guard runs, has run or has barred.

Barring a call id records a tombstone: a copy of the call that arrives later is
refused, so the sender may safely treat the call as not run.
"""

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


class LedgerDisposition(enum.Enum):
    """How the guard handles an arriving copy of a call.

    Attributes:
      RUN: Run the call.
      WAIT: Wait for the result of the copy that is running.
      ANSWER: Respond with the stored result.
      REFUSE: Refuse the copy.
    """

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class LedgerDecision:
    """Decision about one copy of a call.

    Attributes:
      disposition: How to handle the copy.
      code: Reason for the refusal, for REFUSE.
      result: Stored result, for ANSWER.
    """

    disposition: LedgerDisposition
    code: Code | None = None
    result: messages.Result | None = None


@dataclasses.dataclass(frozen=True)
class InquiryResult:
    """Result of an inquiry, with the states of messages.InquiryReply.

    Attributes:
      state: "done", "running" or "barred".
      result: The stored result when the state is "done".
    """

    state: str
    result: messages.Result | None = None


class ResultStore:
    """Results of calls or actions, with a byte limit for headers and bodies.

    The identity of a result is a call id or the sequence number of an action
    id. A result stays until it is removed. When the stored headers and bodies
    exceed the limit, the oldest results lose theirs but keep their result
    code.

    Args:
      bytes_max: Maximum total size of headers and bodies.
    """

    def __init__(self, bytes_max: int):
        self._bytes_max = bytes_max
        self._stored_bytes = 0
        self._results: dict[collections.abc.Hashable, messages.Result] = {}
        # Bytes of headers and body by identity, oldest first.
        self._sizes: collections.OrderedDict[collections.abc.Hashable, int] = (
            collections.OrderedDict()
        )

    @property
    def response_bytes(self) -> int:
        """Total size of the stored headers and bodies."""
        return self._stored_bytes

    def put(
        self, identity: collections.abc.Hashable, result: messages.Result
    ) -> None:
        """Stores a result and replaces an earlier one.

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
            self._stored_bytes += size
        while self._stored_bytes > self._bytes_max:
            evicted_identity, size = self._sizes.popitem(last=False)
            self._stored_bytes -= size
            self._results[evicted_identity] = _without_response(
                self._results[evicted_identity]
            )

    def get(self, identity: collections.abc.Hashable) -> messages.Result | None:
        """Returns the result to send to a repeated call, or None.

        Its code is OK_FROM_LEDGER instead of OK.
        """
        result = self._results.get(identity)
        if result is not None and result.code == Code.OK:
            return msgspec.structs.replace(result, code=Code.OK_FROM_LEDGER)
        return result

    def remove(self, identity: collections.abc.Hashable) -> None:
        """Removes the result of an identity, if there is one."""
        if self._results.pop(identity, None) is not None:
            self._stored_bytes -= self._sizes.pop(identity, 0)


def _without_response(result: messages.Result) -> messages.Result:
    """Returns the result without status, headers and body.

    If the target ran the call, the code becomes ANSWER_NOT_KEPT.
    """
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
    """Ensures that a non-idempotent call runs at most once.

    A running call stays in the ledger until it ends, and its result for
    action_window_ms after that. A tombstone stays for action_window_ms after
    the inquiry. No call has a deadline later than action_window_ms after it
    was sent, so a copy that arrives after the record was removed is refused
    because its deadline has passed.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings.ledger
        self._enabled = settings.mechanisms.ledger
        self._running: set[str] = set()
        # Pairs of the time of completion or barring and the call id, oldest
        # first.
        self._settled: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._barred: set[str] = set()
        self._results = ResultStore(settings.ledger.answer_bytes_max)

    def __len__(self) -> int:
        return len(self._running) + len(self._settled)

    @property
    def response_bytes(self) -> int:
        """Total size of the stored headers and bodies."""
        return self._results.response_bytes

    def begin(
        self, call_id: str, attempt: int, idempotent: bool, now_ms: float
    ) -> LedgerDecision:
        """Decides how to handle an arriving copy of a call.

        Args:
          call_id: Identity of the call.
          attempt: Number of the attempt, set in a stored result that is
            returned.
          idempotent: Whether the call may run twice; if so, it needs no
            record.
          now_ms: Current time.
        """
        if not self._enabled:
            return LedgerDecision(LedgerDisposition.RUN)
        self.sweep(now_ms)
        if call_id in self._barred:
            return LedgerDecision(LedgerDisposition.REFUSE, Code.BARRED)
        if idempotent:
            return LedgerDecision(LedgerDisposition.RUN)
        if call_id in self._running:
            return LedgerDecision(LedgerDisposition.WAIT)
        stored = self._results.get(call_id)
        if stored is not None:
            result = msgspec.structs.replace(stored, attempt=attempt)
            return LedgerDecision(LedgerDisposition.ANSWER, result=result)
        if self._is_full():
            return LedgerDecision(LedgerDisposition.REFUSE, Code.LEDGER_FULL)
        self._running.add(call_id)
        return LedgerDecision(LedgerDisposition.RUN)

    def finish(
        self, call_id: str, result: messages.Result, now_ms: float
    ) -> None:
        """Records the result of a call that was dispatched.

        A result with run state "not run" leaves no record, so that the same
        call id may arrive again, as after release().

        Args:
          call_id: Identity of the call; one that is not running is ignored.
          result: The result.
          now_ms: Current time; the record is kept for the window from then.
        """
        if call_id not in self._running:
            return
        self._running.remove(call_id)
        run_state = codes.describe(Code(result.code)).run_state
        if run_state is not RunState.NOT_RUN:
            self._settled.append((now_ms, call_id))
            self._results.put(call_id, result)

    def release(self, call_id: str, now_ms: float) -> None:
        """Removes a running call that was refused before dispatch.

        The same call id may arrive again. A tombstone is not removed.
        """
        self._running.discard(call_id)
        self.sweep(now_ms)

    def inquire(self, call_id: str, now_ms: float) -> InquiryResult:
        """Returns the state of a non-idempotent call; bars an unknown call id.

        Idempotent calls have no record, so no inquiry may be made about them.

        Returns:
          The state. If the ledger has no room for a tombstone it is
          "running": a copy could still run later, so the sender inquires
          again or reports an unknown outcome. If the ledger is disabled it
          is always "barred".
        """
        if not self._enabled:
            return InquiryResult("barred")
        self.sweep(now_ms)
        if call_id in self._running:
            return InquiryResult("running")
        if call_id in self._barred:
            return InquiryResult("barred")
        stored = self._results.get(call_id)
        if stored is not None:
            return InquiryResult("done", stored)
        if self._is_full():
            return InquiryResult("running")
        self._settled.append((now_ms, call_id))
        self._barred.add(call_id)
        return InquiryResult("barred")

    def sweep(self, now_ms: float) -> None:
        """Removes results and tombstones that are older than the window."""
        window_ms = self._settings.action_window_ms
        while self._settled and now_ms - self._settled[0][0] > window_ms:
            _, call_id = self._settled.popleft()
            self._barred.discard(call_id)
            self._results.remove(call_id)

    def _is_full(self) -> bool:
        return len(self) >= self._settings.records_max
