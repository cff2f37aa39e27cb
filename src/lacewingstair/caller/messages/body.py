"""Request bodies: small ones are buffered for retries, large ones are streamed."""

from collections.abc import AsyncIterator

import attrs
from aiohttp.streams import StreamReader

REPLAY_BYTES = 64 << 10


class BodyTooLarge(ValueError):  # noqa: N818 - internal to this package, to stop a stream
    """A streamed body exceeds the limit of its route."""


@attrs.define
class Body:
    """Request body of which a prefix is buffered.

    Parameters
    ----------
    prefix : bytes
        Bytes that were read before dispatch.
    remainder : StreamReader or None
        Stream of the remaining bytes; None when `prefix` is the whole body.
    length : int or None
        ``Content-Length`` of a streamed body; None with chunked encoding.
    limit : int
        Largest allowed size in bytes.
    is_consumed : bool
        Whether reading of `remainder` has begun.
    """

    prefix: bytes = b""
    remainder: StreamReader | None = None
    length: int | None = None
    limit: int = 1 << 20
    is_consumed: bool = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent again from its beginning."""
        return self.remainder is None or not self.is_consumed

    def framing(self, has_body: bool) -> bytes:
        """Return the header line that frames the body, or an empty string."""
        if self.remainder is None:
            return b"Content-Length: %d\r\n" % len(self.prefix) if has_body else b""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    async def frames(self) -> AsyncIterator[bytes]:
        """Yield the body as it is written to the connection.

        Raises
        ------
        BodyTooLarge
            The body exceeds its limit. The request sent so far is incomplete.
        """
        if self.remainder is None:
            yield self.prefix
            return
        self.is_consumed = True
        size = len(self.prefix)
        yield self._frame(self.prefix)
        while chunk := await self.remainder.readany():
            size += len(chunk)
            if size > self.limit:
                raise BodyTooLarge
            yield self._frame(chunk)
        if self.length is None:
            yield b"0\r\n\r\n"

    def _frame(self, chunk: bytes) -> bytes:
        if self.length is not None or not chunk:
            return chunk
        return b"%x\r\n%b\r\n" % (len(chunk), chunk)


async def read_prefix(stream: StreamReader) -> tuple[bytes, bool]:
    """Read up to `REPLAY_BYTES` of a body, and return whether that is the whole body.

    The result may exceed the limit by part of the last chunk.
    """
    parts: list[bytes] = []
    size = 0
    while size <= REPLAY_BYTES:
        chunk = await stream.readany()
        if not chunk:
            return b"".join(parts), True
        parts.append(chunk)
        size += len(chunk)
    return b"".join(parts), stream.at_eof()
