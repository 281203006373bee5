"""A daemon's view of targets, failure domains and their state."""

import dataclasses
import ipaddress

import msgspec

from mimosahaven import codes
from mimosahaven import errors
from mimosahaven import messages

# The platform's list has the states LIVE and LEAVING; a daemon reports itself
# as STARTING, READY or LEAVING.
LIVE = "live"
STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
PORT_MAX = 65_535
# Reports about targets that are not in the list are removed after this time,
# which must exceed the lag of the list.
UNLISTED_REPORT_TTL_MS = 600_000


class ListError(errors.MimosahavenError):
    """An invalid list of VMs."""

    def __init__(self, detail: str):
        super().__init__(codes.Code.LIST_INVALID, detail)


class Member(msgspec.Struct, frozen=True):
    """One entry of the platform's list of VMs.

    Attributes:
      target: Name of the target on the VM.
      host: IP address of the VM.
      entry_port: Port of the daemon for HTTP requests.
      link_port: Port of the daemon for links of other daemons.
      state: LIVE or LEAVING.
    """

    target: str
    service: str
    failure_domain: str
    region: str
    host: str
    entry_port: int
    link_port: int
    state: str = LIVE


class MemberList(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving VMs."""

    version: int
    members: list[Member]


def parse_list(text: str) -> MemberList:
    """Parses and validates the text of a list of VMs.

    Raises:
      ListError: The text is not a list, or a member is invalid.
    """
    try:
        listing = msgspec.json.decode(text, type=MemberList)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ListError(str(error)) from error
    if not 1 <= listing.version <= messages.VERSION_MAX:
        raise ListError(f"version: {listing.version}: out of range")
    seen: set[str] = set()
    for member in listing.members:
        _check_member(member)
        if member.target in seen:
            raise ListError(f"{member.target}: duplicate target")
        seen.add(member.target)
    return listing


def _check_member(member: Member) -> None:
    try:
        ipaddress.ip_address(member.host)
    except ValueError as error:
        raise ListError(f"{member.target}: {error}") from error
    for port in (member.entry_port, member.link_port):
        if not 1 <= port <= PORT_MAX:
            raise ListError(f"{member.target}: invalid port {port}")
    if member.state not in (LIVE, LEAVING):
        raise ListError(f"{member.target}: invalid state {member.state!r}")


@dataclasses.dataclass
class _KnownReport:
    """The newest report of a daemon about itself.

    Attributes:
      report: The report.
      received_ms: When the report was first received.
      replaced: True when the list has since moved the target to another
        address, so that the report is about a VM that no longer exists.
    """

    report: messages.SelfReport
    received_ms: float
    replaced: bool = False


@dataclasses.dataclass
class FleetView:
    """Targets according to the platform's list and the daemons' reports.

    Attributes:
      members: The platform's list by target name, without the states that
        daemons reported.
      version: Version of the list, 0 for none.
      contact_ms: Last known response of the platform to this daemon or,
        learned by gossip, to a daemon whose list is not newer; None for never.
      revision: Incremented with each change of the view.
    """

    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    version: int = 0
    contact_ms: float | None = None
    revision: int = 0
    _known_reports: dict[str, _KnownReport] = dataclasses.field(
        default_factory=dict
    )
    _listed_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    _live_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    _by_service: dict[str, list[Member]] = dataclasses.field(
        default_factory=dict
    )
    _by_domain: dict[str, list[Member]] = dataclasses.field(
        default_factory=dict
    )

    def apply_list(self, listing: MemberList, now_ms: float) -> bool:
        """Applies a list if it is newer; returns whether it was."""
        if listing.version <= self.version:
            return False
        old_members = self.members
        self.version = listing.version
        self.members = {member.target: member for member in listing.members}
        for target, member in self.members.items():
            old = old_members.get(target)
            if old is None:
                self._listed_since_ms[target] = now_ms
            elif (old.host, old.link_port) != (member.host, member.link_port):
                self._live_since_ms.pop(target, None)
                if target in self._known_reports:
                    self._known_reports[target].replaced = True
        self._remove_unlisted(now_ms)
        self._rebuild_indexes(now_ms)
        return True

    def apply_self_report(
        self, report: messages.SelfReport, now_ms: float
    ) -> bool:
        """Applies a daemon's report about itself; returns whether it is newer.

        The higher sequence wins, also between incarnations: a daemon that
        receives a report of an earlier incarnation of itself raises its
        sequence above it. Within one incarnation, LEAVING is final whatever
        the sequence.
        """
        known = self._known_reports.get(report.target)
        if known and not _supersedes(report, known.report):
            return False
        was_leaving = self.is_leaving(report.target)
        restarted = known and known.report.incarnation != report.incarnation
        replaced = known.replaced if known and not restarted else False
        self._known_reports[report.target] = _KnownReport(
            report, now_ms, replaced
        )
        if self.is_leaving(report.target) != was_leaving:
            self._rebuild_indexes(now_ms)
        elif restarted and report.target in self._live_since_ms:
            self._live_since_ms[report.target] = now_ms
        self.revision += 1
        return True

    def targets(self, service: str) -> list[Member]:
        """Returns the live targets of a service; do not modify the list."""
        return self._by_service.get(service, [])

    def daemons(self, failure_domain: str) -> list[Member]:
        """Returns the live daemons of a domain; do not modify the list."""
        return self._by_domain.get(failure_domain, [])

    def failure_domains(self) -> list[str]:
        """Returns the failure domains that have live daemons, sorted."""
        return sorted(self._by_domain)

    def is_leaving(self, target: str) -> bool:
        """Whether the list or the daemon's own report says it is leaving."""
        member = self.members.get(target)
        if member and member.state == LEAVING:
            return True
        known = self._known_reports.get(target)
        return (
            known is not None
            and known.report.state == LEAVING
            and not known.replaced
        )

    def report_of(self, target: str) -> messages.SelfReport | None:
        """Returns the newest report of a daemon about itself, or None."""
        known = self._known_reports.get(target)
        return known.report if known else None

    def incarnation_of(self, target: str) -> str:
        """Returns the last known incarnation of a daemon, "" for none."""
        known = self._known_reports.get(target)
        return known.report.incarnation if known and not known.replaced else ""

    def listed_since_ms(self, target: str) -> float | None:
        """Returns when the target was first listed, None if not listed."""
        return self._listed_since_ms.get(target)

    def live_since_ms(self, target: str) -> float | None:
        """Returns since when the target is known to be live, for slow start.

        A new incarnation, another address and a return from LEAVING reset
        this time; the first report about a target does not, since it does not
        indicate a restart. None when the target is not live.
        """
        return self._live_since_ms.get(target)

    def record_contact(self, contact_ms: float) -> None:
        """Records a response of the platform, by this daemon's clock."""
        if self.contact_ms is None or contact_ms > self.contact_ms:
            self.contact_ms = contact_ms

    def platform_age_ms(self, now_ms: float) -> float:
        """Returns the age of the last platform contact, -1 for never."""
        if self.contact_ms is None:
            return -1.0
        return max(0.0, now_ms - self.contact_ms)

    def _rebuild_indexes(self, now_ms: float) -> None:
        self.revision += 1
        self._by_service, self._by_domain = {}, {}
        for target, member in self.members.items():
            if self.is_leaving(target):
                self._live_since_ms.pop(target, None)
                continue
            self._live_since_ms.setdefault(target, now_ms)
            self._by_service.setdefault(member.service, []).append(member)
            self._by_domain.setdefault(member.failure_domain, []).append(member)

    def _remove_unlisted(self, now_ms: float) -> None:
        for times in (self._listed_since_ms, self._live_since_ms):
            for target in times.keys() - self.members.keys():
                del times[target]
        for target in self._known_reports.keys() - self.members.keys():
            if (
                now_ms - self._known_reports[target].received_ms
                > UNLISTED_REPORT_TTL_MS
            ):
                del self._known_reports[target]


def _supersedes(new: messages.SelfReport, old: messages.SelfReport) -> bool:
    if new.incarnation == old.incarnation:
        if old.state == LEAVING:
            return False
        return new.state == LEAVING or new.sequence > old.sequence
    return (new.sequence, new.incarnation) > (old.sequence, old.incarnation)
