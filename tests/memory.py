import contextlib
import tracemalloc


class Peak:
    """Memory allocated within `traced_peak`, beyond that at its start.

    Attributes
    ----------
    bytes : int
        The most of it at a time.
    kept_bytes : int
        What is left of it at the end.
    """

    def __init__(self):
        self.bytes = 0
        self.kept_bytes = 0


@contextlib.contextmanager
def traced_peak():
    peak = Peak()
    tracemalloc.start()
    try:
        start_bytes, _ = tracemalloc.get_traced_memory()
        yield peak
        kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
        peak.bytes = peak_bytes - start_bytes
        peak.kept_bytes = kept_bytes - start_bytes
    finally:
        tracemalloc.stop()
