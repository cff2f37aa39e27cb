import asyncio
import random

import attrs
import pytest

from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages, snapshots
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.snapshot_client import BOOTSTRAP_TIMEOUT_SECONDS, SnapshotClient
from lacewingstair.vm.snapshots import encode_snapshot, split_into_chunks

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


class ClientHarness:
    def __init__(self, *locations):
        self.clock = ManualClock()
        self.store = StateStore()
        self.merged = []
        self.peers = PeerTable(own)
        self.peers_by_vm_id = {}
        for index, (region, zone) in enumerate(locations):
            peer = Peer(f"p{index}", region, zone, Stream(), 0.0, True, True)
            self.peers.admit(peer)
            self.peers_by_vm_id[peer.vm_id] = peer
        self.client = SnapshotClient(
            own, self.peers, self.store, self.merged.extend, self.clock,
            random.Random(1),
        )  # fmt: skip

    def take_asked_vm_ids(self):
        """Return the ids of the peers asked since the last call."""
        asked = [
            vm_id for vm_id, peer in self.peers_by_vm_id.items() if peer.stream.sent
        ]
        for peer in self.peers_by_vm_id.values():
            peer.stream.sent.clear()
        return asked

    def poll(self, seconds=0.0):
        self.clock.seconds += seconds
        self.client.poll()
        return self.take_asked_vm_ids()

    def receive(self, vm_id, chunks):
        for chunk in chunks:
            self.client.on_chunk(self.peers_by_vm_id[vm_id], chunk)


def snapshot_chunks(state):
    return split_into_chunks(1, asyncio.run(encode_snapshot(state, records)))


@pytest.fixture(autouse=True)
def small_chunk_size(monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 64)


def test_peers_are_asked_in_order_of_distance():
    harness = ClientHarness(("r1", "z9"), ("r0", "z1"), ("r0", "z0"))
    order = []
    for _ in range(3):
        (asked,) = harness.poll(11)
        order.append(asked)
        harness.client.on_busy(harness.peers_by_vm_id[asked], messages.Busy(500, True))
    assert order == ["p2", "p1", "p0"]


def test_only_one_request_is_pending_at_a_time():
    harness = ClientHarness(("r0", "z0"), ("r0", "z0"))
    assert len(harness.poll()) == 1
    assert harness.poll(1) == []


def test_complete_snapshot_is_applied():
    harness = ClientHarness(("r0", "z0"))
    harness.poll()
    harness.receive("p0", snapshot_chunks(MeshState(next_offset=3)))
    assert harness.client.is_joined
    assert harness.store.state.next_offset == 3
    assert tuple(harness.merged) == records


def test_truncated_snapshot_is_discarded_and_another_peer_is_asked():
    harness = ClientHarness(("r0", "z0"), ("r0", "z1"))
    assert harness.poll() == ["p0"]
    chunks = snapshot_chunks(MeshState(next_offset=3))
    harness.receive("p0", chunks[:-1])
    harness.client.on_close(harness.peers.by_vm_id.pop("p0"))
    harness.receive("p0", chunks[-1:])
    assert harness.store.state.next_offset == 0
    assert harness.merged == []
    assert harness.poll(1) == ["p1"]


def test_corrupted_snapshot_is_discarded_and_another_peer_is_asked():
    harness = ClientHarness(("r0", "z0"), ("r0", "z1"))
    harness.poll()
    chunks = snapshot_chunks(MeshState(next_offset=3))
    chunks[1] = attrs.evolve(chunks[1], data=chunks[1].data[::-1])
    harness.receive("p0", chunks)
    assert not harness.client.is_joined
    assert harness.merged == []
    assert harness.poll(1) == ["p1"]


def test_stalled_transfer_times_out_and_another_peer_is_asked():
    harness = ClientHarness(("r0", "z0"), ("r0", "z1"))
    harness.poll()
    harness.receive("p0", snapshot_chunks(MeshState())[:1])
    assert harness.poll(4) == []
    harness.poll(2)
    assert harness.poll(1) == ["p1"]


def test_older_state_is_never_adopted():
    harness = ClientHarness(("r0", "z0"))
    harness.store.adopt(MeshState(next_offset=9, number=4))
    harness.poll()
    harness.receive("p0", snapshot_chunks(MeshState(next_offset=8, number=4)))
    assert harness.store.state.next_offset == 9
    # A state with a higher offset but a lower number cannot be from the same log.
    harness = ClientHarness(("r0", "z0"))
    harness.store.adopt(MeshState(next_offset=9, number=4))
    harness.poll()
    harness.receive("p0", snapshot_chunks(MeshState(next_offset=10, number=3)))
    assert harness.store.state.number == 4


def test_unrequested_chunks_are_dropped():
    harness = ClientHarness(("r0", "z0"), ("r0", "z1"))
    harness.poll()
    harness.receive("p1", snapshot_chunks(MeshState(next_offset=3)))
    assert not harness.client.is_joined


def test_vm_joins_without_snapshot_when_no_peer_has_joined():
    harness = ClientHarness(("r0", "z0"))
    for _ in range(int(BOOTSTRAP_TIMEOUT_SECONDS) + 6):
        for asked in harness.poll(1):
            harness.client.on_busy(
                harness.peers_by_vm_id[asked], messages.Busy(0, False)
            )
    assert harness.client.is_joined


def test_vm_keeps_waiting_for_a_joined_peer_that_is_busy():
    harness = ClientHarness(("r0", "z0"))
    for _ in range(30):
        for asked in harness.poll(1):
            harness.client.on_busy(
                harness.peers_by_vm_id[asked], messages.Busy(0, True)
            )
    assert not harness.client.is_joined
