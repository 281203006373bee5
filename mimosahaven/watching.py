"""Who watches the platform, and when the others read it by themselves."""

import random

import xxhash

from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib

# A read by itself takes the table and the list.
CALLS_PER_READ = 2


def select_watchers(
    view: fleet_lib.FleetView, failure_domain: str, count: int
) -> list[str]:
    """Returns the first daemons of a failure domain by rendezvous hash."""

    def rank(target: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{failure_domain}/{target}".encode())

    targets = [member.target for member in view.daemons(failure_domain)]
    return sorted(targets, key=rank)[:count]


def is_watcher(
    view: fleet_lib.FleetView, settings: settings_lib.Settings
) -> bool:
    """Whether this daemon watches the platform.

    Without gossip, or while no daemon of the failure domain is known, each
    daemon watches.
    """
    if not settings.mechanisms.gossip:
        return True
    chosen = select_watchers(
        view,
        settings.target.failure_domain,
        settings.gossip.watchers_per_domain,
    )
    return not chosen or settings.target.name in chosen


class ReadSchedule:
    """When a daemon that does not watch reads the platform by itself.

    Args:
      limits: The gossip settings.
      rng: Source of the jitter.
      now_ms: Present time; the first read is due watcher_silence_ms later at
        the earliest.
    """

    def __init__(
        self,
        limits: settings_lib.GossipSettings,
        rng: random.Random,
        now_ms: float,
    ):
        self._limits = limits
        self._rng = rng
        self._contact_ms: float | None = None
        self._heard_ms = now_ms
        self._next_ms: float | None = None

    def due(
        self, contact_ms: float | None, daemons: int, now_ms: float
    ) -> bool:
        """Returns whether to read now.

        Args:
          contact_ms: Last known answer of the platform to any daemon.
          daemons: Daemons in the own failure domain; together they make at
            most reads_per_s_per_domain calls on average.
          now_ms: Present time.
        """
        self._note_contact(contact_ms, now_ms)
        if now_ms - self._heard_ms <= self._limits.watcher_silence_ms:
            self._next_ms = None
            return False
        rate_per_s = self._limits.reads_per_s_per_domain / CALLS_PER_READ
        interval_ms = max(1, daemons) / rate_per_s * 1000
        if self._next_ms is None:
            self._next_ms = now_ms + self._rng.uniform(0, interval_ms)
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + self._rng.uniform(0.5, 1.5) * interval_ms
        return True

    def _note_contact(self, contact_ms: float | None, now_ms: float) -> None:
        if contact_ms is None or contact_ms == self._contact_ms:
            return
        self._contact_ms = contact_ms
        if now_ms - contact_ms < self._limits.contact_max_age_ms:
            self._heard_ms = now_ms
