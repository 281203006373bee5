"""Client for the owners of actions, and for the guards that ran calls."""

import itertools

from mimosahaven import actionrecords
from mimosahaven import attempts
from mimosahaven import codes
from mimosahaven import fleet as fleet_lib
from mimosahaven import messages

Code = codes.Code

# Codes of a request that did not reach its owner or was not accepted there.
_NOT_RECEIVED_CODES = frozenset(
    {
        Code.NO_TARGET,
        Code.LINK_LOST,
        Code.WRONG_INCARNATION,
        Code.LEAVING,
        Code.STARTING,
        Code.STALE_AFTER_PAUSE,
    }
)
# Codes by which the owner reports that it could not decide about the request.
_UNDECIDED_CODES = frozenset({Code.OWNER_LOST, Code.KEY_UNSETTLED})


class OwnerClient:
    """Forwards requests to owners and sends inquiries to guards."""

    def __init__(
        self,
        target: str,
        incarnation: str,
        fleet_view: fleet_lib.FleetView,
        attempt_sender: attempts.AttemptSender,
    ):
        self._call_id_prefix = f"{target}.{incarnation}/forward"
        self._call_numbers = itertools.count(1)
        self._fleet_view = fleet_view
        self._attempt_sender = attempt_sender

    async def forward(
        self, call: messages.Call, owner: str, deadline_ms: float
    ) -> messages.Result | None:
        """Forwards a request to its owner.

        Args:
          call: The request; this method sets its call id.
          owner: Target of the owner.
          deadline_ms: Deadline on the monotonic clock.

        Returns:
          The owner's result, or None if the owner did not serve the request.
        """
        member = self._fleet_view.members.get(owner)
        if member is None:
            return None
        call.call_id = f"{self._call_id_prefix}/{next(self._call_numbers)}"
        result = await self._attempt_sender.send(
            member, call, deadline_ms, True
        )
        if _is_served(result):
            return result
        return None

    async def inquire(
        self,
        call_id: str,
        attempt_ref: actionrecords.AttemptRef,
        deadline_ms: float,
    ) -> messages.Result:
        """Inquires about a call at the guard that it was sent to."""
        member = self._fleet_view.members.get(attempt_ref.target)
        if member is None:
            return attempts.result_without_response(
                call_id, attempt_ref.attempt, Code.LINK_LOST
            )
        return await self._attempt_sender.inquire(
            member,
            attempt_ref.incarnation,
            call_id,
            attempt_ref.attempt,
            deadline_ms,
        )


def _is_served(result: messages.Result) -> bool:
    """Returns whether the owner served a forwarded request.

    Only an owner that served it sets the run state of the action. The code
    alone is ambiguous: the owner's call to the service may also have ended
    with LINK_LOST, and that result must not be replaced by OWNER_LOST.
    """
    code = Code(result.code)
    if code in _UNDECIDED_CODES:
        return False
    return bool(result.run_state) or code not in _NOT_RECEIVED_CODES
