"""Response that is written to the caller as preformatted bytes."""

from aiohttp import web
from aiohttp.http import HttpVersion11


class RawResponse(web.StreamResponse):
    """Complete response, head and body, in wire format.

    Whether the connection stays open is decided as the response is written: a response
    can be ready long before, behind slower ones of the same connection.

    Parameters
    ----------
    status : int
        HTTP status.
    head : bytes
        Status line and header lines, without ``Connection`` and the empty line.
    body : bytes
        Body, framed as the header lines say.
    may_keep_connection : bool
        Whether the caller's connection can stay open behind this response.

    Attributes
    ----------
    size : int
        Bytes that the response holds in memory until it is written.
    """

    def __init__(
        self, status: int, head: bytes, body: bytes, may_keep_connection: bool = True
    ) -> None:
        super().__init__(status=status)
        self._head = head
        self._raw_body = body
        self._may_keep_connection = may_keep_connection
        self.size = len(head) + len(body)

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write the response to the caller's connection."""
        transport = request.transport
        self._keep_alive = (
            self._may_keep_connection
            and request.keep_alive
            and request.version == HttpVersion11
        )
        self._eof_sent = True
        if transport is not None and not transport.is_closing():
            connection = b"" if self._keep_alive else b"Connection: close\r\n"
            transport.write(b"%b%b\r\n%b" % (self._head, connection, self._raw_body))
        # A slow reader keeps the response object, and the transport a copy of it.
        self._head = self._raw_body = b""

    async def write_eof(self, data: bytes = b"") -> None:
        """Do nothing, as `prepare` writes the whole response."""
