"""Outcomes of sending a request to one target."""

import dataclasses

from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import responsestream


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
    """

    code: codes.Code
    arrived: bool = False


@dataclasses.dataclass(slots=True)
class Failed:
    """No response was received; the request may have run."""

    code: codes.Code


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
