"""The sends of one request so far, and which targets may get it next.

A request may be sent to a bounded number of targets. One that has refused it
has not run it, and may be asked again: where all targets of a service refuse
at random, a call to any of them succeeds in the end.
"""

from collections.abc import Collection
from collections.abc import Sequence

from mimosahaven import codes
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import records

# Sends of one request that daemons may refuse; they concern other daemons.
DAEMON_REFUSALS_MAX = 4
# Sends that targets may refuse. With six refusals of ten runs, as seen, more
# than 98 of 100 calls succeed within this number.
TARGET_SENDS_MAX = 8


class SendHistory:
    """Where a request has been sent, with what outcome.

    Attributes:
      send_count: Sends.
      avoided: Targets that must not get it again, or said that others should.
      arrived: Targets that it has arrived at.
    """

    def __init__(self, targets_max: int):
        self._targets_max = targets_max
        self._arrived_count = 0
        self._refused_by: set[str] = set()
        self.send_count = 0
        self.excluded: set[str] = set()
        self.arrived: set[str] = set()

    @property
    def is_exhausted(self) -> bool:
        """Whether no further send is worth it."""
        unarrived = self.send_count - self._arrived_count
        return (
            unarrived >= DAEMON_REFUSALS_MAX
            or self._arrived_count >= TARGET_SENDS_MAX
            or self._targets_max <= len(self.arrived & self.excluded)
        )

    def has_refused(self, target_id: str) -> bool:
        """Returns whether a target has refused this request before."""
        return target_id in self._refused_by

    def candidates(
        self, serving: Sequence[records.Target]
    ) -> Collection[records.Target]:
        """Returns the targets that may get it, of those that take work."""
        if len(self.arrived) >= self._targets_max:
            return [t for t in serving if t.target_id in self.arrived]
        # A target that it has not been at goes first.
        fresh = [t for t in serving if t.target_id not in self.arrived]
        return fresh or serving

    def record(
        self, target_id: str, outcome: outcomes.Refused | outcomes.Failed
    ) -> None:
        """Takes in the outcome of a send that gave no answer."""
        self.send_count += 1
        if isinstance(outcome, outcomes.Failed) or outcome.arrived:
            self._arrived_count += 1
            self.arrived.add(target_id)
        if outcome.code is codes.Code.TARGET_REFUSED:
            self._refused_by.add(target_id)
        else:
            self.excluded.add(target_id)
