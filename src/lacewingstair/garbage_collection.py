"""Garbage collection of the daemon."""

import gc

# The default thresholds run a full collection often enough to show in the 99th
# percentile; objects of calls are freed by reference counts.
GC_THRESHOLDS = (50_000, 20, 100)


def tune_garbage_collection() -> None:
    """Keep what exists after the start out of collections, and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
