import asyncio
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.vm import snapshots
from lacewingstair.vm.directory import Endpoint, VmRecord
from lacewingstair.vm.snapshots import (
    SnapshotAssembler,
    encode_snapshot,
    split_into_chunks,
)

records = tuple(
    VmRecord(f"vm-{i}", "r", "z", f"a:{i}", i, endpoints=(Endpoint("s", "v", "e"),))
    for i in range(200)
)


@pytest.fixture
def chunks(monkeypatch):
    return make_chunks(monkeypatch)


def make_chunks(monkeypatch, snapshot_id=7):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 128)
    chunks = split_into_chunks(
        snapshot_id, asyncio.run(encode_snapshot(MeshState(next_offset=4), records))
    )
    assert len(chunks) > 4
    return chunks


def assemble_all(chunks):
    assembler = SnapshotAssembler()
    return [assembler.add(chunk) for chunk in chunks]


def test_snapshot_is_complete_only_after_the_last_chunk(chunks):
    *earlier, last = assemble_all(chunks)
    assert all(outcome.unwrap() is None for outcome in earlier)
    assert last.unwrap().records == records
    assert last.unwrap().state.next_offset == 4


@given(st.integers(0, 10_000))
def test_snapshot_with_a_flipped_bit_is_rejected(seed):
    with pytest.MonkeyPatch.context() as monkeypatch:
        chunks = make_chunks(monkeypatch)
    rng = random.Random(seed)
    index = rng.randrange(len(chunks))
    data = bytearray(chunks[index].data)
    data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    chunks[index] = attrs.evolve(chunks[index], data=bytes(data))
    assert isinstance(assemble_all(chunks)[-1], Err)


def test_missing_duplicate_and_foreign_chunks_are_rejected(chunks, monkeypatch):
    foreign = make_chunks(monkeypatch, snapshot_id=8)
    invalid_sequences = (
        [chunks[0], *chunks[2:]],
        [chunks[0], chunks[0], *chunks[1:]],
        [chunks[0], foreign[1], *chunks[2:]],
    )
    for sequence in invalid_sequences:
        outcomes = assemble_all(sequence)
        assert any(isinstance(outcome, Err) for outcome in outcomes)
        assert all(isinstance(o, Err) or o.ok_value is None for o in outcomes)


@pytest.mark.parametrize("count", [0, -1, 10**9])
def test_out_of_range_chunk_count_is_rejected(chunks, count):
    chunk = attrs.evolve(chunks[0], count=count)
    assert isinstance(SnapshotAssembler().add(chunk), Err)


@given(st.binary(max_size=100))
def test_random_bytes_are_rejected(data):
    assert isinstance(snapshots.decode_snapshot(data), Err)
