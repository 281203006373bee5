"""Bounded buffers for news items that gossip repeats a few times."""

import dataclasses
from collections.abc import Hashable
from typing import Any

from mimosahaven import settings as settings_lib

ITEMS_MAX = 64
SEEN_MAX = 1_024


@dataclasses.dataclass
class _Item:
    value: Any
    sends_left: int


class NewsBuffer:
    """News items, each of which goes into a few digests."""

    def __init__(self, limits: settings_lib.GossipSettings):
        self._limits = limits
        self._items: dict[Hashable, _Item] = {}

    def add(self, key: Hashable, value: Any) -> None:
        """Adds an item; it replaces an older one with the same key."""
        self._items.pop(key, None)
        if len(self._items) >= ITEMS_MAX:
            most_sent = min(self._items, key=self._sends_left)
            del self._items[most_sent]
        self._items[key] = _Item(value, self._limits.news_sends)

    def take(self) -> list[Any]:
        """Returns the least sent items, at most news_max, and counts them."""
        keys = sorted(self._items, key=self._sends_left, reverse=True)
        values = []
        for key in keys[: self._limits.news_max]:
            item = self._items[key]
            values.append(item.value)
            item.sends_left -= 1
            if not item.sends_left:
                del self._items[key]
        return values

    def _sends_left(self, key: Hashable) -> int:
        return self._items[key].sends_left


class SeenSet:
    """The newest keys that were seen."""

    def __init__(self):
        self._keys: dict[Hashable, None] = {}

    def add(self, key: Hashable) -> bool:
        """Adds a key; returns whether it was not in the set."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > SEEN_MAX:
            del self._keys[next(iter(self._keys))]
        return True
