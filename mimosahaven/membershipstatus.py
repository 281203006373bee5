"""State of the membership for the status page."""

import msgspec


class MembershipStatus(msgspec.Struct):
    """State of the membership of one daemon.

    Attributes:
      table_faults: One line for each refused table that no newer one has
        settled.
      platform_age_ms: Age of the last platform contact, -1 for never.
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
