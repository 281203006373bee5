"""Tuning of the garbage collector for a long-running daemon."""

import gc

# A call allocates a few hundred tracked objects. With the default threshold
# of 700, a collection therefore runs every few calls, for garbage that
# reference counting has already freed.
GC_THRESHOLDS = (20_000, 20, 50)


def tune() -> None:
    """Makes collections rare and excludes the objects allocated so far.

    Called once the daemon has started, when most of its long-lived objects
    exist.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
