import asyncio
import random

import attrs
import pytest

from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages, snapshots
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.snapshot_client import BOOTSTRAP_SECONDS, SnapshotClient
from lacewingstair.vm.snapshots import cut, encode_snapshot

own = VmRecord("own", "r0", "z0", "own:1", 1)
records = tuple(VmRecord(f"vm-{i}", "r0", "z0", f"a:{i}", 1) for i in range(50))


@attrs.define
class Stream:
    sent: list = attrs.field(factory=list)

    def send(self, body):
        self.sent.append(body)


@attrs.define
class ManualClock:
    seconds: float = 0.0

    def monotonic(self):
        return self.seconds


class Rig:
    def __init__(self, *places):
        self.clock = ManualClock()
        self.store = StateStore()
        self.merged = []
        self.peers = PeerTable(own)
        self.by_id = {}
        for index, (region, zone) in enumerate(places):
            peer = Peer(f"p{index}", region, zone, Stream(), 0.0, True, True)
            self.peers.admit(peer)
            self.by_id[peer.vm_id] = peer
        self.client = SnapshotClient(
            own, self.peers, self.store, self.merged.extend, self.clock,
            random.Random(1),
        )  # fmt: skip

    def asked(self):
        """Return the ids of the peers asked since the last call."""
        found = [vm_id for vm_id, peer in self.by_id.items() if peer.stream.sent]
        for peer in self.by_id.values():
            peer.stream.sent.clear()
        return found

    def poll(self, seconds=0.0):
        self.clock.seconds += seconds
        self.client.poll()
        return self.asked()

    def receive(self, vm_id, chunks):
        for chunk in chunks:
            self.client.on_chunk(self.by_id[vm_id], chunk)


def chunks_of(state):
    return cut(1, asyncio.run(encode_snapshot(state, records)))


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 64)


def test_own_zone_is_asked_first_then_the_region_then_the_rest():
    rig = Rig(("r1", "z9"), ("r0", "z1"), ("r0", "z0"))
    order = []
    for _ in range(3):
        (asked,) = rig.poll(11)
        order.append(asked)
        rig.client.on_busy(rig.by_id[asked], messages.Busy(500, True))
    assert order == ["p2", "p1", "p0"]


def test_one_peer_at_a_time_is_asked():
    rig = Rig(("r0", "z0"), ("r0", "z0"))
    assert len(rig.poll()) == 1
    assert rig.poll(1) == []


def test_a_whole_snapshot_is_taken_over():
    rig = Rig(("r0", "z0"))
    rig.poll()
    rig.receive("p0", chunks_of(MeshState(next_offset=3)))
    assert rig.client.is_joined
    assert rig.store.state.next_offset == 3
    assert tuple(rig.merged) == records


def test_a_truncated_snapshot_is_not_used_and_another_peer_is_asked():
    rig = Rig(("r0", "z0"), ("r0", "z1"))
    assert rig.poll() == ["p0"]
    chunks = chunks_of(MeshState(next_offset=3))
    rig.receive("p0", chunks[:-1])
    rig.client.on_close(rig.peers.by_vm_id.pop("p0"))
    rig.receive("p0", chunks[-1:])
    assert rig.store.state.next_offset == 0
    assert rig.merged == []
    assert rig.poll(1) == ["p1"]


def test_an_altered_snapshot_is_not_used_and_another_peer_is_asked():
    rig = Rig(("r0", "z0"), ("r0", "z1"))
    rig.poll()
    chunks = chunks_of(MeshState(next_offset=3))
    chunks[1] = attrs.evolve(chunks[1], data=chunks[1].data[::-1])
    rig.receive("p0", chunks)
    assert not rig.client.is_joined
    assert rig.merged == []
    assert rig.poll(1) == ["p1"]


def test_a_peer_that_stops_sending_is_given_up():
    rig = Rig(("r0", "z0"), ("r0", "z1"))
    rig.poll()
    rig.receive("p0", chunks_of(MeshState())[:1])
    assert rig.poll(4) == []
    rig.poll(2)
    assert rig.poll(1) == ["p1"]


def test_an_older_state_is_never_taken_over():
    rig = Rig(("r0", "z0"))
    rig.store.adopt(MeshState(next_offset=9, number=4))
    rig.poll()
    rig.receive("p0", chunks_of(MeshState(next_offset=8, number=4)))
    assert rig.store.state.next_offset == 9
    # A higher offset with a lower number cannot come from the same log.
    rig = Rig(("r0", "z0"))
    rig.store.adopt(MeshState(next_offset=9, number=4))
    rig.poll()
    rig.receive("p0", chunks_of(MeshState(next_offset=10, number=3)))
    assert rig.store.state.number == 4


def test_chunks_that_were_not_asked_for_are_dropped():
    rig = Rig(("r0", "z0"), ("r0", "z1"))
    rig.poll()
    rig.receive("p1", chunks_of(MeshState(next_offset=3)))
    assert not rig.client.is_joined


def test_a_vm_whose_peers_are_all_new_starts_with_what_it_has():
    rig = Rig(("r0", "z0"))
    for _ in range(int(BOOTSTRAP_SECONDS) + 6):
        for asked in rig.poll(1):
            rig.client.on_busy(rig.by_id[asked], messages.Busy(0, False))
    assert rig.client.is_joined


def test_a_vm_waits_for_a_peer_that_is_only_busy():
    rig = Rig(("r0", "z0"))
    for _ in range(30):
        for asked in rig.poll(1):
            rig.client.on_busy(rig.by_id[asked], messages.Busy(0, True))
    assert not rig.client.is_joined
