"""Sources of the present time, for the IO layer only."""

import time


def monotonic_ms() -> float:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0
