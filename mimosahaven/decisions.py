"""Decision log: one short line for each decision of the daemon."""

import collections
import enum
import functools
import time
from collections.abc import Callable

import loguru
import msgspec

from mimosahaven import balancing
from mimosahaven import codes
from mimosahaven import settings as settings_lib

# A loguru call costs several times as much as formatting the line. Lines are
# therefore written in batches, at each tick or when this many are pending.
_BATCH_LINES = 64
_CODE_TEXTS = {int(code): f"{int(code)} {code.name}" for code in codes.Code}
_LEVELS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}


class Component(enum.Enum):
    """Component that makes a decision; its log lines start with the value."""

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
      part: Component that made the decision.
      call_id: Call or action that the decision is about, or "".
      attempt: Number of the attempt, from 0.
      choice: What was chosen, for example "to presse-2" or "refused".
      reason: Why it was chosen.
      code: Result code, 0 when there is none.
      weighed: Candidates that were compared, with their scores.
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
    """Response to `GET /-/decisions?action=ID`.

    Attributes:
      target: Target of the daemon.
      decisions: Retained decisions about the action, oldest first.
    """

    target: str
    decisions: list[Decision]


def encode_page(page: DecisionPage) -> bytes:
    """Encodes the response to a request for decisions as JSON."""
    return msgspec.json.encode(page)


class DecisionLog:
    """Logs decisions and retains the most recent ones.

    Args:
      settings: Format, level and number of retained decisions.
      sink: Called with the text of one or more lines.
      wall_ms: Wall clock; monotonic clocks of different daemons cannot be
        compared.
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
            _format_json_line if settings.format == "json" else format_text_line
        )
        self._wall_ms = wall_ms
        self._retained: collections.deque[Decision] = collections.deque(
            maxlen=settings.kept_decisions
        )
        self._pending: list[Decision] = []
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
        component: Component,
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
            part=component,
            call_id=call_id,
            attempt=attempt,
            choice=choice,
            reason=reason,
            code=int(code),
            weighed=weighed,
            level=level,
        )
        self._retained.append(decision)
        level_number = _LEVELS[level]
        if level_number < self._level_number:
            return
        self._pending.append(decision)
        if (
            level_number >= _LEVELS["WARNING"]
            or len(self._pending) >= _BATCH_LINES
        ):
            self.flush()

    def flush(self) -> None:
        """Writes the pending lines; called at each tick and at exit."""
        if self._pending:
            pending, self._pending = self._pending, []
            text = "\n".join(map(self._format, pending))
            loguru.logger.log(self._level, "{}", text)

    def find(self, identity: str) -> list[Decision]:
        """Returns the retained decisions about an action or a call.

        Args:
          identity: Action id or call id; nested calls are included.
        """
        nested_prefixes = (f"{identity}/", f"{identity}.")
        return [
            decision
            for decision in self._retained
            if decision.call_id == identity
            or decision.call_id.startswith(nested_prefixes)
        ]


def format_text_line(decision: Decision) -> str:
    """Returns the human-readable log line of a decision."""
    seconds, ms = divmod(int(decision.at_ms), 1000)
    line = f"{_format_time(seconds)}.{ms:03d} {decision.part.value}: "
    if decision.call_id:
        line += f"{decision.call_id}#{decision.attempt} "
    line += f"{decision.choice}: {decision.reason}"
    if decision.weighed:
        line += f"; weighed {format_candidates(decision.weighed)}"
    if decision.code:
        line += f"; {format_code(decision.code)}"
    # Untrusted text must not be able to forge a log line with a line break.
    return line if line.isprintable() else _escape_unprintable(line)


def format_candidates(weighed: tuple[balancing.ScoredTarget, ...]) -> str:
    """Returns the candidates and their scores as text."""
    return ", ".join([f"{w.target} {w.score:.1f}" for w in weighed])


def format_code(code: int) -> str:
    """Returns a code as number and name; newer releases' codes have no name."""
    return _CODE_TEXTS.get(code) or str(code)


@functools.lru_cache(maxsize=4)
def _format_time(unix_s: int) -> str:
    return time.strftime("%H:%M:%S", time.gmtime(unix_s))


def _format_json_line(decision: Decision) -> str:
    return msgspec.json.encode(decision).decode()


def _escape_unprintable(line: str) -> str:
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode()
        for c in line
    )
