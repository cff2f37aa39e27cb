"""Framing of messages between VMs.

A frame consists of a 4-byte big-endian length, a flag byte and the encoded message. The
flag is 1 if the message is compressed with zstd, and 0 otherwise.
"""

from typing import Any

import zstandard
from result import Err, Ok, Result

from lacewingstair.errors import FrameError
from lacewingstair.vm import messages

MAX_FRAME_BYTES = 1 << 20
MAX_DECOMPRESSED_BYTES = 2 << 20
MAX_WINDOW_BYTES = 8 << 20
COMPRESSION_THRESHOLD_BYTES = 512
HEADER_BYTES = 5
_UNCOMPRESSED = 0
_ZSTD = 1


class FrameEncoder:
    """Encoder that caches its last frame.

    A message sent to several peers in a row is encoded only once.
    """

    def __init__(self) -> None:
        self._body: Any = None
        self._frame = b""

    def encode(self, body: Any) -> bytes:
        """Return the frame of a message."""
        if body is not self._body:
            self._frame = encode_frame(body)
            self._body = body
        return self._frame


def encode_frame(body: Any) -> bytes:
    """Return the frame of a message, compressed if it is large."""
    data = messages.encode(body)
    flag = _UNCOMPRESSED
    if len(data) > COMPRESSION_THRESHOLD_BYTES and not isinstance(
        body, messages.SnapshotChunk
    ):
        data = zstandard.compress(data)
        flag = _ZSTD
    return len(data).to_bytes(4, "big") + bytes([flag]) + data


def parse_header(header: bytes) -> Result[tuple[int, int], FrameError]:
    """Return the payload length and the flag from the header of a frame."""
    length = int.from_bytes(header[:4], "big")
    if length > MAX_FRAME_BYTES:
        reason = f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        return Err(FrameError(reason))
    return Ok((length, header[4]))


def decode_frame(flag: int, data: bytes) -> Result[Any, FrameError]:
    """Return the message in the payload of a frame."""
    if flag == _UNCOMPRESSED:
        return messages.decode(data)
    if flag != _ZSTD:
        return Err(FrameError(f"unknown compression flag {flag}"))
    decompressed = _decompress(data)
    if isinstance(decompressed, Err):
        return decompressed
    return messages.decode(decompressed.ok_value)


def _decompress(data: bytes) -> Result[bytes, FrameError]:
    # The content size in the zstd header is checked first, since the library allocates
    # that many bytes up front and does not apply `max_output_size` to it.
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_DECOMPRESSED_BYTES:
            reason = (
                f"decompressed size of {size} bytes is not within"
                f" 0 to {MAX_DECOMPRESSED_BYTES}"
            )
            return Err(FrameError(reason))
        decompressor = zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES)
        return Ok(decompressor.decompress(data, max_output_size=MAX_DECOMPRESSED_BYTES))
    except zstandard.ZstdError as error:
        return Err(FrameError(f"invalid zstd data: {error}"))
