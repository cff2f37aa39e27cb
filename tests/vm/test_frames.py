import asyncio

import msgpack
import zstandard
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from lacewingstair.vm import messages
from lacewingstair.vm.directory import Endpoint, EndpointState, VmRecord, VmStatus
from lacewingstair.vm.frames import (
    HEADER_BYTES,
    MAX_DECOMPRESSED_BYTES,
    MAX_FRAME_BYTES,
    FrameEncoder,
    decode_frame,
    encode_frame,
)
from lacewingstair.vm.transport import TcpStream

record = VmRecord(
    "vm", "r", "z", "a:1", 5, 2, VmStatus.LEAVING,
    (Endpoint("s", "v", "e:1", state=EndpointState.DRAINING),),
)  # fmt: skip
HEARTBEAT = messages.Heartbeat(1, 2, 5, 3, 4)
plain_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats()
    | st.binary(max_size=20) | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=5)
    | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=20,
)  # fmt: skip


def receive_bytes(data):
    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await TcpStream(reader, None, FrameEncoder()).receive()

    return asyncio.run(read())


def frame_bytes(data, flag=0):
    return len(data).to_bytes(4, "big") + bytes([flag]) + data


def test_a_round_trip_keeps_a_message_and_its_types():
    body = messages.DirectoryDelta((record,) * 50)
    decoded = receive_bytes(encode_frame(body)).unwrap()
    assert decoded == body
    assert decoded.records[0].status is VmStatus.LEAVING
    assert decoded.records[0].endpoints[0].state is EndpointState.DRAINING


@given(st.binary(max_size=200))
def test_random_bytes_return_an_error_instead_of_raising(data):
    assert isinstance(receive_bytes(data), Err)


@given(st.integers(0, 20), plain_values)
def test_random_values_decode_to_an_error_or_a_well_typed_message(code, value):
    fields = value if isinstance(value, list) else [value]
    outcome = messages.decode(msgpack.packb([code, *fields]))
    if isinstance(outcome, Ok):
        assert messages.decode(messages.encode(outcome.ok_value)) == outcome


@given(st.data())
def test_corrupted_frames_never_raise(data):
    frame = bytearray(encode_frame(messages.DirectoryDelta((record,) * 20)))
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(HEADER_BYTES - 1, len(frame) - 1))
        frame[position] = data.draw(st.integers(0, 255))
    receive_bytes(bytes(frame))


@given(st.integers(0, 59))
def test_a_truncated_frame_is_an_error(length):
    frame = encode_frame(HEARTBEAT)
    outcome = receive_bytes(frame[: length % len(frame)])
    assert isinstance(outcome, Err)
    is_empty = length % len(frame) == 0
    assert outcome.err_value.reason == ("closed" if is_empty else "truncated")


def test_an_oversized_frame_is_rejected_by_its_header():
    header = (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + b"\0"
    assert "exceeds the limit" in receive_bytes(header).err_value.reason


def test_a_compression_bomb_is_rejected_before_decompression():
    bomb = zstandard.compress(bytes(MAX_DECOMPRESSED_BYTES + 1))
    assert len(bomb) < 1000
    assert "decompressed size" in decode_frame(1, bomb).err_value.reason
    unsized = zstandard.ZstdCompressor(write_content_size=False)
    stream = unsized.compress(bytes(100 << 20))
    assert isinstance(decode_frame(1, stream), Err)


def test_deep_nesting_and_maps_are_rejected():
    assert isinstance(messages.decode(b"\x91" * 100_000 + b"\xc0"), Err)
    assert isinstance(messages.decode(msgpack.packb([2, {"a": 1}])), Err)


def test_a_message_sent_to_several_peers_is_encoded_once():
    encoder = FrameEncoder()
    first = encoder.encode(HEARTBEAT)
    assert encoder.encode(HEARTBEAT) is first
    assert encoder.encode(messages.Goodbye("x")) != first
