"""Response that is written to the caller as preformatted bytes."""

from aiohttp import web


class RawResponse(web.StreamResponse):
    """Complete response, head and body, in wire format.

    Parameters
    ----------
    status : int
        HTTP status.
    data : bytes
        Head and body in wire format.
    keeps_connection : bool
        Whether the caller's connection stays open.
    """

    def __init__(self, status: int, data: bytes, keeps_connection: bool = True) -> None:
        super().__init__(status=status)
        self._data = data
        self._keeps_connection = keeps_connection

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write the response to the caller's connection."""
        transport = request.transport
        self._keep_alive = self._keeps_connection
        self._eof_sent = True
        if transport is not None and not transport.is_closing():
            transport.write(self._data)

    async def write_eof(self, data: bytes = b"") -> None:
        """Do nothing, as `prepare` writes the whole response."""
