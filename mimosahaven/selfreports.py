"""The own report of a daemon, and the reports of others that it spreads."""

import random

from mimosahaven import dissemination
from mimosahaven import fleet as fleet_lib
from mimosahaven import messages
from mimosahaven import settings as settings_lib


class SelfReports:
    """The own report, and news about others.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of the daemon.
      view: View of the fleet, which reports are applied to.
      rng: Source of the choice of news.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: str,
        view: fleet_lib.FleetView,
        rng: random.Random,
    ):
        self._link = settings.link
        self._view = view
        self._news = dissemination.DisseminationBuffer(settings.gossip, rng)
        self.own = messages.SelfReport(
            settings.target.name,
            settings.target.service,
            incarnation,
            fleet_lib.STARTING,
            1,
        )

    def set_state(self, state: str, now_ms: float) -> bool:
        """Changes the own state; returns False if unchanged or LEAVING."""
        if self.own.state in (state, fleet_lib.LEAVING):
            return False
        self._change(state, self.own.sequence + 1, now_ms)
        return True

    def apply(
        self, report: messages.SelfReport, direct: bool, now_ms: float
    ) -> bool:
        """Takes in a report; returns whether it changed the view.

        Args:
          report: A report about any daemon.
          direct: True when the daemon itself sent it. Reports by others are
            passed on, and so are restarts and LEAVING.
          now_ms: Present time.
        """
        if report.target == self.own.target:
            self._refute(report, now_ms)
            return False
        old = self._view.report_of(report.target)
        if not self._view.apply_self_report(report, now_ms):
            return False
        restarted = old is not None and old.incarnation != report.incarnation
        if not direct or restarted or report.state == fleet_lib.LEAVING:
            self._news.add(report.target, report, now_ms)
        return True

    def take_updates(self, now_ms: float) -> list[messages.SelfReport]:
        """Returns reports about others for one digest."""
        return self._news.take(now_ms)

    def superseding_report(
        self, report: messages.SelfReport
    ) -> messages.SelfReport | None:
        """Returns a report of another incarnation that supersedes this."""
        known = self._view.report_of(report.target)
        if known is None or known.incarnation == report.incarnation:
            return None
        return known

    def _refute(self, report: messages.SelfReport, now_ms: float) -> None:
        """Raises the own sequence above that of an earlier incarnation.

        A daemon whose line of the list names another address was replaced
        and does not compete with its successor.
        """
        own = self.own
        if report.incarnation == own.incarnation:
            return
        listed = self._view.members.get(own.target)
        address = (self._link.host, self._link.port)
        if listed and (listed.host, listed.link_port) != address:
            return
        if report.sequence >= own.sequence:
            self._change(own.state, report.sequence + 1, now_ms)

    def _change(self, state: str, sequence: int, now_ms: float) -> None:
        self.own = messages.SelfReport(
            self.own.target,
            self.own.service,
            self.own.incarnation,
            state,
            sequence,
        )
        self._view.apply_self_report(self.own, now_ms)
