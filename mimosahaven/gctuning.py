"""Settings of the garbage collector for a long-running daemon."""

import gc

# A call allocates a few hundred tracked objects. The default threshold of 700
# therefore starts a collection every few calls, for garbage that reference
# counts have freed already.
THRESHOLDS = (20_000, 20, 50)


def tune() -> None:
    """Makes collections rare, and spares what lives until the end.

    To be called once the daemon has started.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
