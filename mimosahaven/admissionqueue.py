"""Calls that wait for admission, ordered by priority."""

import bisect
import math
import typing


class QueuedCall(typing.Protocol):
    """What the queue needs to know of a call."""

    priority: int
    important: bool
    deadline_ms: float


class AdmissionQueue:
    """Waiting calls; important ones go before all others.

    Of equal priorities the call that came first goes first.
    """

    def __init__(self):
        # Entries are (priority, -sequence, call) in ascending order.
        self._important: list[tuple[int, int, QueuedCall]] = []
        self._ordinary: list[tuple[int, int, QueuedCall]] = []
        self._sequences: dict[QueuedCall, int] = {}
        self._next_sequence = 0
        self._first_deadline_ms = math.inf

    def __len__(self) -> int:
        return len(self._sequences)

    @property
    def important_count(self) -> int:
        """Important calls that wait."""
        return len(self._important)

    @property
    def ordinary_count(self) -> int:
        """Less important calls that wait."""
        return len(self._ordinary)

    def add(self, call: QueuedCall) -> None:
        """Adds a call."""
        self._next_sequence += 1
        self._sequences[call] = self._next_sequence
        bisect.insort(
            self._part(call), (call.priority, -self._next_sequence, call)
        )
        if call.deadline_ms < self._first_deadline_ms:
            self._first_deadline_ms = call.deadline_ms

    def remove(self, call: QueuedCall) -> bool:
        """Removes a call; returns whether it was waiting."""
        sequence = self._sequences.pop(call, None)
        if sequence is None:
            return False
        part = self._part(call)
        del part[bisect.bisect_left(part, (call.priority, -sequence))]
        return True

    def peek_highest(self) -> QueuedCall | None:
        """Returns the call that goes next."""
        part = self._important or self._ordinary
        return part[-1][2] if part else None

    def peek_lowest(self) -> QueuedCall | None:
        """Returns the call that is given up first."""
        part = self._ordinary or self._important
        return part[0][2] if part else None

    def expired(self, before_ms: float) -> list[QueuedCall]:
        """Returns the calls with a deadline before a time."""
        if before_ms <= self._first_deadline_ms:
            return []
        late = []
        first_ms = math.inf
        for call in self._sequences:
            if call.deadline_ms < before_ms:
                late.append(call)
            elif call.deadline_ms < first_ms:
                first_ms = call.deadline_ms
        self._first_deadline_ms = first_ms
        return late

    def _part(self, call: QueuedCall) -> list[tuple[int, int, QueuedCall]]:
        return self._important if call.important else self._ordinary
