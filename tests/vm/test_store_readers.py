import attrs

from lacewingstair.vm.entries import VmEntry
from lacewingstair.vm.store_readers import (
    MAX_LAG_SECONDS,
    READERS_PER_REGION,
    RELEASE_SECONDS,
    TAKEOVER_SECONDS,
    Peer,
    StoreReaderElection,
    rank,
)

STEP_SECONDS = 0.25


def entries(count, kbps=10_000):
    found = [
        VmEntry(f"vm{n}", "r", "z", "a:1", "board", bandwidth_kbps=kbps)
        for n in range(count)
    ]
    return sorted(found, key=rank)


class Region:
    """VMs that see each other's decisions at the next step."""

    def __init__(self, found):
        self.entries = found
        self.readers_by_vm_id = {entry.vm_id: StoreReaderElection() for entry in found}
        self.gone = set()
        self.without_store = set()
        self.now = 0.0

    def reads(self, entry):
        is_up = entry.vm_id not in self.without_store
        return self.readers_by_vm_id[entry.vm_id].reads and is_up

    def step(self, seconds=STEP_SECONDS):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            live = [e for e in self.entries if e.vm_id not in self.gone]
            peers = {e.vm_id: Peer(e, self.reads(e)) for e in live}
            for entry in live:
                others = [p for vm_id, p in peers.items() if vm_id != entry.vm_id]
                readers = self.readers_by_vm_id[entry.vm_id]
                readers.decide(entry, others, 0.0, self.now)

    def reading(self):
        return [
            e.vm_id for e in self.entries if e.vm_id not in self.gone and self.reads(e)
        ]


def test_a_few_vms_with_the_widest_links_read_the_store():
    """Guards against calls and bytes at the store that grow with the VMs."""
    found = entries(20)
    wide = attrs.evolve(found[-1], bandwidth_kbps=100_000)
    region = Region([wide, *found[:-1]])
    region.step(RELEASE_SECONDS + 1.0)
    assert len(region.reading()) == READERS_PER_REGION
    assert wide.vm_id in region.reading()


def test_vms_that_start_beside_readers_stop_reading_at_once():
    """Guards against narrow links that a storm fills after each start."""
    region = Region(entries(20))
    region.step(3 * STEP_SECONDS)
    assert len(region.reading()) == READERS_PER_REGION


def test_lost_readers_are_replaced_at_once():
    """Guards against a region without configurations after its readers are killed."""
    region = Region(entries(20))
    region.step(RELEASE_SECONDS + 1.0)
    region.gone = set(region.reading())
    region.step(2 * STEP_SECONDS)
    assert len(region.reading()) == READERS_PER_REGION


def test_readers_that_cannot_reach_the_store_are_joined_by_others():
    """Guards against a store that refuses just the readers."""
    region = Region(entries(20))
    region.step(RELEASE_SECONDS + 1.0)
    region.without_store = set(region.reading())
    region.step(TAKEOVER_SECONDS + 3 * STEP_SECONDS)
    assert len(region.reading()) >= READERS_PER_REGION


def test_a_vm_that_sees_no_other_one_reads_by_itself():
    readers = StoreReaderElection()
    (own,) = entries(1)
    for step in range(40):
        assert readers.decide(own, [], 0.0, step * STEP_SECONDS)


def test_a_vm_that_stays_behind_reads_by_itself():
    """Guards against sources that offer records and never send them."""
    found = entries(6)
    readers, own = StoreReaderElection(), found[-1]
    peers = [Peer(entry, True) for entry in found[:-1]]
    for step in range(40):
        reads = readers.decide(own, peers, 0.0, step * STEP_SECONDS)
    assert not reads
    assert readers.decide(own, peers, MAX_LAG_SECONDS + 0.1, 20.0)
