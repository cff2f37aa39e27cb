"""Estimates the queue before the narrow link of a VM; does no I/O.

Load pattern: uploads to the few backend servers of a service whose VMs have links of a
few Mbit/s. Each upload occupies the link for a tenth of a second or more, and the small
calls that arrive behind it wait, although the backend server has free slots. The load
of the backend server does not show that, so the VM states the wait beside it.
"""

import math

# Smaller messages occupy even the narrowest links for a few milliseconds only.
MIN_COUNTED_BYTES = 16 << 10
AVERAGING_SECONDS = 1.0
# The estimate grows without bound as the link fills up.
MAX_UTILIZATION = 0.95


def transfer_ms(size_bytes: int, bandwidth_kbps: int) -> float:
    """Return how long a message occupies a link; 0 if its bandwidth is unknown."""
    if not bandwidth_kbps:
        return 0.0
    return size_bytes * 8 / bandwidth_kbps


class LinkQueue:
    """Mean wait of a message that arrives over a VM's link.

    The link is a queue with one server (M/G/1): the wait follows from the utilization
    and the second moment of the transfer times, both averaged over the recent past.

    Parameters
    ----------
    bandwidth_kbps : int
        Bandwidth of the link in kilobits per second; 0 if it is unknown.
    """

    def __init__(self, bandwidth_kbps: int) -> None:
        self._bandwidth_kbps = bandwidth_kbps
        # Sums with exponential decay, of transfer times and of their squares.
        self._busy_ms = 0.0
        self._squares = 0.0
        self._decayed_at = 0.0

    def record(self, size_bytes: int, now: float) -> None:
        """Record a received message; `now` is in monotonic seconds."""
        if size_bytes < MIN_COUNTED_BYTES or not self._bandwidth_kbps:
            return
        self._decay(now)
        ms = transfer_ms(size_bytes, self._bandwidth_kbps)
        self._busy_ms += ms
        self._squares += ms * ms

    def wait_ms(self, now: float) -> float:
        """Return the mean wait of a further message before its own transfer."""
        if not self._busy_ms:
            return 0.0
        self._decay(now)
        period_ms = AVERAGING_SECONDS * 1000
        utilization = min(MAX_UTILIZATION, self._busy_ms / period_ms)
        return self._squares / period_ms / (2 * (1 - utilization))

    def _decay(self, now: float) -> None:
        factor = math.exp((self._decayed_at - now) / AVERAGING_SECONDS)
        self._decayed_at = now
        self._busy_ms *= factor
        self._squares *= factor
