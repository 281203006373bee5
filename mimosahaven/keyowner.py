"""Ownership of idempotency keys by rendezvous hashing over live daemons."""

import collections.abc

import xxhash

from mimosahaven import settings as settings_lib


def _hash_seed(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def choose_owner(names: collections.abc.Iterable[str], key: str) -> str | None:
    """Returns the owner of a key by rendezvous hashing; None for no names."""
    return _choose_by_seeds({name: _hash_seed(name) for name in names}, key)


def _choose_by_seeds(seeds: dict[str, int], key: str) -> str | None:
    digest = xxhash.xxh3_64_intdigest
    data = key.encode()
    scores = [(digest(data, seed), name) for name, seed in seeds.items()]
    return max(scores)[1] if scores else None


class KeyOwnership:
    """This daemon's view of key ownership, without any state per key.

    This daemon has owned a key without interruption since the later of two
    times: the start of the period in which it has been listed and its list has
    never been too old, and the latest removal of a daemon that would own the
    key instead. Only the times of removal need to be stored.

    The list is up to key_view_max_age_ms + list_lag_ms behind the platform, and
    a daemon that left and came back between two reads is not noticed. Runs by
    two successive owners are therefore more than action_window_ms apart only
    if a new owner waits for twice that delay in addition to the window.

    Attributes:
      settle_ms: Time for which a new owner of a key waits before it runs
        requests with that key.
    """

    def __init__(self, settings: settings_lib.Settings, target: str):
        ledger = settings.ledger
        self._settling_enabled = settings.mechanisms.key_settling
        self._target = target
        self._max_age_ms = ledger.key_view_max_age_ms
        self.settle_ms = ledger.action_window_ms + 2 * (
            ledger.key_view_max_age_ms + ledger.list_lag_ms
        )
        self._version = -1
        # Hash seeds of the listed names, cached to save a hash for each key.
        self._seeds: dict[str, int] = {}
        self._confirmed_ms = float("-inf")
        self._listed_since_ms = float("inf")
        # Time of removal by name, only while it affects may_run().
        self._removed_ms: dict[str, float] = {}

    def record_list(
        self,
        version: int,
        names: collections.abc.Iterable[str],
        confirmed_ms: float,
    ) -> None:
        """Records that a list was the platform's newest at a given time.

        It must be called for each confirmation, not only for a new list. A
        list older than the known one is ignored.

        Args:
          version: Version of the list.
          names: Daemons that the platform lists as live, without changes that
            were learned from other daemons.
          confirmed_ms: Time on the local clock at which the platform was read.
        """
        if version < self._version:
            return
        confirmed_ms = max(confirmed_ms, self._confirmed_ms)
        names = set(names)
        interrupted = (
            confirmed_ms - self._confirmed_ms > self._max_age_ms
            or self._target not in self._seeds
        )
        if interrupted:
            self._listed_since_ms = confirmed_ms
        for name in self._seeds.keys() - names:
            self._removed_ms[name] = confirmed_ms
        self._removed_ms = {
            name: removed_ms
            for name, removed_ms in self._removed_ms.items()
            if name not in names and removed_ms > self._listed_since_ms
            if confirmed_ms - removed_ms <= self.settle_ms
        }
        self._version = version
        if names != self._seeds.keys():
            self._seeds = {name: _hash_seed(name) for name in names}
        self._confirmed_ms = confirmed_ms

    def is_listed(self, name: str) -> bool:
        """Returns whether a daemon is listed; True if there is no list yet."""
        return not self._seeds or name in self._seeds

    def owner(self, key: str) -> str | None:
        """Returns the owner by the newest list, None if there is no list."""
        return _choose_by_seeds(self._seeds, key)

    def owned_since_ms(self, key: str) -> float | None:
        """Returns since when this daemon has owned a key without interruption.

        Returns:
          Time on the local clock, or None if another daemon owns the key.
        """
        if self.owner(key) != self._target:
            return None
        since_ms = self._listed_since_ms
        for name, removed_ms in self._removed_ms.items():
            if removed_ms > since_ms:
                if choose_owner((self._target, name), key) == name:
                    since_ms = removed_ms
        return since_ms

    def may_run(self, key: str, now_ms: float) -> bool:
        """Returns whether this daemon may run a request with the key.

        Args:
          key: The key, scoped by its caller.
          now_ms: Current time on the clock used for confirmations.

        Returns:
          True if the list is not too old and no other daemon can have run a
          request with the key within action_window_ms.
        """
        since_ms = self.owned_since_ms(key)
        if since_ms is None or not self._settling_enabled:
            return since_ms is not None
        if now_ms - self._confirmed_ms > self._max_age_ms:
            return False
        return now_ms - since_ms >= self.settle_ms
