"""Garbage collection of the daemon."""

import asyncio
import gc

# The default thresholds run a full collection often enough to show in the 99th
# percentile; objects of calls are freed by reference counts.
GC_THRESHOLDS = (50_000, 20, 100)
# Calls that are cut off between two collections.
CUT_CALLS = 64
CUT_BYTES = 8 << 20
# Tasks of calls that are cut off have ended by then.
COLLECT_DELAY_SECONDS = 0.02


def tune_garbage_collection() -> None:
    """Keep what exists after the start out of collections, and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


class CutCallCollector:
    """Collects what calls leave whose connection is closed before their response.

    A cancelled task refers to itself through the traceback of its exception, so that
    reference counts do not free it, nor the response that it held. Clients that close
    at once, or are closed, fill the memory that way between two usual collections.

    Parameters
    ----------
    max_bytes : int
        Bytes of such calls that are left until the next usual collection.
    """

    def __init__(self, max_bytes: int = CUT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._cut_calls = 0
        self._cut_bytes = 0
        self._is_scheduled = False

    def note(self, calls: int, size: int = 0) -> None:
        """Count calls that were cut off; needs a running event loop.

        Parameters
        ----------
        calls : int
            Calls that a connection had when it was closed.
        size : int
            Bytes that it held.
        """
        self._cut_calls += calls
        self._cut_bytes += size
        is_due = self._cut_calls >= CUT_CALLS or self._cut_bytes >= self._max_bytes
        if is_due and not self._is_scheduled:
            self._is_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(COLLECT_DELAY_SECONDS, self._collect)

    def _collect(self) -> None:
        self._is_scheduled = False
        self._cut_calls = self._cut_bytes = 0
        gc.collect()
