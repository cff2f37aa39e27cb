import attrs

from lacewingstair.vm.entries import VmEntry
from lacewingstair.vm.store_readers import (
    MAX_LAG_SECONDS,
    READERS_PER_REGION,
    RELEASE_DELAY_SECONDS,
    TAKEOVER_DELAY_SECONDS,
    Peer,
    StoreReaderElection,
    reader_rank,
)

STEP_SECONDS = 0.25


def ranked_entries(count, kbps=10_000):
    entries = [
        VmEntry(f"vm{n}", "r", "z", "a:1", "board", bandwidth_kbps=kbps)
        for n in range(count)
    ]
    return sorted(entries, key=reader_rank)


class Region:
    """VMs of a region; each decision is visible to the other VMs at the next step."""

    def __init__(self, entries):
        self.entries = entries
        self.elections_by_vm_id = {
            entry.vm_id: StoreReaderElection() for entry in entries
        }
        self.lost_vm_ids = set()
        self.vm_ids_without_store = set()
        self.now = 0.0

    def is_reading(self, entry):
        is_connected = entry.vm_id not in self.vm_ids_without_store
        return self.elections_by_vm_id[entry.vm_id].is_reader and is_connected

    def step(self, seconds=STEP_SECONDS):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            live = [e for e in self.entries if e.vm_id not in self.lost_vm_ids]
            peers = {e.vm_id: Peer(e, self.is_reading(e)) for e in live}
            for entry in live:
                others = [p for vm_id, p in peers.items() if vm_id != entry.vm_id]
                election = self.elections_by_vm_id[entry.vm_id]
                election.decide(entry, others, 0.0, self.now)

    def reading_vm_ids(self):
        return [
            e.vm_id
            for e in self.entries
            if e.vm_id not in self.lost_vm_ids and self.is_reading(e)
        ]


def test_a_few_vms_with_the_highest_bandwidth_read_the_store():
    """Guards against store requests and traffic that grow with the number of VMs."""
    entries = ranked_entries(20)
    fast_entry = attrs.evolve(entries[-1], bandwidth_kbps=100_000)
    region = Region([fast_entry, *entries[:-1]])
    region.step(RELEASE_DELAY_SECONDS + 1.0)
    assert len(region.reading_vm_ids()) == READERS_PER_REGION
    assert fast_entry.vm_id in region.reading_vm_ids()


def test_vms_that_start_while_there_are_readers_stop_reading_immediately():
    """Guards against slow links saturated by a burst of versions after each start."""
    region = Region(ranked_entries(20))
    region.step(3 * STEP_SECONDS)
    assert len(region.reading_vm_ids()) == READERS_PER_REGION


def test_lost_readers_are_replaced_immediately():
    """Guards against a region without new configurations after its readers are lost."""
    region = Region(ranked_entries(20))
    region.step(RELEASE_DELAY_SECONDS + 1.0)
    region.lost_vm_ids = set(region.reading_vm_ids())
    region.step(2 * STEP_SECONDS)
    assert len(region.reading_vm_ids()) == READERS_PER_REGION


def test_other_vms_read_when_readers_cannot_reach_the_store():
    """Guards against a region without readers when the store refuses only these."""
    region = Region(ranked_entries(20))
    region.step(RELEASE_DELAY_SECONDS + 1.0)
    region.vm_ids_without_store = set(region.reading_vm_ids())
    region.step(TAKEOVER_DELAY_SECONDS + 3 * STEP_SECONDS)
    assert len(region.reading_vm_ids()) >= READERS_PER_REGION


def test_a_vm_without_links_reads_the_store():
    election = StoreReaderElection()
    (own_entry,) = ranked_entries(1)
    for step in range(40):
        assert election.decide(own_entry, [], 0.0, step * STEP_SECONDS)


def test_a_vm_that_lags_reads_the_store():
    """Guards against sources that announce records and never send them."""
    entries = ranked_entries(6)
    election, own_entry = StoreReaderElection(), entries[-1]
    peers = [Peer(entry, True) for entry in entries[:-1]]
    for step in range(40):
        reads = election.decide(own_entry, peers, 0.0, step * STEP_SECONDS)
    assert not reads
    assert election.decide(own_entry, peers, MAX_LAG_SECONDS + 0.1, 20.0)
