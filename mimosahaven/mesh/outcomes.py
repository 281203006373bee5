"""Outcomes of sending a request to one target."""

import dataclasses

from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import responsestream

Code = codes.Code

# Refusals by a daemon that do not indicate load. The target is avoided for a
# short time.
UNAVAILABLE_CODES = frozenset(
    {
        Code.LEAVING,
        Code.STARTING,
        Code.TARGET_DOWN,
        Code.STALE_AFTER_PAUSE,
        Code.WRONG_INCARNATION,
        Code.BARRED,
        Code.LINK_LOST,
    }
)
# Refusals that would be the same at every other daemon.
FINAL_CODES = frozenset(
    {Code.DEADLINE_BEFORE_RUN, Code.DISPLACED, Code.QUARANTINED}
)


@dataclasses.dataclass(slots=True)
class Answered:
    """The target has responded; the body may still be in transit."""

    stream: responsestream.ResponseStream


@dataclasses.dataclass(slots=True)
class Refused:
    """The request was refused; it has not run and never will.

    Attributes:
      code: Result code, which gives the reason.
      arrived: Whether the target itself refused it, and not its daemon.
      queued: Whether it had been waiting in the queue of the daemon.
    """

    code: Code
    arrived: bool = False
    queued: bool = False


@dataclasses.dataclass(slots=True)
class Failed:
    """No response was received; the request may have run."""

    code: Code


Outcome = Answered | Refused | Failed


@dataclasses.dataclass(slots=True)
class Send:
    """A run to be sent, with its times on the clock of this daemon.

    Attributes:
      run: The message.
      deadline_ms: Deadline of the run.
      root_ms: Start time of the root request.
    """

    run: frames.Run
    deadline_ms: float
    root_ms: float
