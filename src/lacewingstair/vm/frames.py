"""Frames that carry messages between VMs.

A frame is a 4-byte big-endian length, a flag byte and the message. Flag 1 marks a
message compressed with zstd.
"""

from typing import Any

import zstandard
from result import Err, Ok, Result

from lacewingstair.errors import FrameError
from lacewingstair.vm import messages

MAX_FRAME_BYTES = 1 << 20
MAX_PLAIN_BYTES = 2 << 20
MAX_WINDOW_BYTES = 8 << 20
COMPRESS_ABOVE_BYTES = 512
HEADER_BYTES = 5
_PLAIN = 0
_ZSTD = 1


class FrameEncoder:
    """Encodes messages; a message sent to several peers in a row is encoded once."""

    def __init__(self) -> None:
        self._body: Any = None
        self._frame = b""

    def encode(self, body: Any) -> bytes:
        """Return a message as a frame."""
        if body is not self._body:
            self._frame = encode_frame(body)
            self._body = body
        return self._frame


def encode_frame(body: Any) -> bytes:
    """Return a message as a frame."""
    data = messages.encode(body)
    flag = _PLAIN
    if len(data) > COMPRESS_ABOVE_BYTES and not isinstance(
        body, messages.SnapshotChunk
    ):
        data = zstandard.compress(data)
        flag = _ZSTD
    return len(data).to_bytes(4, "big") + bytes([flag]) + data


def parse_header(header: bytes) -> Result[tuple[int, int], FrameError]:
    """Return the length of the data and the flag from the first bytes of a frame."""
    length = int.from_bytes(header[:4], "big")
    if length > MAX_FRAME_BYTES:
        reason = f"{length} bytes, at most {MAX_FRAME_BYTES} are allowed"
        return Err(FrameError(reason))
    return Ok((length, header[4]))


def decode_frame(flag: int, data: bytes) -> Result[Any, FrameError]:
    """Return the message of a frame without its header."""
    if flag == _PLAIN:
        return messages.decode(data)
    if flag != _ZSTD:
        return Err(FrameError(f"unknown flag {flag}"))
    plain = _decompress(data)
    if isinstance(plain, Err):
        return plain
    return messages.decode(plain.ok_value)


def _decompress(data: bytes) -> Result[bytes, FrameError]:
    # The size in the header is checked first, since the library allocates it at once
    # and does not apply `max_output_size` to it.
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_PLAIN_BYTES:
            reason = f"{size} bytes unpacked, at most {MAX_PLAIN_BYTES} are allowed"
            return Err(FrameError(reason))
        unpacker = zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES)
        return Ok(unpacker.decompress(data, max_output_size=MAX_PLAIN_BYTES))
    except zstandard.ZstdError as error:
        return Err(FrameError(f"not zstd: {error}"))
