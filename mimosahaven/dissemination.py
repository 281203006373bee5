"""Bounded buffers for updates that are disseminated by gossip."""

import dataclasses
import random
from collections.abc import Hashable
from typing import Any

from mimosahaven import settings as settings_lib

BUFFER_ITEMS_MAX = 256
SEEN_KEYS_MAX = 1_024


@dataclasses.dataclass
class _Update:
    value: Any
    sends_left: int
    added_ms: float


class DisseminationBuffer:
    """Updates, each of which is sent with several digests.

    An update is sent with the next news_sends digests. If a fifth of the
    messages is lost, this alone misses about one of 450 daemons. Therefore each
    digest also repeats one random older update, until it is news_keep_ms old.

    Args:
      settings: The gossip settings.
      rng: Random source for the updates to repeat.
    """

    def __init__(
        self, settings: settings_lib.GossipSettings, rng: random.Random
    ):
        self._settings = settings
        self._rng = rng
        self._items: dict[Hashable, _Update] = {}

    def add(self, key: Hashable, value: Any, now_ms: float) -> None:
        """Adds an update, which replaces an older one with the same key."""
        self._items.pop(key, None)
        if len(self._items) >= BUFFER_ITEMS_MAX:
            evicted = min(self._items, key=self._sends_left)
            del self._items[evicted]
        self._items[key] = _Update(value, self._settings.news_sends, now_ms)

    def take(self, now_ms: float) -> list[Any]:
        """Returns the updates for one digest and counts them as sent."""
        self._drop_expired(now_ms)
        keys = sorted(self._items, key=self._sends_left, reverse=True)
        pending = [key for key in keys if self._items[key].sends_left > 0]
        fully_sent = keys[len(pending) :]
        chosen = pending[: self._settings.news_max]
        for key in chosen:
            self._items[key].sends_left -= 1
        if fully_sent:
            chosen.append(self._rng.choice(fully_sent))
        return [self._items[key].value for key in chosen]

    def _drop_expired(self, now_ms: float) -> None:
        expired_before_ms = now_ms - self._settings.news_keep_ms
        # The items are in order of addition.
        while self._items:
            oldest = next(iter(self._items))
            if self._items[oldest].added_ms >= expired_before_ms:
                return
            del self._items[oldest]

    def _sends_left(self, key: Hashable) -> int:
        return self._items[key].sends_left


class SeenSet:
    """Bounded set of the most recently added keys."""

    def __init__(self):
        self._keys: dict[Hashable, None] = {}

    def __contains__(self, key: Hashable) -> bool:
        return key in self._keys

    def add(self, key: Hashable) -> bool:
        """Adds a key; returns whether it is new."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > SEEN_KEYS_MAX:
            del self._keys[next(iter(self._keys))]
        return True
