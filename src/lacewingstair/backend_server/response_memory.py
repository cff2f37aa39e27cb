"""Limits the total memory of response bodies that are being received.

Each response has its own size limit, but many calls run concurrently, and a faulty
backend server may send endless bodies to all of them. The largest response is dropped
first, so that small responses to other calls still complete.
"""

import contextlib
from collections.abc import Callable, Iterator

import attrs

from lacewingstair.backend_server.connection import (
    UnboundedResponseError,
    UpstreamConnection,
)

# Responses that wait for their VMs to take them; large ones are not read on above it.
MAX_UNSENT_BYTES = 16 << 20
# Smaller responses are always read.
LARGE_RESPONSE_BYTES = 64 << 10


@attrs.define(eq=False)
class PartialResponse:
    """Response body that is being received, and its size in bytes so far."""

    connection: UpstreamConnection
    size: int = 0


class ResponseMemory:
    """Counts and limits the bytes of response bodies that are being received.

    Parameters
    ----------
    max_bytes : int
        Limit for all bodies together.

    Attributes
    ----------
    buffered_bytes : int
        Current size of all bodies together.
    unsent_bytes : callable
        Returns the bytes of responses that other VMs have not taken.
    """

    def __init__(self, max_bytes: int) -> None:
        self.buffered_bytes = 0
        self.unsent_bytes: Callable[[], int] = lambda: 0
        self._max_bytes = max_bytes
        self._responses: set[PartialResponse] = set()

    @contextlib.contextmanager
    def receiving(self, connection: UpstreamConnection) -> Iterator[PartialResponse]:
        """Track a body while it is being received."""
        response = PartialResponse(connection)
        self._responses.add(response)
        try:
            yield response
        finally:
            self._forget(response)

    def may_read(self, response: PartialResponse) -> bool:
        """Return whether a body is read on.

        A backend server may answer faster than the VMs of the callers take the
        responses. What is not read stays with the backend server.
        """
        if response.size < LARGE_RESPONSE_BYTES:
            return True
        return self.unsent_bytes() <= MAX_UNSENT_BYTES

    def add(self, response: PartialResponse, size: int) -> None:
        """Count received bytes, and abort the largest bodies while over the limit."""
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
