"""Local replica of the list of targets in the mesh."""

import collections
import typing
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
# Bounds the memory of removed targets in the same way.
REMOVED_MAX = 4_096
# The platform removes an entry that has not been renewed for this many
# heartbeats of its target; one more is left for the removal to arrive.
OUTDATED_HEARTBEATS = 4


class _RemovedEntry(typing.NamedTuple):
    """An entry that was removed.

    Attributes:
      written_order: Order of the entry among those that its target has written.
      epoch: Epoch of the store in which it was removed.
    """

    written_order: tuple[int, int]
    epoch: int


class _OutdatedEntry(typing.NamedTuple):
    """An entry that a restore has brought back.

    Attributes:
      target: The entry.
      until_ms: Time until which it is not used.
    """

    target: records.Target
    until_ms: float


class TargetDirectory:
    """A replica of the platform's list of targets.

    An entry that is missing from the store after an outage, or after the store
    was restored from an older copy, is lapsing: its target may be live, so it
    is kept for LAPSE_GRACE_MS.

    A restored store also lists entries as they were at the time of the copy.
    An older entry than the known one is ignored; what a target has written
    tells which one is older, not the revision. An entry that was removed before
    the restore is outdated: it is used only once its target has written it
    again, or has been renewing it for longer than an entry lasts without that.

    A target that has announced that it leaves does not serve again before it is
    started anew, whatever its entry says.

    Args:
      heartbeat_ms: Interval at which targets renew their entries.

    Attributes:
      revision: Store revision up to which the replica is complete.
    """

    def __init__(self, heartbeat_ms: float = 1_500.0):
        self._outdated_ms = OUTDATED_HEARTBEATS * heartbeat_ms
        self.revision = 0
        self._targets: dict[str, records.Target] = {}
        self._lapsing: dict[str, float] = {}
        self._outdated: dict[str, _OutdatedEntry] = {}
        self._removed: collections.OrderedDict[str, _RemovedEntry] = (
            collections.OrderedDict()
        )
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

    @property
    def listed(self) -> list[records.Target]:
        """All entries, including outdated ones, for other replicas."""
        outdated = [entry.target for entry in self._outdated.values()]
        return [*self._targets.values(), *outdated]

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
        epoch = records.epoch_of(revision)
        was_restored = epoch > records.epoch_of(self.revision)
        new: dict[str, records.Target] = {}
        outdated: dict[str, _OutdatedEntry] = {}
        for target in targets:
            if self._is_removed_before(target, epoch):
                outdated[target.target_id] = self._outdated.get(
                    target.target_id,
                    _OutdatedEntry(target, now_ms + self._outdated_ms),
                )
            else:
                new[target.target_id] = self._latest(target, epoch)
        # A listed entry is no longer lapsing, even if an earlier list lacked
        # it.
        lapsing: dict[str, float] = {}
        for target_id, target in self._targets.items():
            if target_id in new or target_id in outdated:
                continue
            if after_outage or was_restored:
                new[target_id] = target
                lapsing[target_id] = self._lapsing.get(
                    target_id, now_ms + LAPSE_GRACE_MS
                )
            else:
                self._record_removal(target)
        self._targets = new
        self._lapsing = lapsing
        self._outdated = outdated
        self.revision = revision
        self._clear_indexes()
        return True

    def _latest(self, target: records.Target, epoch: int) -> records.Target:
        """Returns the known entry instead of one that a restore brought back.

        Args:
          target: Entry of a list.
          epoch: Epoch of the list.
        """
        known = self._targets.get(target.target_id)
        if known is None or records.epoch_of(known.revision) == epoch:
            return target
        if known.written_order >= target.written_order:
            return known
        return target

    def _is_removed_before(self, target: records.Target, epoch: int) -> bool:
        """Returns whether an entry was removed in an earlier epoch."""
        removed = self._removed.get(target.target_id)
        return (
            target.target_id not in self._targets
            and removed is not None
            and removed.epoch < epoch
            and target.written_order <= removed.written_order
        )

    def _record_removal(self, target: records.Target) -> None:
        self._removed[target.target_id] = _RemovedEntry(
            target.written_order, records.epoch_of(self.revision)
        )
        self._removed.move_to_end(target.target_id)
        if len(self._removed) > REMOVED_MAX:
            self._removed.popitem(last=False)

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
        """Adds or replaces an entry that its target has just written."""
        self._targets[target.target_id] = target
        self._lapsing.pop(target.target_id, None)
        self._outdated.pop(target.target_id, None)
        self._clear_indexes()

    def remove(
        self, target_id: str, now_ms: float, after_outage: bool
    ) -> records.Target | None:
        """Removes an entry, or marks it as lapsing after a store outage.

        Returns:
          The removed entry, or None if it is unknown or lapsing.
        """
        self._outdated.pop(target_id, None)
        if target_id not in self._targets:
            return None
        if after_outage:
            self.mark_lapsing(target_id, now_ms + LAPSE_GRACE_MS)
            return None
        self._lapsing.pop(target_id, None)
        self._clear_indexes()
        target = self._targets.pop(target_id)
        self._record_removal(target)
        return target

    def restore_renewed(self, now_ms: float) -> list[records.Target]:
        """Uses the outdated entries that have outlasted their targets' silence.

        Returns:
          The entries used from now on.
        """
        renewed = [
            entry.target
            for entry in self._outdated.values()
            if entry.until_ms <= now_ms
        ]
        for target in renewed:
            self.put(target)
        return renewed

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
        expired = [self._targets.pop(target_id) for target_id in due]
        for target in expired:
            self._record_removal(target)
        return expired

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
