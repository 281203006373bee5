"""Requests received by an entry and their results."""

import dataclasses

from mimosahaven import codes
from mimosahaven import messages


@dataclasses.dataclass
class IncomingCall:
    """A request received by an entry.

    Attributes:
      parent_id: Id of the call at the local target that makes this nested
        call, or empty for a request of a caller.
      remaining_ms: Time until the deadline as given by the caller, or None.
      forwarded: True when another daemon's entry received the request and
        forwarded it to this daemon as its owner.
    """

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: str = ""
    kind: str = ""
    action_id: str = ""
    key: str = ""
    parent_id: str = ""
    remaining_ms: float | None = None
    forwarded: bool = False


@dataclasses.dataclass
class ServedCall:
    """The result that an entry returns for a request.

    Attributes:
      run_state: Whether the target ran the action in any run. The code of the
        result covers only the last run.
    """

    result: messages.Result
    run_state: codes.RunState
    action_id: str = ""
    next_action_id: str = ""


def to_message(call: IncomingCall) -> messages.Call:
    """Returns the message that forwards a request to its owner.

    The sender sets call id, incarnation and times.
    """
    return messages.Call(
        call_id="",
        attempt=0,
        action_id=call.action_id,
        caller=call.caller,
        kind=call.kind,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        incarnation="",
        sent_ms=0.0,
        remaining_ms=0.0,
        budget=0,
        forwarded=True,
        key=call.key,
    )


def from_message(call: messages.Call, remaining_ms: float) -> IncomingCall:
    """Returns the request contained in a forwarded message.

    Args:
      call: The message.
      remaining_ms: Time until the deadline.
    """
    return IncomingCall(
        service=call.service,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        caller=call.caller,
        kind=call.kind,
        action_id=call.action_id,
        key=call.key,
        remaining_ms=remaining_ms,
        forwarded=True,
    )
