"""Local replica of the list of targets in the mesh."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from mimosahaven.mesh import records

# Time for which entries missing from the store after an outage are kept. The
# platform's documentation states that live targets whose entries expired during
# the outage rewrite them within two seconds of the store's return.
LAPSE_GRACE_MS = 2_300.0
# Bounds the memory of targets that leave; the oldest ones are forgotten first,
# long after they have gone.
LEAVING_MAX = 4_096


class TargetDirectory:
    """A replica of the platform's list of targets.

    An entry that is missing from the store after an outage is lapsing: its
    target may be live, so it is kept for LAPSE_GRACE_MS.

    A target that has announced that it leaves does not serve again before it is
    started anew, whatever its entry says.

    Attributes:
      revision: Store revision up to which the replica is complete.
    """

    def __init__(self):
        self.revision = 0
        self._targets: dict[str, records.Target] = {}
        self._lapsing: dict[str, float] = {}
        self._leaving: collections.OrderedDict[records.Incarnation, None] = (
            collections.OrderedDict()
        )
        self._by_service: dict[str, tuple[records.Target, ...]] = {}
        self._by_address: dict[tuple[str, int], records.Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    @property
    def targets(self) -> tuple[records.Target, ...]:
        """All known targets."""
        return tuple(self._targets.values())

    def replace(
        self,
        targets: Iterable[records.Target],
        revision: int,
        now_ms: float,
        after_outage: bool,
    ) -> bool:
        """Replaces all entries by a complete list.

        Args:
          targets: All entries.
          revision: Revision of the list.
          now_ms: Current time.
          after_outage: Whether the store has just returned from an outage;
            missing entries are then kept for LAPSE_GRACE_MS.

        Returns:
          Whether the list was applied; a list older than the replica is not.
        """
        if revision < self.revision:
            return False
        new = {target.target_id: target for target in targets}
        # A listed entry is no longer lapsing, even if an earlier list lacked
        # it.
        lapsing: dict[str, float] = {}
        if after_outage:
            for target_id in self._targets:
                if target_id not in new:
                    lapsing[target_id] = self._lapsing.get(
                        target_id, now_ms + LAPSE_GRACE_MS
                    )
            new |= {
                lapsing_id: self._targets[lapsing_id] for lapsing_id in lapsing
            }
        self._targets = new
        self._lapsing = lapsing
        self.revision = revision
        self._clear_indexes()
        return True

    def replace_from_peer(
        self,
        targets: Iterable[records.Target],
        revision: int,
        lapsing: Mapping[str, float],
        now_ms: float,
    ) -> None:
        """Replaces all entries by the complete list of another daemon.

        Args:
          targets: All entries.
          revision: Revision of the list.
          lapsing: Entries missing from the store since an outage, with the
            time in ms for which they are still kept.
          now_ms: Current time.
        """
        self.replace(targets, revision, now_ms, False)
        for target_id, remaining_ms in lapsing.items():
            self.mark_lapsing(target_id, now_ms + remaining_ms)

    def mark_lapsing(self, target_id: str, until_ms: float) -> None:
        """Schedules the removal of an entry missing since a store outage."""
        if target_id in self._targets:
            self._lapsing.setdefault(target_id, until_ms)

    def lapsing(self, now_ms: float) -> dict[str, float]:
        """Returns the lapsing entries with their remaining times in ms."""
        return {
            target_id: max(0.0, until_ms - now_ms)
            for target_id, until_ms in self._lapsing.items()
        }

    def revision_of(self, target_id: str) -> int:
        """Returns the revision of an entry, 0 for none."""
        target = self._targets.get(target_id)
        return target.revision if target else 0

    def put(self, target: records.Target) -> None:
        """Adds or replaces an entry; it is then no longer lapsing."""
        self._targets[target.target_id] = target
        self._lapsing.pop(target.target_id, None)
        self._clear_indexes()

    def remove(
        self, target_id: str, now_ms: float, after_outage: bool
    ) -> records.Target | None:
        """Removes an entry, or marks it as lapsing after a store outage.

        Returns:
          The removed entry, or None if it is unknown or lapsing.
        """
        if target_id not in self._targets:
            return None
        if after_outage:
            self.mark_lapsing(target_id, now_ms + LAPSE_GRACE_MS)
            return None
        self._lapsing.pop(target_id, None)
        self._clear_indexes()
        return self._targets.pop(target_id)

    def expire(self, now_ms: float) -> list[records.Target]:
        """Removes and returns the entries whose grace period is over."""
        if not self._lapsing:
            return []
        due = [
            lapsing_id
            for lapsing_id, until_ms in self._lapsing.items()
            if until_ms <= now_ms
        ]
        for target_id in due:
            del self._lapsing[target_id]
        if due:
            self._clear_indexes()
        return [self._targets.pop(target_id) for target_id in due]

    def serving(self, service: str) -> tuple[records.Target, ...]:
        """Returns the targets of a service that accept new work.

        If several entries have the same address, only the newest one, which has
        the highest revision, counts.
        """
        targets = self._by_service.get(service)
        if targets is None:
            newest = self._newest_by_address()
            targets = tuple(
                target
                for target in newest.values()
                if target.service == service and self.is_serving(target)
            )
            self._by_service[service] = targets
        return targets

    def is_serving(self, target: records.Target) -> bool:
        """Returns whether a target accepts new work."""
        return (
            target.state == records.SERVING_STATE
            and target.incarnation not in self._leaving
        )

    def mark_leaving(self, target: records.Target) -> bool:
        """Records that a target has announced that it leaves.

        Returns:
          Whether this is new.
        """
        if target.incarnation in self._leaving:
            return False
        self._leaving[target.incarnation] = None
        if len(self._leaving) > LEAVING_MAX:
            self._leaving.popitem(last=False)
        self._clear_indexes()
        return True

    def get(self, target_id: str) -> records.Target | None:
        """Returns the entry with an ID, or None."""
        return self._targets.get(target_id)

    def at_address(self, host: str, port: int) -> records.Target | None:
        """Returns the newest entry with an address, or None."""
        return self._newest_by_address().get((host, port))

    def hosts(self) -> set[str]:
        """Returns the IP numbers of the VMs that have a target."""
        return {target.host for target in self._targets.values()}

    def _clear_indexes(self) -> None:
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
