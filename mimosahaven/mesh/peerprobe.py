"""Pings the daemons on unreachable VMs until they respond."""

import asyncio

from mimosahaven.mesh import eventlog
from mimosahaven.mesh import loadbalancer as loadbalancer_lib
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import replica as replica_lib


class PeerProbe:
    """Detects when an unreachable VM is reachable again."""

    def __init__(
        self,
        balancer: loadbalancer_lib.LoadBalancer,
        peers: peerpool.PeerPool,
        replica: replica_lib.Replica,
        log: eventlog.EventLog,
    ):
        self._balancer = balancer
        self._peers = peers
        self._replica = replica
        self._log = log
        self._running = False

    async def run(self) -> None:
        """Pings each unreachable VM once, unless already in progress."""
        if self._running:
            return
        self._running = True
        try:
            hosts = self._balancer.unreachable_hosts()
            results = await asyncio.gather(*map(self._ping, hosts))
        finally:
            self._running = False
        for host, reached in zip(hosts, results, strict=True):
            if reached:
                self._balancer.set_reachable(host)
                self._log.event("peer regained", host)

    async def _ping(self, host: str) -> bool:
        return await self._peers.ping(
            host, self._replica.table_version, self._replica.directory.revision
        )
