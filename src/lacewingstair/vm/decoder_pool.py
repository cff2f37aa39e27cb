"""Decoders of msgpack arrays, shared by the streams of a process.

A decoder takes 42 KiB before it has decoded anything, and its buffer never shrinks. A
VM has two streams with each other VM, of which few are in the middle of a message at
any time, so a stream holds a decoder only then.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgpack

# Decoders that are kept for the next messages.
MAX_IDLE_DECODERS = 8
# A decoder whose buffer may have grown beyond this is not kept.
MAX_DECODED_BYTES = 64 << 10


class DecoderPool:
    """Lends decoders to streams.

    Parameters
    ----------
    make : callable
        Returns a new decoder.
    """

    def __init__(self, make: Callable[[], msgpack.Unpacker]) -> None:
        self._make = make
        self._idle: list[msgpack.Unpacker] = []

    @property
    def idle_decoders(self) -> int:
        """Number of decoders that are kept."""
        return len(self._idle)

    def acquire(self) -> msgpack.Unpacker:
        """Return a decoder that is in the middle of nothing."""
        return self._idle.pop() if self._idle else self._make()

    def release(self, decoder: msgpack.Unpacker) -> None:
        """Take back a decoder that is in the middle of nothing."""
        is_small = decoder.tell() < MAX_DECODED_BYTES
        if is_small and len(self._idle) < MAX_IDLE_DECODERS:
            self._idle.append(decoder)


class StreamDecoder:
    """Decodes the arrays of one stream.

    Parameters
    ----------
    pool : DecoderPool
        Where decoders come from.

    Attributes
    ----------
    incomplete_bytes : int
        Bytes received of an array that is not complete.
    """

    def __init__(self, pool: DecoderPool) -> None:
        self._pool = pool
        self._decoder: msgpack.Unpacker | None = None
        # Where the newest complete array ends, as `Unpacker.tell` counts.
        self._boundary = 0
        self.incomplete_bytes = 0

    def feed(self, data: bytes) -> list[tuple[Any, int]]:
        """Return the arrays that are complete now, with their sizes in bytes.

        Raises
        ------
        ValueError, msgpack.UnpackException
            The data cannot be decoded; the stream is of no further use.
        """
        if self._decoder is None:
            self._decoder = self._pool.acquire()
            self._boundary = self._decoder.tell()
        decoder = self._decoder
        decoder.feed(data)
        self.incomplete_bytes += len(data)
        arrays = list(self._complete_arrays(decoder))
        if not self.incomplete_bytes:
            self._pool.release(decoder)
            self._decoder = None
        return arrays

    def _complete_arrays(self, decoder: msgpack.Unpacker) -> Iterator[tuple[Any, int]]:
        for array in decoder:
            end = decoder.tell()
            size = end - self._boundary
            self._boundary = end
            self.incomplete_bytes -= size
            yield array, size
