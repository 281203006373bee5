"""The report of this daemon, and the dissemination of others' reports."""

import random

from mimosahaven import dissemination
from mimosahaven import fleet as fleet_lib
from mimosahaven import messages
from mimosahaven import settings as settings_lib


class SelfReports:
    """The report of this daemon, and reports of others to pass on.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of the daemon.
      fleet_view: View of the fleet, to which reports are applied.
      rng: Random source for the reports to repeat.

    Attributes:
      own: The report of this daemon.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        fleet_view: fleet_lib.FleetView,
        rng: random.Random,
    ):
        self._link = settings.link
        self._fleet_view = fleet_view
        self._updates = dissemination.DisseminationBuffer(settings.gossip, rng)
        self.own = messages.SelfReport(
            settings.target.name,
            settings.target.service,
            incarnation,
            fleet_lib.STARTING,
            1,
        )

    def set_state(self, state: str, now_ms: float) -> bool:
        """Sets this daemon's state; returns False if unchanged or LEAVING."""
        if self.own.state in (state, fleet_lib.LEAVING):
            return False
        self._replace(state, self.own.sequence + 1, now_ms)
        return True

    def apply(
        self, report: messages.SelfReport, direct: bool, now_ms: float
    ) -> bool:
        """Applies a report; returns whether it changed the fleet view.

        Args:
          report: A report about any daemon.
          direct: Whether the daemon itself sent the report. Forwarded reports
            are passed on; direct ones only in case of a restart or LEAVING.
          now_ms: Current time.
        """
        if report.target == self.own.target:
            self._refute(report, now_ms)
            return False
        previous = self._fleet_view.report_of(report.target)
        if not self._fleet_view.apply_self_report(report, now_ms):
            return False
        restarted = (
            previous is not None and previous.incarnation != report.incarnation
        )
        if not direct or restarted or report.state == fleet_lib.LEAVING:
            self._updates.add(report.target, report, now_ms)
        return True

    def take_updates(self, now_ms: float) -> list[messages.SelfReport]:
        """Returns the reports about other daemons for one digest."""
        return self._updates.take(now_ms)

    def superseding_report(
        self, report: messages.SelfReport
    ) -> messages.SelfReport | None:
        """Returns the known report of another incarnation, or None.

        That report supersedes the given one.
        """
        current = self._fleet_view.report_of(report.target)
        if current is None or current.incarnation == report.incarnation:
            return None
        return current

    def _refute(self, report: messages.SelfReport, now_ms: float) -> None:
        """Raises this daemon's sequence above that of another incarnation.

        If the member list has another address for the target, this daemon was
        replaced and must not compete with its successor.
        """
        own = self.own
        if report.incarnation == own.incarnation:
            return
        listed = self._fleet_view.members.get(own.target)
        address = (self._link.host, self._link.port)
        if listed and (listed.host, listed.link_port) != address:
            return
        if report.sequence >= own.sequence:
            self._replace(own.state, report.sequence + 1, now_ms)

    def _replace(self, state: str, sequence: int, now_ms: float) -> None:
        self.own = messages.SelfReport(
            self.own.target,
            self.own.service,
            self.own.incarnation,
            state,
            sequence,
        )
        self._fleet_view.apply_self_report(self.own, now_ms)
