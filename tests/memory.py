import contextlib
import tracemalloc


class Peak:
    """Peak of the memory allocated within `traced_peak`, beyond that at its start."""

    def __init__(self):
        self.bytes = 0


@contextlib.contextmanager
def traced_peak():
    peak = Peak()
    tracemalloc.start()
    try:
        start_bytes, _ = tracemalloc.get_traced_memory()
        yield peak
        peak.bytes = tracemalloc.get_traced_memory()[1] - start_bytes
    finally:
        tracemalloc.stop()
