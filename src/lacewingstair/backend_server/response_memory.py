"""Bound on the memory of all responses that are being received.

Each response has a bound of its own, but many calls run at a time, and a backend server
in trouble may send bodies without end to all of them. The largest response is dropped
first, so that the small ones of good calls are still received.
"""

import contextlib
from collections.abc import Iterator

import attrs

from lacewingstair.backend_server.connection import (
    UnboundedResponseError,
    UpstreamConnection,
)


@attrs.define(eq=False)
class PartialResponse:
    """Body that is being received on a connection, and its bytes so far."""

    connection: UpstreamConnection
    size: int = 0


class ResponseMemory:
    """Counts the bytes of the bodies that are being received.

    Parameters
    ----------
    max_bytes : int
        Bytes of all of them together.

    Attributes
    ----------
    buffered_bytes : int
        Bytes of all of them now.
    """

    def __init__(self, max_bytes: int) -> None:
        self.buffered_bytes = 0
        self._max_bytes = max_bytes
        self._responses: set[PartialResponse] = set()

    @contextlib.contextmanager
    def receiving(self, connection: UpstreamConnection) -> Iterator[PartialResponse]:
        """Count a body while it is received."""
        response = PartialResponse(connection)
        self._responses.add(response)
        try:
            yield response
        finally:
            self._forget(response)

    def add(self, response: PartialResponse, size: int) -> None:
        """Count further bytes; the connections of the largest bodies may be closed."""
        if response not in self._responses:
            return
        response.size += size
        self.buffered_bytes += size
        while self.buffered_bytes > self._max_bytes:
            self._drop(max(self._responses, key=lambda other: other.size))

    def _drop(self, response: PartialResponse) -> None:
        reason = (
            f"{response.size} bytes of this answer, while all answers together had "
            f"{self.buffered_bytes} of {self._max_bytes} bytes"
        )
        self._forget(response)
        response.connection.abort_with(UnboundedResponseError(reason))

    def _forget(self, response: PartialResponse) -> None:
        if response in self._responses:
            self._responses.remove(response)
            self.buffered_bytes -= response.size
