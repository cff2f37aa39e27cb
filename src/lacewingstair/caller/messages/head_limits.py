"""Finds the ends of heads in received bytes and bounds their sizes; performs no I/O.

Load pattern: a client sends header lines, one header line, or empty lines without end.
The parser bounds single lines and their number, but neither the whole head nor what it
is given after it has failed.
"""

from result import Err, Ok, Result

from lacewingstair.caller.connections.client_limits import ClientLimits, CloseReason

HEAD_END = b"\r\n\r\n"


class HeadLimits:
    """State of the head that a connection receives.

    Parameters
    ----------
    limits : ClientLimits
        Sizes allowed.

    Attributes
    ----------
    head_bytes, head_lines : int
        Bytes and lines received of a head that is not complete.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._empty_line_bytes = 0
        # Last bytes of an incomplete head, where its end may have begun.
        self._last = b""
        self.head_bytes = 0
        self.head_lines = 0

    def begin(self, head: bytes = b"") -> None:
        """Expect the next head, of which some bytes may have been received."""
        self.head_bytes = len(head)
        self.head_lines = head.count(b"\n")
        self._empty_line_bytes = 0
        self._last = head[-3:]

    def skip_empty_lines(self, data: bytes, start: int) -> Result[int, CloseReason]:
        """Count empty lines before a head; return where data goes on behind them."""
        if self.head_bytes or data[start] not in HEAD_END:
            return Ok(start)
        allowed = self._limits.max_empty_line_bytes - self._empty_line_bytes
        part = data[start : start + allowed + 1]
        skipped = len(part) - len(part.lstrip(HEAD_END))
        if skipped > allowed:
            return Err(CloseReason.EMPTY_LINES)
        self._empty_line_bytes += skipped
        return Ok(start + skipped)

    def take(self, data: bytes, start: int) -> Result[int, CloseReason]:
        """Count data of a head from `start` on; return where that head ends."""
        last = self._last
        # The end may have begun in earlier data.
        found = (last + data[start : start + 3]).find(HEAD_END) if last else -1
        if found >= 0:
            end = start + found + len(HEAD_END) - len(last)
        else:
            found = data.find(HEAD_END, start)
            end = len(data) if found < 0 else found + len(HEAD_END)
        self.head_bytes += end - start
        self.head_lines += data.count(b"\n", start, end)
        if self.head_bytes > self._limits.max_head_bytes:
            return Err(CloseReason.HEAD_TOO_LARGE)
        self._last = (last + data[max(start, end - 3) : end])[-3:] if found < 0 else b""
        return Ok(end)
