"""Reads the body of an HTTP answer up to a bound."""

from collections.abc import Callable

from aiohttp import ClientPayloadError, ClientResponse

READ_CHUNK_BYTES = 64 << 10


class AnswerTooLargeError(ClientPayloadError):
    """The body has more bytes than are allowed."""


async def read_bounded(
    answer: ClientResponse,
    max_bytes: int,
    on_received: Callable[[int], None] = lambda size: None,
) -> bytes:
    """Return the whole body, or raise AnswerTooLargeError.

    Parameters
    ----------
    answer : ClientResponse
        Answer whose head has been read.
    max_bytes : int
        Bytes of the largest body.
    on_received : callable, optional
        Takes the size of each part that has arrived.
    """
    data = bytearray()
    async for chunk in answer.content.iter_chunked(READ_CHUNK_BYTES):
        data += chunk
        on_received(len(chunk))
        if len(data) > max_bytes:
            raise AnswerTooLargeError(f"the answer is larger than {max_bytes} bytes")
    return bytes(data)
