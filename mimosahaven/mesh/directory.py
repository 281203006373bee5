"""The targets of the mesh, as far as this daemon knows."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosahaven.mesh import records

# Entries that lapse while the store is away are written again within two
# seconds of its return by targets that live; the platform's pages say so.
LAPSE_GRACE_MS = 2_300.0


class TargetDirectory:
    """A replica of the platform's list of targets.

    Attributes:
      revision: Revision of the store up to which the replica is complete.
    """

    def __init__(self):
        self.revision = 0
        self._targets: dict[str, records.Target] = {}
        self._missing: dict[str, float] = {}
        self._by_service: dict[str, tuple[records.Target, ...]] = {}
        self._by_address: dict[tuple[str, int], records.Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    @property
    def targets(self) -> tuple[records.Target, ...]:
        """All entries."""
        return tuple(self._targets.values())

    def replace(
        self,
        targets: Iterable[records.Target],
        revision: int,
        now_ms: float,
        after_outage: bool,
    ) -> bool:
        """Takes in a complete list.

        Args:
          targets: All entries.
          revision: Revision of the list.
          now_ms: Present time.
          after_outage: Whether the store was away just before; entries that
            are missing are then kept for LAPSE_GRACE_MS.

        Returns:
          Whether the list was newer than the replica.
        """
        if revision < self.revision:
            return False
        new = {target.target_id: target for target in targets}
        # What is listed is not missing, whatever an earlier list lacked.
        missing: dict[str, float] = {}
        if after_outage:
            for target_id in self._targets:
                if target_id not in new:
                    missing[target_id] = self._missing.get(
                        target_id, now_ms + LAPSE_GRACE_MS
                    )
            new |= {i: self._targets[i] for i in missing}
        self._targets = new
        self._missing = missing
        self.revision = revision
        self._forget_indexes()
        return True

    def replace_from_peer(
        self,
        targets: Iterable[records.Target],
        revision: int,
        lapsing: Mapping[str, float],
        now_ms: float,
    ) -> None:
        """Takes in the complete list of another daemon.

        Args:
          targets: All entries.
          revision: Revision of the list.
          lapsing: Entries that the store lacks since an outage, with the time
            in ms for which they are still kept.
          now_ms: Present time.
        """
        self.replace(targets, revision, now_ms, False)
        for target_id, left_ms in lapsing.items():
            self.mark_lapsing(target_id, now_ms + left_ms)

    def mark_lapsing(self, target_id: str, until_ms: float) -> None:
        """Keeps an entry that the store lacks since an outage up to a time."""
        if target_id in self._targets:
            self._missing.setdefault(target_id, until_ms)

    def lapsing(self, now_ms: float) -> dict[str, float]:
        """Returns the entries kept after an outage, with the time left."""
        return {
            target_id: max(0.0, until_ms - now_ms)
            for target_id, until_ms in self._missing.items()
        }

    def revision_of(self, target_id: str) -> int:
        """Returns the revision of an entry, 0 for none."""
        target = self._targets.get(target_id)
        return target.revision if target else 0

    def put(self, target: records.Target) -> None:
        """Takes in a new or changed entry."""
        self._targets[target.target_id] = target
        self._missing.pop(target.target_id, None)
        self._forget_indexes()

    def remove(
        self, target_id: str, now_ms: float, after_outage: bool
    ) -> records.Target | None:
        """Removes an entry, later when the store was away just before.

        Returns:
          The entry that is gone now, or None.
        """
        if target_id not in self._targets:
            return None
        if after_outage:
            self.mark_lapsing(target_id, now_ms + LAPSE_GRACE_MS)
            return None
        self._missing.pop(target_id, None)
        self._forget_indexes()
        return self._targets.pop(target_id)

    def expire(self, now_ms: float) -> list[records.Target]:
        """Removes the entries whose grace is over and returns them."""
        if not self._missing:
            return []
        due = [i for i, until in self._missing.items() if until <= now_ms]
        for target_id in due:
            del self._missing[target_id]
        if due:
            self._forget_indexes()
        return [self._targets.pop(target_id) for target_id in due]

    def serving(self, service: str) -> tuple[records.Target, ...]:
        """Returns the targets of a service that take new work.

        When an address has passed to another target, the newest entry counts.
        """
        found = self._by_service.get(service)
        if found is None:
            newest = self._newest_by_address()
            found = tuple(
                target
                for target in newest.values()
                if target.service == service
                and target.state == records.SERVING_STATE
            )
            self._by_service[service] = found
        return found

    def at_address(self, host: str, port: int) -> records.Target | None:
        """Returns the newest entry with an address."""
        return self._newest_by_address().get((host, port))

    def hosts(self) -> set[str]:
        """Returns the VMs with a target."""
        return {target.host for target in self._targets.values()}

    def _forget_indexes(self) -> None:
        self._by_service.clear()
        self._by_address.clear()

    def _newest_by_address(self) -> dict[tuple[str, int], records.Target]:
        newest = self._by_address
        if newest:
            return newest
        for target in self._targets.values():
            address = (target.host, target.port)
            other = newest.get(address)
            if other is None or target.revision > other.revision:
                newest[address] = target
        return newest
