"""The daemon's view of targets, failure domains and their state."""

import dataclasses

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One line of the platform's list of VMs."""

    target: str
    service: str
    failure_domain: str
    region: str
    host: str
    entry_port: int
    link_port: int
    state: str = "live"


class MemberList(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving VMs."""

    version: int
    members: list[Member]


@dataclasses.dataclass
class FleetView:
    """Targets as the platform's list and the daemons themselves tell."""

    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    version: int = 0

    def apply_list(self, listing: MemberList, now_ms: float) -> bool:
        """Takes in a newer list; returns whether it was newer."""
        del now_ms
        if listing.version <= self.version:
            return False
        self.version = listing.version
        self.members = {member.target: member for member in listing.members}
        return True

    def targets(self, service: str) -> list[Member]:
        """Returns the live targets of a service."""
        return [
            m
            for m in self.members.values()
            if m.service == service and m.state == "live"
        ]
