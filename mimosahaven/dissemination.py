"""Bounded buffers for news items that gossip repeats a few times."""

import dataclasses
import random
from collections.abc import Hashable
from typing import Any

from mimosahaven import settings as settings_lib

ITEMS_MAX = 256
SEEN_MAX = 1_024


@dataclasses.dataclass
class _Item:
    value: Any
    sends_left: int
    added_ms: float


class DisseminationBuffer:
    """News items, each of which goes into some digests.

    An item goes into the next news_sends digests. Of 450 daemons, that
    alone misses about one when a fifth of the messages is lost, so that
    afterwards each digest repeats one random item until news_keep_ms.

    Args:
      limits: The gossip settings.
      rng: Source of the choice of items that are repeated.
    """

    def __init__(self, limits: settings_lib.GossipSettings, rng: random.Random):
        self._limits = limits
        self._rng = rng
        self._items: dict[Hashable, _Item] = {}

    def add(self, key: Hashable, value: Any, now_ms: float) -> None:
        """Adds an item; it replaces an older one with the same key."""
        self._items.pop(key, None)
        if len(self._items) >= ITEMS_MAX:
            most_sent = min(self._items, key=self._sends_left)
            del self._items[most_sent]
        self._items[key] = _Item(value, self._limits.news_sends, now_ms)

    def take(self, now_ms: float) -> list[Any]:
        """Returns the items for one digest and counts them as sent."""
        self._drop_old(now_ms)
        keys = sorted(self._items, key=self._sends_left, reverse=True)
        fresh = [key for key in keys if self._items[key].sends_left > 0]
        repeated = keys[len(fresh) :]
        chosen = fresh[: self._limits.news_max]
        for key in chosen:
            self._items[key].sends_left -= 1
        if repeated:
            chosen.append(self._rng.choice(repeated))
        return [self._items[key].value for key in chosen]

    def _drop_old(self, now_ms: float) -> None:
        limit_ms = now_ms - self._limits.news_keep_ms
        # Items are in the order of their addition.
        while self._items:
            oldest = next(iter(self._items))
            if self._items[oldest].added_ms >= limit_ms:
                return
            del self._items[oldest]

    def _sends_left(self, key: Hashable) -> int:
        return self._items[key].sends_left


class SeenSet:
    """The newest keys that were seen."""

    def __init__(self):
        self._keys: dict[Hashable, None] = {}

    def __contains__(self, key: Hashable) -> bool:
        return key in self._keys

    def add(self, key: Hashable) -> bool:
        """Adds a key; returns whether it was not in the set."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > SEEN_MAX:
            del self._keys[next(iter(self._keys))]
        return True
