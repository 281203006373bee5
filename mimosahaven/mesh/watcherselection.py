"""Which daemons watch the store, and from whom the others have its news.

Answers the pattern "every change wakes the whole fleet": with a watch in each
daemon, one change ends as many calls as there are daemons. Here a few daemons
of each failure domain watch, and push what they read to the others. The choice
needs no agreement: each daemon orders the targets of its domain by rendezvous
hash, and a daemon that hears of no watcher with a working store steps in.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from mimosahaven.mesh import records

# One watches, the other stands by for its loss.
WATCHERS_PER_DOMAIN = 2
# A watcher gives a sign of life this often; it costs about 30 bytes.
HEARTBEAT_INTERVAL_MS = 300.0
# Two signs may be lost. A change must be in force within 2 s, whatever has
# happened to a watcher just before.
HEARTBEAT_TIMEOUT_MS = 800.0
# The next in order steps in after the first time, each further one later, so
# that few do so at once: a subscription is settled within a few ms.
STEP_IN_MS = 200.0
STEP_IN_STEP_MS = 100.0
STEP_IN_MAX_MS = 1_000.0
# Sources that a daemon subscribes to at most, beside those that have failed.
SOURCES_MAX = 4


@dataclasses.dataclass(slots=True)
class _Source:
    """The last sign of a daemon that may watch."""

    heard_ms: float
    has_store: bool


class WatcherSelection:
    """Decides whether this daemon watches, and to whom it subscribes.

    Args:
      own_host: VM of this daemon.
      failure_domain: Where it stands.
    """

    def __init__(self, own_host: str, failure_domain: str):
        self._own_host = own_host
        self._failure_domain = failure_domain
        self._order: list[str] = [own_host]
        self._sources: dict[str, _Source] = {}
        self._without_ms: float | None = None
        self.domain_count = 1

    def set_targets(self, targets: Iterable[records.Target]) -> None:
        """Takes in the targets, whose daemons are the ones to choose from.

        Daemons beside targets that are leaving are not chosen: they are about
        to leave as well.
        """
        serving = {
            (target.failure_domain, target.host)
            for target in targets
            if target.state == records.SERVING_STATE
        }
        self.domain_count = len({domain for domain, _ in serving}) or 1
        hosts = {
            host for domain, host in serving if domain == self._failure_domain
        }
        self._order = sorted(hosts, key=self._rank) or [self._own_host]

    @property
    def is_designated(self) -> bool:
        """Whether this daemon is one of the first in order."""
        return self._own_host in self._order[:WATCHERS_PER_DOMAIN]

    @property
    def is_standby(self) -> bool:
        """Whether another watcher comes before this one."""
        return self._order[0] != self._own_host

    @property
    def domain_size(self) -> int:
        """Daemons to choose from in the own failure domain."""
        return len(self._order)

    def sources(self, now_ms: float) -> list[str]:
        """Returns the VMs to subscribe to, in order."""
        chosen: list[str] = []
        fresh = False
        for position, host in enumerate(self._order):
            if position >= WATCHERS_PER_DOMAIN and (
                fresh or len(chosen) >= SOURCES_MAX
            ):
                break
            if host == self._own_host:
                if position >= WATCHERS_PER_DOMAIN:
                    break
                continue
            chosen.append(host)
            fresh = fresh or self._is_fresh(host, now_ms)
        return chosen

    def record_heartbeat(
        self, host: str, has_store: bool, now_ms: float
    ) -> None:
        """Takes in a sign of life.

        Args:
          host: VM that gave it.
          has_store: Whether the store answers that daemon.
          now_ms: Present time.
        """
        self._sources[host] = _Source(now_ms, has_store)

    def forget(self, host: str) -> None:
        """Takes in that a source has ended or is out of reach."""
        self._sources.pop(host, None)

    def should_watch(self, now_ms: float) -> bool:
        """Returns whether this daemon is to watch the store itself."""
        if self.is_designated:
            return True
        if any(self._is_fresh(host, now_ms) for host in self.sources(now_ms)):
            self._without_ms = None
            return False
        if self._without_ms is None:
            self._without_ms = now_ms
        return now_ms - self._without_ms >= self._step_in_ms()

    def _step_in_ms(self) -> float:
        if self._own_host not in self._order:
            return STEP_IN_MAX_MS
        position = self._order.index(self._own_host) - WATCHERS_PER_DOMAIN
        return min(STEP_IN_MAX_MS, STEP_IN_MS + position * STEP_IN_STEP_MS)

    def _is_fresh(self, host: str, now_ms: float) -> bool:
        source = self._sources.get(host)
        return (
            source is not None
            and source.has_store
            and now_ms - source.heard_ms <= HEARTBEAT_TIMEOUT_MS
        )

    def _rank(self, host: str) -> int:
        return xxhash.xxh3_64_intdigest(
            f"{self._failure_domain}/{host}".encode()
        )
