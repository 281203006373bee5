"""Selection of the daemons that watch the platform, and reads by the others.

A few watchers of each failure domain learn of new documents by long polls and
pass them on by gossip. The other daemons read the platform only if the watchers
fail.
"""

import random

import xxhash

from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib

# A daemon that does not watch reads both the table and the list.
CALLS_PER_READ = 2


def select_watchers(
    fleet_view: fleet_lib.FleetView, failure_domain: str, count: int
) -> list[str]:
    """Returns the first daemons of a failure domain by rendezvous hash."""

    def rank(target: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{failure_domain}/{target}".encode())

    targets = [member.target for member in fleet_view.daemons(failure_domain)]
    return sorted(targets, key=rank)[:count]


def is_watcher(
    fleet_view: fleet_lib.FleetView, settings: settings_lib.Settings
) -> bool:
    """Returns whether this daemon watches the platform.

    Without gossip, or while no daemon of the failure domain is known, every
    daemon watches.
    """
    if not settings.mechanisms.gossip:
        return True
    selected = select_watchers(
        fleet_view,
        settings.target.failure_domain,
        settings.gossip.watchers_per_domain,
    )
    return not selected or settings.target.name in selected


class ReadSchedule:
    """Schedules platform reads of a daemon that does not watch.

    It reads only if no recent contact of the watchers with the platform is
    known.

    Args:
      gossip_settings: The gossip settings.
      rng: Random source for the jitter.
      now_ms: Current time; the first read is due watcher_silence_ms later at
        the earliest.
    """

    def __init__(
        self,
        gossip_settings: settings_lib.GossipSettings,
        rng: random.Random,
        now_ms: float,
    ):
        self._gossip_settings = gossip_settings
        self._rng = rng
        self._contact_ms: float | None = None
        self._last_recent_contact_ms = now_ms
        self._next_read_ms: float | None = None

    def due(
        self, contact_ms: float | None, daemon_count: int, now_ms: float
    ) -> bool:
        """Returns whether to read now.

        Args:
          contact_ms: Last known response of the platform to any daemon.
          daemon_count: Number of daemons in the local failure domain; together
            they make at most reads_per_s_per_domain calls on average.
          now_ms: Current time.
        """
        self._record_contact(contact_ms, now_ms)
        if (
            now_ms - self._last_recent_contact_ms
            <= self._gossip_settings.watcher_silence_ms
        ):
            self._next_read_ms = None
            return False
        rate_per_s = (
            self._gossip_settings.reads_per_s_per_domain / CALLS_PER_READ
        )
        interval_ms = max(1, daemon_count) / rate_per_s * 1000
        if self._next_read_ms is None:
            self._next_read_ms = now_ms + self._rng.uniform(0, interval_ms)
        if now_ms < self._next_read_ms:
            return False
        self._next_read_ms = now_ms + self._rng.uniform(0.5, 1.5) * interval_ms
        return True

    def _record_contact(self, contact_ms: float | None, now_ms: float) -> None:
        if contact_ms is None or contact_ms == self._contact_ms:
            return
        self._contact_ms = contact_ms
        if now_ms - contact_ms < self._gossip_settings.contact_max_age_ms:
            self._last_recent_contact_ms = now_ms
