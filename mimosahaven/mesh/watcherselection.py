"""Selects the daemons that watch the store and push changes to the others.

With a watch in each daemon, one change would end the watches of all daemons at
once, and the whole fleet would load the store together. Instead, updates take
up to three steps:

1. The fleet watchers, one in each of two failure domains, watch the store.
2. The relays, two in each failure domain, follow the fleet watchers. While none
   of these is live, for example in a failure domain that is cut off, the relays
   watch the store themselves.
3. All others follow the relays of their failure domain. While none of these is
   live, the next daemons in order watch the store.

The selection needs no coordination: each daemon orders the failure domains,
and the targets of a domain, by rendezvous hash. A daemon is live while its
heartbeats say that it has the store: that it watches the store and gets
responses or, as a relay, that it hears from a daemon that does. Relays count
only fleet watchers that watch the store themselves, so that daemons never rely
on each other alone, not even if their target lists differ.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from mimosahaven.mesh import records

# Number of failure domains with a fleet watcher. All of them watch the store;
# after a change, all but the first, the standbys, wait longer before their next
# watch.
FLEET_WATCHERS = 2
# Number of relays per failure domain; the first one may be a fleet watcher.
RELAYS_PER_DOMAIN = 2
# Interval of the heartbeats of a watcher, of about 30 bytes each.
HEARTBEAT_INTERVAL_MS = 300.0
# A watcher without a heartbeat for this long is considered failed. Allows for
# two lost heartbeats. A change must be in force within 2 s, even if a watcher
# has just failed.
HEARTBEAT_TIMEOUT_MS = 800.0
# Without a live fleet watcher, the relays take over after this, multiplied by
# their position in the order of their failure domain, from 1.
RELAY_TAKEOVER_DELAY_MS = 100.0
# Without a live relay, the next daemon in order takes over after the first
# delay, and each further one a step later, so that few take over at once: the
# others subscribe to the first one within a few ms.
TAKEOVER_DELAY_MS = 300.0
TAKEOVER_DELAY_STEP_MS = 100.0
TAKEOVER_DELAY_MAX_MS = 800.0
# Maximum number of sources, the daemons that a daemon subscribes to, while none
# of them is live.
SOURCES_MAX = 4


@dataclasses.dataclass(slots=True)
class _Source:
    """Last heartbeat of a daemon that this one subscribes to.

    Attributes:
      heartbeat_ms: Arrival time.
      has_store: Whether the daemon gets the changes of the store.
      watches_store: Whether it gets them from its own watch.
    """

    heartbeat_ms: float
    has_store: bool
    watches_store: bool


class WatcherSelection:
    """Decides whether this daemon watches, and to whom it subscribes.

    Args:
      local_host: VM of this daemon.
      failure_domain: Failure domain of this daemon.
    """

    def __init__(self, local_host: str, failure_domain: str):
        self._local_host = local_host
        self._failure_domain = failure_domain
        self._order: list[str] = [local_host]
        self._fleet_watchers: list[str] = [local_host]
        self._sources: dict[str, _Source] = {}
        self._no_watcher_since_ms: float | None = None

    def set_targets(self, targets: Iterable[records.Target]) -> None:
        """Updates the candidates: the daemons on the VMs of serving targets.

        Daemons on the VMs of draining targets are not candidates, because they
        are about to stop as well.
        """
        serving = {
            (target.failure_domain, target.host)
            for target in targets
            if target.state == records.SERVING_STATE
        }
        hosts: dict[str, list[str]] = {}
        for domain, host in serving:
            hosts.setdefault(domain, []).append(host)
        own_hosts = hosts.get(self._failure_domain, ())
        self._order = sorted(own_hosts, key=self._hash) or [self._local_host]
        watcher_domains = sorted(hosts, key=_hash)[:FLEET_WATCHERS]
        self._fleet_watchers = [
            min(hosts[domain], key=lambda host: _hash(f"{domain}/{host}"))
            for domain in watcher_domains
        ] or [self._local_host]

    @property
    def is_fleet_watcher(self) -> bool:
        """Whether this daemon is one of the selected fleet watchers."""
        return self._local_host in self._fleet_watchers

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is one of the relays of its failure domain."""
        return self._local_host in self._order[:RELAYS_PER_DOMAIN]

    @property
    def is_standby(self) -> bool:
        """Whether another watcher precedes this daemon in the order."""
        if self.is_fleet_watcher:
            return self._fleet_watchers[0] != self._local_host
        return self._order[0] != self._local_host

    @property
    def position(self) -> int:
        """Position of this daemon in the order of its domain, from 0."""
        if self._local_host not in self._order:
            return len(self._order)
        return self._order.index(self._local_host)

    @property
    def domain_size(self) -> int:
        """Number of candidates in this daemon's failure domain."""
        return len(self._order)

    def sources(self, now_ms: float) -> list[str]:
        """Returns the VMs to subscribe to, the preferred ones first."""
        chosen: list[str] = []
        if self.is_fleet_watcher or self.is_relay:
            chosen += [h for h in self._fleet_watchers if h != self._local_host]
        has_live = any(self._is_live(host, now_ms) for host in chosen)
        domain_count = 0
        for position, host in enumerate(self._order):
            if position >= RELAYS_PER_DOMAIN and (
                has_live or domain_count >= SOURCES_MAX
            ):
                break
            if host == self._local_host:
                if position >= RELAYS_PER_DOMAIN:
                    break
                continue
            domain_count += 1
            if host not in chosen:
                chosen.append(host)
            has_live = has_live or self._is_live(host, now_ms)
        return chosen

    def live_sources(self, now_ms: float) -> list[str]:
        """Returns the VMs whose daemons say that they have the store."""
        return [h for h in self.sources(now_ms) if self._is_live(h, now_ms)]

    def record_heartbeat(
        self, host: str, has_store: bool, watches_store: bool, now_ms: float
    ) -> None:
        """Records a heartbeat.

        Args:
          host: VM of the sender.
          has_store: Whether the sender gets the changes of the store.
          watches_store: Whether it gets them from its own watch.
          now_ms: Current time.
        """
        self._sources[host] = _Source(now_ms, has_store, watches_store)

    def forget(self, host: str) -> None:
        """Removes a source that has stopped or is unreachable."""
        self._sources.pop(host, None)

    def has_store(self, watches_store: bool, now_ms: float) -> bool:
        """Returns whether this daemon's heartbeats say that it has the store.

        Args:
          watches_store: Whether it watches the store and gets responses.
          now_ms: Current time.
        """
        return watches_store or (
            self.is_relay and self._hears_fleet_watcher(now_ms)
        )

    def should_watch(self, now_ms: float) -> bool:
        """Returns whether this daemon has to watch the store itself."""
        if self.is_fleet_watcher:
            return True
        if self.is_relay:
            is_fed = self._hears_fleet_watcher(now_ms)
        else:
            is_fed = any(
                self._is_live(host, now_ms) for host in self.sources(now_ms)
            )
        if is_fed:
            self._no_watcher_since_ms = None
            return False
        if self._no_watcher_since_ms is None:
            self._no_watcher_since_ms = now_ms
        return now_ms - self._no_watcher_since_ms >= self._takeover_delay_ms()

    def _hears_fleet_watcher(self, now_ms: float) -> bool:
        return any(
            self._is_live(host, now_ms) and self._sources[host].watches_store
            for host in self._fleet_watchers
        )

    def _takeover_delay_ms(self) -> float:
        position = self.position
        if position == len(self._order):
            return TAKEOVER_DELAY_MAX_MS
        if position < RELAYS_PER_DOMAIN:
            return RELAY_TAKEOVER_DELAY_MS * (position + 1)
        position -= RELAYS_PER_DOMAIN
        return min(
            TAKEOVER_DELAY_MAX_MS,
            TAKEOVER_DELAY_MS + position * TAKEOVER_DELAY_STEP_MS,
        )

    def _is_live(self, host: str, now_ms: float) -> bool:
        """Returns whether a daemon gets the changes of the store."""
        source = self._sources.get(host)
        return (
            source is not None
            and source.has_store
            and now_ms - source.heartbeat_ms <= HEARTBEAT_TIMEOUT_MS
        )

    def _hash(self, host: str) -> int:
        return _hash(f"{self._failure_domain}/{host}")


def _hash(text: str) -> int:
    """Returns the rendezvous hash of a failure domain, or of a VM in one."""
    return xxhash.xxh3_64_intdigest(text.encode())
