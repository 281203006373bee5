"""Membership state of a daemon for the status page."""

import msgspec


class MembershipStatus(msgspec.Struct):
    """Membership state of one daemon.

    Attributes:
      table_faults: One line for each refused table, until a newer table is
        in force.
      list_fault: Why the last list of VMs was refused; empty if it was not.
      platform_age_ms: Age of the last platform contact, -1 if there was none.
      watching: Whether this daemon watches the platform.
    """

    state: str
    ready: bool
    table_version: int
    table_hash: str
    table_source: str
    table_faults: list[str]
    list_version: int
    list_fault: str
    platform_age_ms: float
    watching: bool
