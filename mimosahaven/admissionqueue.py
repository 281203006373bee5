"""Priority queue of calls that wait for admission."""

import bisect
import math
import typing
from collections.abc import Iterator


class QueuedCall(typing.Protocol):
    """Attributes of a call that the queue uses."""

    priority: int
    important: bool
    deadline_ms: float


class AdmissionQueue:
    """Queued calls; important ones precede all others.

    The important calls and the others are each ordered by priority, and calls
    of equal priority by arrival.
    """

    def __init__(self):
        # Entries are (priority, -sequence, call) in ascending order.
        self._important: list[tuple[int, int, QueuedCall]] = []
        self._ordinary: list[tuple[int, int, QueuedCall]] = []
        self._sequences: dict[QueuedCall, int] = {}
        self._next_sequence = 0
        # A lower bound: the deadline of a removed call stays in it until
        # expired() next scans the queue.
        self._earliest_deadline_ms = math.inf

    def __len__(self) -> int:
        return len(self._sequences)

    def __iter__(self) -> Iterator[QueuedCall]:
        return iter(self._sequences)

    @property
    def important_count(self) -> int:
        """Number of important calls in the queue."""
        return len(self._important)

    @property
    def ordinary_count(self) -> int:
        """Number of calls in the queue that are not important."""
        return len(self._ordinary)

    def add(self, call: QueuedCall) -> None:
        """Adds a call in the position of its priority."""
        self._next_sequence += 1
        self._sequences[call] = self._next_sequence
        bisect.insort(
            self._entries_of(call), (call.priority, -self._next_sequence, call)
        )
        if call.deadline_ms < self._earliest_deadline_ms:
            self._earliest_deadline_ms = call.deadline_ms

    def remove(self, call: QueuedCall) -> bool:
        """Removes a call; returns whether it was queued."""
        sequence = self._sequences.pop(call, None)
        if sequence is None:
            return False
        entries = self._entries_of(call)
        del entries[bisect.bisect_left(entries, (call.priority, -sequence))]
        return True

    def peek_highest(self) -> QueuedCall | None:
        """Returns the call to run next, or None."""
        entries = self._important or self._ordinary
        return entries[-1][2] if entries else None

    def peek_lowest(self) -> QueuedCall | None:
        """Returns the call to refuse first, or None."""
        entries = self._ordinary or self._important
        return entries[0][2] if entries else None

    def expired(self, before_ms: float) -> list[QueuedCall]:
        """Returns the calls whose deadline is before before_ms."""
        if before_ms <= self._earliest_deadline_ms:
            return []
        expired_calls = []
        earliest_ms = math.inf
        for call in self._sequences:
            if call.deadline_ms < before_ms:
                expired_calls.append(call)
            elif call.deadline_ms < earliest_ms:
                earliest_ms = call.deadline_ms
        self._earliest_deadline_ms = earliest_ms
        return expired_calls

    def _entries_of(
        self, call: QueuedCall
    ) -> list[tuple[int, int, QueuedCall]]:
        return self._important if call.important else self._ordinary
