"""Decision log: one short line for each routing or placement decision."""

import collections
import enum
import functools
import os
import select
import time
from collections.abc import Callable

import loguru
import msgspec

from mimosahaven import balancing
from mimosahaven import codes
from mimosahaven import settings as settings_lib

# A call of loguru costs several times as much as the line itself. Lines are
# therefore handed over in batches, at each tick or when this many wait.
_BATCH_LINES = 64
# A pipe that polls as writable takes this many bytes without blocking
# (PIPE_BUF on Linux).
_CHUNK_BYTES = 4_096
_CODE_TEXTS = {int(code): f"{int(code)} {code.name}" for code in codes.Code}
_LEVELS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}


class Component(enum.Enum):
    """Part of the daemon that decides; the value starts its lines."""

    ROUTE = "route"
    GUARD = "guard"
    ENTRY = "entry"
    TABLE = "table"
    FLEET = "fleet"
    LINK = "link"


class Decision(
    msgspec.Struct, frozen=True, gc=False, omit_defaults=True, kw_only=True
):
    """One decision.

    Attributes:
      at_ms: Wall clock in Unix milliseconds.
      part: Part that decided.
      call_id: Call or action that it is about, or "".
      attempt: Number of the attempt, from 0.
      choice: What was chosen, for example "to presse-2" or "refused".
      reason: Why.
      code: Result code, 0 when there is none.
      weighed: Candidates that were compared and their scores.
      level: Level of the log line.
    """

    at_ms: float
    part: Component
    call_id: str
    attempt: int = 0
    choice: str
    reason: str
    code: int = 0
    weighed: tuple[balancing.ScoredTarget, ...] = ()
    level: str = "INFO"


class DecisionPage(msgspec.Struct, frozen=True):
    """Answer to `GET /-/decisions?action=ID`.

    Attributes:
      target: Target of the daemon.
      decisions: Retained decisions on the action, oldest first.
    """

    target: str
    decisions: list[Decision]


def encode_page(page: DecisionPage) -> bytes:
    """Encodes the answer to a request for decisions as JSON."""
    return msgspec.json.encode(page)


class NonBlockingSink:
    """Writes lines to a file descriptor and drops them when it is full.

    A reader of the log that has stopped must not stop the daemon.

    Attributes:
      dropped_count: Lines that were not written.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped_count = 0

    def __call__(self, text: str) -> None:
        """Writes text that consists of whole lines."""
        data = text.encode(errors="replace")
        start = 0
        while start < len(data):
            end = len(data)
            if end - start > _CHUNK_BYTES:
                cut = data.rfind(b"\n", start, start + _CHUNK_BYTES) + 1
                end = cut or start + _CHUNK_BYTES
            if not self._write(data[start:end]):
                self.dropped_count += data.count(b"\n", start)
                return
            start = end

    def _write(self, chunk: bytes) -> bool:
        if not self._poll.poll(0):
            return False
        try:
            return os.write(self._descriptor, chunk) == len(chunk)
        except OSError:
            return False


class DecisionLog:
    """Writes decisions to standard error and keeps the last ones.

    Args:
      settings: Format, level and number of retained decisions.
      sink: Takes the text of the lines.
      wall_ms: Wall clock; monotonic clocks of daemons cannot be compared.
    """

    def __init__(
        self,
        settings: settings_lib.LogSettings,
        sink: Callable[[str], None],
        wall_ms: Callable[[], float] = lambda: time.time() * 1000.0,
    ):
        self._level = settings.level
        self._level_number = _LEVELS[settings.level]
        self._format = (
            _json_line if settings.format == "json" else format_text_line
        )
        self._wall_ms = wall_ms
        self._kept: collections.deque[Decision] = collections.deque(
            maxlen=settings.kept_decisions
        )
        self._waiting: list[Decision] = []
        loguru.logger.remove()
        loguru.logger.add(
            sink,
            format="{message}",
            level=settings.level,
            colorize=False,
            backtrace=False,
            diagnose=False,
        )

    def record(
        self,
        part: Component,
        call_id: str,
        choice: str,
        reason: str,
        code: int = 0,
        weighed: tuple[balancing.ScoredTarget, ...] = (),
        attempt: int = 0,
        level: str = "INFO",
    ) -> None:
        """Records a decision; the fields are those of Decision.

        The line is written at the next `flush`, and at once from WARNING on.
        """
        decision = Decision(
            at_ms=self._wall_ms(),
            part=part,
            call_id=call_id,
            attempt=attempt,
            choice=choice,
            reason=reason,
            code=int(code),
            weighed=weighed,
            level=level,
        )
        self._kept.append(decision)
        number = _LEVELS[level]
        if number < self._level_number:
            return
        self._waiting.append(decision)
        if number >= _LEVELS["WARNING"] or len(self._waiting) >= _BATCH_LINES:
            self.flush()

    def flush(self) -> None:
        """Writes the waiting lines; to be called at each tick and at exit."""
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            text = "\n".join(map(self._format, waiting))
            loguru.logger.log(self._level, "{}", text)

    def find(self, identity: str) -> list[Decision]:
        """Returns the retained decisions on an action or a call.

        Args:
          identity: Action id or call id; nested calls are included.
        """
        below = (f"{identity}/", f"{identity}.")
        return [
            decision
            for decision in self._kept
            if decision.call_id == identity
            or decision.call_id.startswith(below)
        ]


def format_text_line(decision: Decision) -> str:
    """Returns the line of a decision for people."""
    seconds, ms = divmod(int(decision.at_ms), 1000)
    line = f"{_clock_text(seconds)}.{ms:03d} {decision.part.value}: "
    if decision.call_id:
        line += f"{decision.call_id}#{decision.attempt} "
    line += f"{decision.choice}: {decision.reason}"
    if decision.weighed:
        line += f"; weighed {format_candidates(decision.weighed)}"
    if decision.code:
        line += f"; {format_code(decision.code)}"
    # Text from outside must not start a line of its own.
    return line if line.isprintable() else _escaped(line)


def format_candidates(weighed: tuple[balancing.ScoredTarget, ...]) -> str:
    """Returns the candidates and their scores."""
    return ", ".join([f"{w.target} {w.score:.1f}" for w in weighed])


def format_code(code: int) -> str:
    """Returns the number and the name of a code; newer codes have no name."""
    return _CODE_TEXTS.get(code) or str(code)


@functools.lru_cache(maxsize=4)
def _clock_text(unix_s: int) -> str:
    return time.strftime("%H:%M:%S", time.gmtime(unix_s))


def _json_line(decision: Decision) -> str:
    return msgspec.json.encode(decision).decode()


def _escaped(line: str) -> str:
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode()
        for c in line
    )
