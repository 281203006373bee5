"""How one send of a request to one target has ended."""

import dataclasses

from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import responsestream


@dataclasses.dataclass(slots=True)
class Answered:
    """The target answers; the body may still be on its way."""

    stream: responsestream.ResponseStream


@dataclasses.dataclass(slots=True)
class Refused:
    """It has not run and never will.

    Attributes:
      code: Why.
      arrived: Whether the target itself has refused it.
    """

    code: codes.Code
    arrived: bool = False


@dataclasses.dataclass(slots=True)
class Failed:
    """It may have run; there is no answer."""

    code: codes.Code


Outcome = Answered | Refused | Failed


@dataclasses.dataclass(slots=True)
class Send:
    """A run and what else concerns its sender.

    Attributes:
      run: The message.
      deadline_ms: Deadline on the clock of this daemon.
      root_ms: When the root request began, on the clock of this daemon.
    """

    run: frames.Run
    deadline_ms: float
    root_ms: float
