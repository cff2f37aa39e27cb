import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.rollouts.marks import RollbackMark, RolloutKey
from lacewingstair.ticket_log.checkpoint import CHUNK_BYTES, split_checkpoint
from lacewingstair.ticket_log.log import LogRecord
from lacewingstair.ticket_log.records import (
    Envelope,
    Lease,
    TakeBackRecord,
    decode_record,
    encode_record,
)
from lacewingstair.ticket_log.system_view import MAX_LEASE_MS, SystemView

TTL_MS = 60_000
MARK = RollbackMark(RolloutKey("move", 1), "errors", "9 of 10 calls", 12.5, "vm-1")


class Stream:
    """System stream written by hand, with a view that folds it."""

    def __init__(self):
        self.records = []
        self.sequences = {}
        self.view = SystemView()

    def add(self, time_ms, writer, body, sequence=None):
        if sequence is None:
            sequence = self.sequences[writer] = self.sequences.get(writer, 0) + 1
        text = encode_record(Envelope(writer, sequence, body))
        return self.add_text(time_ms, text)

    def add_text(self, time_ms, text):
        record = LogRecord(len(self.records), time_ms, text)
        self.records.append(record)
        self.view.fold(record)
        return record.offset

    def lease(self, time_ms, writer):
        return self.add(time_ms, writer, Lease(TTL_MS))

    def checkpoints(self):
        return [(c.token, c.data) for c in self.view.checkpoints]


def test_a_lease_is_granted_only_when_no_other_is_live_at_its_log_time():
    stream = Stream()
    first = stream.lease(0, "a")
    stream.lease(TTL_MS - 1, "b")
    assert stream.view.lease.token == first
    third = stream.lease(TTL_MS, "b")
    assert stream.view.lease.token == third


@pytest.mark.parametrize("ttl_ms", [0, -1, MAX_LEASE_MS + 1])
def test_a_lease_of_an_unreasonable_length_is_not_granted(ttl_ms):
    stream = Stream()
    stream.add(0, "a", Lease(ttl_ms))
    assert stream.view.lease is None


def test_a_checkpoint_in_several_chunks_counts_once_whole():
    stream = Stream()
    token = stream.lease(0, "a")
    data = bytes(range(256)) * (CHUNK_BYTES // 100)
    chunks = list(split_checkpoint(data, token, 7))
    assert len(chunks) == 3
    for chunk in chunks[:-1]:
        stream.add(1, "a", chunk)
    assert stream.checkpoints() == []
    stream.add(1, "a", chunks[-1])
    assert stream.checkpoints() == [(token, data)]


@pytest.mark.parametrize("fault", ["expired", "other writer", "old token", "digest"])
def test_chunks_without_a_valid_lease_or_digest_are_ignored(fault):
    stream = Stream()
    token = stream.lease(0, "a")
    (chunk,) = split_checkpoint(b"state", token, 7)
    time_ms, writer = 1, "a"
    if fault == "expired":
        time_ms = TTL_MS
    elif fault == "other writer":
        writer = "b"
    elif fault == "old token":
        stream.lease(TTL_MS, "a")
        time_ms = TTL_MS + 1
    else:
        chunk = attrs.evolve(chunk, data=b"statE")
    stream.add(time_ms, writer, chunk)
    assert stream.checkpoints() == []


@given(st.lists(st.integers(0, 3), max_size=12), st.integers(0, 3))
def test_crossed_and_doubled_chunks_count_only_when_all_are_there(order, damaged):
    stream = Stream()
    token = stream.lease(0, "a")
    data = bytes(range(256)) * (CHUNK_BYTES // 70)
    chunks = list(split_checkpoint(data, token, 7))
    for position, index in enumerate(order):
        chunk = chunks[index]
        if position == damaged:
            chunk = attrs.evolve(chunk, data=chunk.data[:-1])
        stream.add(1, "a", chunk)
    intact = {index for i, index in enumerate(order) if i != damaged}
    if stream.checkpoints():
        assert stream.checkpoints()[0] == (token, data)
        assert len(intact) == len(chunks)
    elif len(intact) == len(chunks) and damaged >= len(order):
        raise AssertionError("a whole checkpoint did not count")


def test_a_checkpoint_older_than_the_newest_is_passed_over():
    stream = Stream()
    token = stream.lease(0, "a")
    for next_offset in (9, 5):
        (chunk,) = split_checkpoint(b"%d" % next_offset, token, next_offset)
        stream.add(1, "a", chunk)
    assert stream.checkpoints() == [(token, b"9")]


def test_a_repeated_record_is_folded_once():
    stream = Stream()
    stream.add(0, "a", Lease(TTL_MS), sequence=1)
    stream.add(TTL_MS, "b", Lease(TTL_MS), sequence=1)
    stream.add(2 * TTL_MS, "a", Lease(TTL_MS), sequence=1)
    assert stream.view.lease.token == 1


def test_folding_again_from_an_earlier_offset_changes_nothing():
    stream = Stream()
    token = stream.lease(0, "a")
    (chunk,) = split_checkpoint(b"state", token, 7)
    stream.add(1, "a", chunk)
    stream.add(2, "b", TakeBackRecord(MARK))
    for record in stream.records:
        stream.view.fold(record)
    assert stream.checkpoints() == [(token, b"state")]
    assert stream.view.marks.rollbacks_by_key == {MARK.key: MARK}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "null",
        "[" * 100_000,
        '{"writer":"a","sequence":1,"kind":"other","body":{}}',
        '{"writer":"a","sequence":1,"kind":["lease"],"body":{}}',
        '{"writer":"a","sequence":"1","kind":"lease","body":{"ttl_ms":1}}',
        '{"writer":"a","sequence":1,"kind":"lease","body":{"ttl_ms":1.5}}',
        '{"writer":"a","sequence":1,"kind":"lease","body":null}',
        '{"writer":"a","sequence":1,"kind":"take-back","body":{"mark":{"key":1}}}',
        '{"writer":"a","sequence":1,"kind":"checkpoint-chunk","body":{"token":0,'
        '"next_offset":1,"index":0,"count":1,"digest":"","data":"%%%"}}',
    ],
)
def test_a_malformed_or_foreign_record_is_passed_over(text):
    stream = Stream()
    stream.add_text(0, text)
    assert decode_record(text).is_err()
    token = stream.lease(1, "a")
    assert stream.view.lease.token == token


@given(st.text(), st.text(), st.integers(0, 1 << 62), st.binary(max_size=50))
def test_a_decoded_record_is_equal(writer, reason, sequence, data):
    bodies = [
        Lease(sequence),
        TakeBackRecord(attrs.evolve(MARK, reason=reason)),
        *split_checkpoint(data or b"x", 1, 2),
    ]
    for body in bodies:
        envelope = Envelope(writer, sequence, body)
        assert decode_record(encode_record(envelope)).unwrap() == envelope
