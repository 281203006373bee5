"""Selects the daemons that watch the store and push changes to the others.

With a watch in each daemon, one change would end the watches of all daemons at
once, and the whole fleet would load the store together. Instead, a few daemons
of each failure domain watch the store and push the changes to the others. The
selection needs no coordination: each daemon orders the targets of its domain
by rendezvous hash, and a daemon that gets no heartbeat from a watcher with a
working store takes over.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from mimosahaven.mesh import records

# Number of watchers selected per failure domain. Both watch the store; after a
# change, the second one, the standby, waits longer before its next watch.
WATCHERS_PER_DOMAIN = 2
# Interval of the heartbeats of a watcher, of about 30 bytes each.
HEARTBEAT_INTERVAL_MS = 300.0
# A watcher without a heartbeat for this long is considered failed. Allows for
# two lost heartbeats. A change must be in force within 2 s, even if a watcher
# has just failed.
HEARTBEAT_TIMEOUT_MS = 800.0
# Without a live watcher, the next daemon in order takes over after the first
# delay, and each further one a step later, so that few take over at once: the
# others subscribe to the first one within a few ms.
TAKEOVER_DELAY_MS = 200.0
TAKEOVER_DELAY_STEP_MS = 100.0
TAKEOVER_DELAY_MAX_MS = 1_000.0
# Maximum number of sources, the daemons that a daemon subscribes to, while none
# of them is live.
SOURCES_MAX = 4


@dataclasses.dataclass(slots=True)
class _Source:
    """Last heartbeat of a daemon that this one subscribes to.

    Attributes:
      heartbeat_ms: Arrival time.
      has_store: Whether the daemon watches the store and gets responses.
    """

    heartbeat_ms: float
    has_store: bool


class WatcherSelection:
    """Decides whether this daemon watches, and to whom it subscribes.

    Args:
      local_host: VM of this daemon.
      failure_domain: Failure domain of this daemon.

    Attributes:
      domain_count: Number of failure domains with serving targets.
    """

    def __init__(self, local_host: str, failure_domain: str):
        self._local_host = local_host
        self._failure_domain = failure_domain
        self._order: list[str] = [local_host]
        self._sources: dict[str, _Source] = {}
        self._no_watcher_since_ms: float | None = None
        self.domain_count = 1

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
        self.domain_count = len({domain for domain, _ in serving}) or 1
        hosts = {
            host for domain, host in serving if domain == self._failure_domain
        }
        self._order = sorted(hosts, key=self._hash) or [self._local_host]

    @property
    def is_designated(self) -> bool:
        """Whether this daemon is one of the selected watchers."""
        return self._local_host in self._order[:WATCHERS_PER_DOMAIN]

    @property
    def is_standby(self) -> bool:
        """Whether another watcher precedes this daemon in the order."""
        return self._order[0] != self._local_host

    @property
    def domain_size(self) -> int:
        """Number of candidates in this daemon's failure domain."""
        return len(self._order)

    def sources(self, now_ms: float) -> list[str]:
        """Returns the VMs to subscribe to, in rendezvous order."""
        chosen: list[str] = []
        has_live = False
        for position, host in enumerate(self._order):
            if position >= WATCHERS_PER_DOMAIN and (
                has_live or len(chosen) >= SOURCES_MAX
            ):
                break
            if host == self._local_host:
                if position >= WATCHERS_PER_DOMAIN:
                    break
                continue
            chosen.append(host)
            has_live = has_live or self._is_live(host, now_ms)
        return chosen

    def record_heartbeat(
        self, host: str, has_store: bool, now_ms: float
    ) -> None:
        """Records a heartbeat.

        Args:
          host: VM of the sender.
          has_store: Whether the sender watches the store and gets responses.
          now_ms: Current time.
        """
        self._sources[host] = _Source(now_ms, has_store)

    def forget(self, host: str) -> None:
        """Removes a source that has stopped or is unreachable."""
        self._sources.pop(host, None)

    def should_watch(self, now_ms: float) -> bool:
        """Returns whether this daemon has to watch the store itself."""
        if self.is_designated:
            return True
        if any(self._is_live(host, now_ms) for host in self.sources(now_ms)):
            self._no_watcher_since_ms = None
            return False
        if self._no_watcher_since_ms is None:
            self._no_watcher_since_ms = now_ms
        return now_ms - self._no_watcher_since_ms >= self._takeover_delay_ms()

    def _takeover_delay_ms(self) -> float:
        if self._local_host not in self._order:
            return TAKEOVER_DELAY_MAX_MS
        position = self._order.index(self._local_host) - WATCHERS_PER_DOMAIN
        return min(
            TAKEOVER_DELAY_MAX_MS,
            TAKEOVER_DELAY_MS + position * TAKEOVER_DELAY_STEP_MS,
        )

    def _is_live(self, host: str, now_ms: float) -> bool:
        """Returns whether a daemon currently watches a working store."""
        source = self._sources.get(host)
        return (
            source is not None
            and source.has_store
            and now_ms - source.heartbeat_ms <= HEARTBEAT_TIMEOUT_MS
        )

    def _hash(self, host: str) -> int:
        """Returns the rendezvous hash of a VM for this failure domain."""
        return xxhash.xxh3_64_intdigest(
            f"{self._failure_domain}/{host}".encode()
        )
