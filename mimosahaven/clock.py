"""Clock of the I/O layer; other code gets the time as an argument."""

import time


def monotonic_ms() -> float:
    """Returns the time of the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0
