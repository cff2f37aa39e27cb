"""Decides which VMs follow the operators' records in the store; no input or output.

A few VMs of each region read the store, those with the widest links; the others get
the records from VMs that hold them. Nobody is appointed: each VM looks at the VMs that
it has working links to, so that another one takes over when a reader is lost, cut off
from the store, slow or silent, and a part that is cut off reads by itself.
"""

import zlib
from collections.abc import Iterable

import attrs

from lacewingstair.vm.entries import VmEntry

READERS_PER_REGION = 3
# A VM that ranks higher has this long to begin before the next one reads as well.
TAKEOVER_SECONDS = 1.0
# A reader goes on for this long beside enough others, so that roles do not alternate.
RELEASE_SECONDS = 2.0
# A VM that has lacked records for this long reads them from the store itself.
MAX_LAG_SECONDS = 1.0


@attrs.frozen
class Peer:
    """Another VM of the region with a working link.

    Parameters
    ----------
    entry : VmEntry
        The VM.
    reads_store : bool
        Whether it follows the store, as it has said last.
    """

    entry: VmEntry
    reads_store: bool


def rank(entry: VmEntry) -> tuple[int, int]:
    """Return what orders the VMs of a region; the lowest ones read the store."""
    return (-entry.bandwidth_kbps, zlib.crc32(entry.vm_id.encode()))


class StoreReaderElection:
    """Decides whether this VM reads the store.

    Attributes
    ----------
    reads : bool
        The decision.
    """

    def __init__(self) -> None:
        self.reads = True
        # At its start a VM reads what is there, and goes on only if it is needed.
        self._is_starting = True
        self._enough_since: float | None = None
        self._short_since: float | None = None

    def decide(
        self, own: VmEntry, peers: Iterable[Peer], lag_seconds: float, now: float
    ) -> bool:
        """Return whether this VM reads the store from now on.

        Parameters
        ----------
        own : VmEntry
            This VM.
        peers : iterable of Peer
            Other VMs of the region.
        lag_seconds : float
            For how long this VM has lacked records that another one holds.
        now : float
            Monotonic seconds.
        """
        own_rank = rank(own)
        before = [peer for peer in peers if rank(peer.entry) < own_rank]
        readers = sum(peer.reads_store for peer in before)
        has_enough = readers >= READERS_PER_REGION
        if has_enough:
            self._short_since = None
            if self._enough_since is None:
                self._enough_since = now
        else:
            self._enough_since = None
            if self._short_since is None:
                self._short_since = now
        if self.reads:
            release_seconds = 0.0 if self._is_starting else RELEASE_SECONDS
            is_over = has_enough and now - self._enough_since >= release_seconds
            self.reads = not is_over or lag_seconds > MAX_LAG_SECONDS
            self._is_starting = self._is_starting and self.reads
        else:
            self.reads = (
                lag_seconds > MAX_LAG_SECONDS
                or len(before) < READERS_PER_REGION
                or self._is_due(len(before), now)
            )
        return self.reads

    def _is_due(self, before: int, now: float) -> bool:
        """Return whether those before this VM have had their time to begin."""
        if self._short_since is None:
            return False
        turns = 1 + (before - READERS_PER_REGION) // READERS_PER_REGION
        return now - self._short_since >= TAKEOVER_SECONDS * turns
