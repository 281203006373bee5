"""Reaches the owners of actions and the guards that ran them."""

import itertools

from mimosahaven import actionrecords
from mimosahaven import attempts
from mimosahaven import codes
from mimosahaven import fleet as fleet_lib
from mimosahaven import messages

Code = codes.Code

# Codes of a request that did not reach its owner, or was not taken in there.
_NOT_SERVED = frozenset(
    {
        Code.NO_TARGET,
        Code.LINK_LOST,
        Code.WRONG_INCARNATION,
        Code.LEAVING,
        Code.STARTING,
        Code.STALE_AFTER_PAUSE,
    }
)
# The owner refused to decide.
_UNDECIDED = frozenset({Code.OWNER_LOST, Code.KEY_UNSETTLED})


class OwnerClient:
    """Sends requests to owners and inquiries to guards."""

    def __init__(
        self,
        target: str,
        incarnation: str,
        fleet: fleet_lib.FleetView,
        sender: attempts.AttemptSender,
    ):
        self._prefix = f"{target}.{incarnation}/forward"
        self._numbers = itertools.count(1)
        self._fleet = fleet
        self._sender = sender

    async def forward(
        self, call: messages.Call, owner: str, deadline_ms: float
    ) -> messages.Result | None:
        """Sends a request to its owner.

        Args:
          call: The request; its call id is set here.
          owner: Target of the owner.
          deadline_ms: Deadline on the monotonic clock.

        Returns:
          The owner's result, or None when the owner did not serve it.
        """
        member = self._fleet.members.get(owner)
        if member is None:
            return None
        call.call_id = f"{self._prefix}/{next(self._numbers)}"
        result = await self._sender.send(member, call, deadline_ms, True)
        if _is_served(result):
            return result
        return None

    async def inquire(
        self,
        call_id: str,
        attempt_ref: actionrecords.AttemptRef,
        deadline_ms: float,
    ) -> messages.Result:
        """Asks the guard that a call was sent to what became of it."""
        member = self._fleet.members.get(attempt_ref.target)
        if member is None:
            return attempts.result_without_response(
                call_id, attempt_ref.attempt, Code.LINK_LOST
            )
        return await self._sender.inquire(
            member,
            attempt_ref.incarnation,
            call_id,
            attempt_ref.attempt,
            deadline_ms,
        )


def _is_served(result: messages.Result) -> bool:
    """Returns whether the owner served a forwarded request.

    Only an owner that served it states the run state of the action. The code
    alone does not tell: the owner's own call may have ended with LINK_LOST
    as well, and its outcome must not be replaced by OWNER_LOST.
    """
    code = Code(result.code)
    if code in _UNDECIDED:
        return False
    return bool(result.run_state) or code not in _NOT_SERVED
