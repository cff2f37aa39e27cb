"""Elects the VMs that read the operators' records from the store; performs no I/O.

In each region, a few VMs with the highest bandwidth read the store. The other VMs fetch
the records from VMs that hold them. There is no coordinator: each VM decides by itself
from the VMs that it has working links to. Another VM thus takes over when a reader is
lost, disconnected from the store, slow or silent, and each side of a network partition
has its own readers.
"""

import zlib
from collections.abc import Iterable

import attrs

from lacewingstair.vm.entries import VmEntry

READERS_PER_REGION = 3
# How long VMs with a higher rank have to start reading before the next ones start.
TAKEOVER_DELAY_SECONDS = 1.0
# How long a reader continues while there are enough others, so that roles do not
# oscillate.
RELEASE_DELAY_SECONDS = 2.0
# A VM whose records lag for longer than this reads them from the store itself.
MAX_LAG_SECONDS = 1.0


@attrs.frozen
class Peer:
    """Another VM of the region with a working link.

    Parameters
    ----------
    entry : VmEntry
        Entry of the VM.
    reads_store : bool
        Whether it reads the store, according to its last load message.
    """

    entry: VmEntry
    reads_store: bool


def reader_rank(entry: VmEntry) -> tuple[int, int]:
    """Return the sort key of a VM in its region; the lowest ones read the store."""
    return (-entry.bandwidth_kbps, zlib.crc32(entry.vm_id.encode()))


class StoreReaderElection:
    """Decides whether this VM reads the store.

    Attributes
    ----------
    is_reader : bool
        Whether this VM reads the store, by the latest decision.
    """

    def __init__(self) -> None:
        self.is_reader = True
        # At its start, a VM reads the existing records. It continues only if there are
        # too few readers.
        self._is_starting = True
        self._enough_readers_since: float | None = None
        self._too_few_readers_since: float | None = None

    def decide(
        self, own_entry: VmEntry, peers: Iterable[Peer], lag_seconds: float, now: float
    ) -> bool:
        """Return whether this VM reads the store from now on.

        Parameters
        ----------
        own_entry : VmEntry
            Entry of this VM.
        peers : iterable of Peer
            Other VMs of the region with working links.
        lag_seconds : float
            For how long this VM has lacked records that another VM holds.
        now : float
            Monotonic time in seconds.
        """
        own_rank = reader_rank(own_entry)
        higher_ranked = [peer for peer in peers if reader_rank(peer.entry) < own_rank]
        readers = sum(peer.reads_store for peer in higher_ranked)
        has_enough_readers = readers >= READERS_PER_REGION
        if has_enough_readers:
            self._too_few_readers_since = None
            if self._enough_readers_since is None:
                self._enough_readers_since = now
        else:
            self._enough_readers_since = None
            if self._too_few_readers_since is None:
                self._too_few_readers_since = now
        if self.is_reader:
            release_delay_seconds = 0.0 if self._is_starting else RELEASE_DELAY_SECONDS
            is_released = (
                has_enough_readers
                and now - self._enough_readers_since >= release_delay_seconds
            )
            self.is_reader = not is_released or lag_seconds > MAX_LAG_SECONDS
            self._is_starting = self._is_starting and self.is_reader
        else:
            self.is_reader = (
                lag_seconds > MAX_LAG_SECONDS
                or len(higher_ranked) < READERS_PER_REGION
                or self._is_takeover_due(len(higher_ranked), now)
            )
        return self.is_reader

    def _is_takeover_due(self, higher_ranked: int, now: float) -> bool:
        """Return whether VMs with a higher rank had enough time to start reading."""
        if self._too_few_readers_since is None:
            return False
        takeover_delays = 1 + (higher_ranked - READERS_PER_REGION) // READERS_PER_REGION
        return (
            now - self._too_few_readers_since
            >= TAKEOVER_DELAY_SECONDS * takeover_delays
        )
