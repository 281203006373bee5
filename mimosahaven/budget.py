"""Retry budget of one action over its whole chain of calls."""


class ChainBudget:
    """Extra attempts that the holder may still spend or pass down."""

    def __init__(self, total: int):
        self._remaining = total

    @property
    def remaining(self) -> int:
        """Extra attempts left."""
        return self._remaining

    def take(self) -> bool:
        """Spends one extra attempt; returns False when none is left."""
        if self._remaining <= 0:
            return False
        self._remaining -= 1
        return True

    def delegate(self) -> int:
        """Gives away half of the rest, rounded down, and returns it."""
        part = self._remaining // 2
        self._remaining -= part
        return part

    def give_back(self, count: int) -> None:
        """Takes back what a call below has not used."""
        self._remaining += max(0, count)
