"""What counts as the final response of an upstream, and why a response is unusable.

A response outside the protocol is never passed on: callers take some statuses for a
promise, and ambiguous framing ends at different bytes for different readers. It may
still belong to a call that has run, so that the call's outcome is unknown.
"""

import enum
import re
from collections.abc import Iterable

import attrs
from aiohttp.http import HttpVersion10, HttpVersion11, RawResponseMessage

FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
# RFC 9112, section 4: tabs, spaces, visible characters and bytes above 0x7F.
_REASON_PHRASE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_HEADER_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\x00]*\r\n)*")
_FRAMING_LINE = re.compile(
    rb"^(?:content-length|transfer-encoding|connection):", re.IGNORECASE | re.MULTILINE
)


class FaultKind(enum.Enum):
    """What is wrong with a response."""

    MALFORMED = "malformed"
    STATUS = "status"
    VERSION = "version"
    REASON_PHRASE = "reason_phrase"
    FRAMING = "framing"
    REPEATED_FIELD = "repeated_field"
    CONTRADICTION = "contradiction"


@attrs.frozen
class ResponseFault:
    """Why a response cannot be used.

    Parameters
    ----------
    kind : FaultKind
        What is wrong; faults are counted by it.
    reason : str
        Description.
    """

    kind: FaultKind
    reason: str


def find_head_fault(
    message: RawResponseMessage, single_fields: Iterable[str]
) -> ResponseFault | None:
    """Return why a response is unusable by its head, or None.

    Parameters
    ----------
    message : RawResponseMessage
        Head, as parsed.
    single_fields : iterable of str
        Fields that decide about the call; with two of one, either could be meant.
    """
    status, version = message.code, message.version
    if not FIRST_FINAL_STATUS <= status <= LAST_STATUS:
        reason = f"the response has status {status:03}, which is not final"
        return ResponseFault(FaultKind.STATUS, reason)
    if version not in (HttpVersion10, HttpVersion11):
        reason = f"the response has HTTP version {version.major}.{version.minor}"
        return ResponseFault(FaultKind.VERSION, reason)
    if not _REASON_PHRASE.fullmatch(reason_phrase(message)):
        reason = "the reason phrase has control characters"
        return ResponseFault(FaultKind.REASON_PHRASE, reason)
    framing = _find_framing_fault(message)
    if framing:
        return ResponseFault(FaultKind.FRAMING, framing)
    for name in single_fields:
        if len(message.headers.getall(name, ())) > 1:
            reason = f"the response repeats {name}"
            return ResponseFault(FaultKind.REPEATED_FIELD, reason)
    return None


def reason_phrase(message: RawResponseMessage) -> str:
    """Return the reason phrase with one character for each byte."""
    return message.reason.encode("utf-8", "surrogateescape").decode("latin-1")


def find_answer_fault(
    status: object, reason: object, header_lines: object, body: object
) -> str:
    """Return why an answer that another VM passes on is unusable, or an empty text.

    Other VMs can run an earlier program that passes on every response.
    """
    is_status = type(status) is int and FIRST_FINAL_STATUS <= status <= LAST_STATUS
    if not is_status:
        return f"another VM passed on status {status!r:.20}"
    if not isinstance(reason, str) or not _REASON_PHRASE.fullmatch(reason):
        return "another VM passed on a malformed reason phrase"
    if not isinstance(header_lines, bytes) or not isinstance(body, bytes):
        return "another VM passed on a response that has no bytes"
    if not _HEADER_LINES.fullmatch(header_lines):
        return "another VM passed on malformed header lines"
    if _FRAMING_LINE.search(header_lines):
        return "another VM passed on the framing of a response"
    return ""


def _find_framing_fault(message: RawResponseMessage) -> str:
    fields = message.headers
    if "Transfer-Encoding" not in fields:
        if len(fields.getall("Content-Length", ())) > 1:
            return "the response repeats Content-Length"
        return ""
    codings = fields.getall("Transfer-Encoding")
    if "Content-Length" in fields:
        return "the response has both Transfer-Encoding and Content-Length"
    if len(codings) != 1 or codings[0].strip().lower() != "chunked":
        return f"the response has Transfer-Encoding {codings!r:.100}"
    if message.version != HttpVersion11:
        return "the response has Transfer-Encoding in HTTP/1.0"
    return ""
