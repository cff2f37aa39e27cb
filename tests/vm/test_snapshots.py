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
    made = split_into_chunks(
        snapshot_id, asyncio.run(encode_snapshot(MeshState(next_offset=4), records))
    )
    assert len(made) > 4
    return made


def assembled(chunks):
    assembler = SnapshotAssembler()
    return [assembler.add(chunk) for chunk in chunks]


def test_only_the_last_chunk_gives_the_snapshot(chunks):
    *before, last = assembled(chunks)
    assert all(outcome.unwrap() is None for outcome in before)
    assert last.unwrap().records == records
    assert last.unwrap().state.next_offset == 4


@given(st.integers(0, 10_000))
def test_a_snapshot_altered_on_the_way_is_not_used(seed):
    with pytest.MonkeyPatch.context() as monkeypatch:
        made = make_chunks(monkeypatch)
    rng = random.Random(seed)
    index = rng.randrange(len(made))
    data = bytearray(made[index].data)
    data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    made[index] = attrs.evolve(made[index], data=bytes(data))
    assert isinstance(assembled(made)[-1], Err)


def test_missing_doubled_and_foreign_chunks_are_refused(chunks, monkeypatch):
    foreign = make_chunks(monkeypatch, snapshot_id=8)
    faulty = (
        [chunks[0], *chunks[2:]],
        [chunks[0], chunks[0], *chunks[1:]],
        [chunks[0], foreign[1], *chunks[2:]],
    )
    for case in faulty:
        outcomes = assembled(case)
        assert any(isinstance(outcome, Err) for outcome in outcomes)
        assert all(isinstance(o, Err) or o.ok_value is None for o in outcomes)


@pytest.mark.parametrize("count", [0, -1, 10**9])
def test_a_count_of_chunks_out_of_bounds_is_refused(chunks, count):
    chunk = attrs.evolve(chunks[0], count=count)
    assert isinstance(SnapshotAssembler().add(chunk), Err)


@given(st.binary(max_size=100))
def test_random_bytes_are_not_a_snapshot(data):
    assert isinstance(snapshots.decode_snapshot(data), Err)
