import itertools
import tracemalloc

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.vm import call_messages
from lacewingstair.vm.decoder_pool import (
    MAX_DECODED_BYTES,
    MAX_IDLE_DECODERS,
    DecoderPool,
    StreamDecoder,
)

STREAMS = 400
MAX_IDLE_STREAM_BYTES = 1 << 10


def test_idle_streams_take_little_memory():
    """Guards against links whose decoders take a quarter of a small VM's memory."""
    data = msgpack.packb([1, "a"])
    pool = DecoderPool(call_messages.unpacker)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    streams = [StreamDecoder(pool) for _ in range(STREAMS)]
    for stream in streams:
        assert stream.feed(data) == [([1, "a"], len(data))]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    decoder_bytes = 64 << 10
    assert after - before < STREAMS * MAX_IDLE_STREAM_BYTES + decoder_bytes
    assert pool.idle_decoders == 1


def test_a_decoder_of_large_messages_is_not_kept():
    """Guards against memory that stays taken after a storm of large messages."""
    pool = DecoderPool(call_messages.unpacker)
    stream = StreamDecoder(pool)
    large = msgpack.packb([b"x" * MAX_DECODED_BYTES])
    assert stream.feed(large[:-1]) == []
    assert stream.incomplete_bytes == len(large) - 1
    assert len(stream.feed(large[-1:])) == 1
    assert pool.idle_decoders == 0
    assert stream.incomplete_bytes == 0


def test_few_decoders_are_kept():
    pool = DecoderPool(call_messages.unpacker)
    streams = [StreamDecoder(pool) for _ in range(2 * MAX_IDLE_DECODERS)]
    data = msgpack.packb([1])
    for part in (data[:0], data[:1], data[1:]):
        for stream in streams:
            stream.feed(part)
    assert pool.idle_decoders <= MAX_IDLE_DECODERS


def test_a_decoder_that_failed_is_not_lent_again():
    """Guards against one broken stream that breaks others."""
    pool = DecoderPool(call_messages.unpacker)
    stream = StreamDecoder(pool)
    with pytest.raises((ValueError, msgpack.UnpackException)):
        stream.feed(b"\xc1")
    assert pool.idle_decoders == 0
    assert StreamDecoder(pool).feed(msgpack.packb([7])) == [([7], 2)]


@given(
    arrays=st.lists(st.lists(st.integers(0, 1 << 40) | st.binary(max_size=90))),
    cuts=st.lists(st.integers(0, 4000)),
)
def test_streams_that_share_decoders_do_not_mix_their_arrays(arrays, cuts):
    """Guards against messages of one VM that are taken for another's."""
    pool = DecoderPool(call_messages.unpacker)
    streams = [StreamDecoder(pool) for _ in range(3)]
    found = [[] for _ in streams]
    data = b"".join(map(msgpack.packb, arrays))
    bounds = sorted({0, len(data), *(min(cut, len(data)) for cut in cuts)})
    for start, end in itertools.pairwise(bounds):
        for stream, taken in zip(streams, found, strict=True):
            taken += stream.feed(data[start:end])
    sizes = [len(msgpack.packb(array)) for array in arrays]
    for stream, taken in zip(streams, found, strict=True):
        assert taken == list(zip(arrays, sizes, strict=True))
        assert stream.incomplete_bytes == 0
