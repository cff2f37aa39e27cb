"""Bodies of requests, kept for repeats when small and streamed when large."""

from collections.abc import AsyncIterator

import attrs
from aiohttp.streams import StreamReader

REPLAY_BYTES = 64 << 10


class BodyTooLarge(ValueError):  # noqa: N818 - it ends a stream within this package
    """A streamed body exceeded the limit of its route."""


@attrs.define
class Body:
    """Body of a request.

    Parameters
    ----------
    start : bytes
        What was read before dispatch.
    rest : StreamReader or None
        Where the rest comes from; None when `start` is all of it.
    length : int or None
        Announced length of a streamed body; None for one in chunks.
    limit : int
        Largest size in bytes.
    """

    prefix: bytes = b""
    remainder: StreamReader | None = None
    length: int | None = None
    limit: int = 1 << 20
    is_consumed: bool = False

    @property
    def is_replayable(self) -> bool:
        """Whether it can be sent again from its start."""
        return self.remainder is None or not self.is_consumed

    def framing(self, has_body: bool) -> bytes:
        """Return the header line that frames the body, or nothing."""
        if self.remainder is None:
            return b"Content-Length: %d\r\n" % len(self.prefix) if has_body else b""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    async def frames(self) -> AsyncIterator[bytes]:
        """Yield the body as it goes on the wire.

        Raises
        ------
        BodyTooLarge
            The body exceeds its limit; what was sent so far is not a whole request.
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
    """Return up to `REPLAY_BYTES` of a body and whether that is all of it.

    A little more is returned when the last chunk goes beyond the bound.
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
