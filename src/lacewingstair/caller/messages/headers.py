"""Header names of calls, and rules for forwarding header fields."""

from collections.abc import Iterable

OUTCOME = "Lacewingstair-Outcome"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
DEADLINE_MS = "Lacewingstair-Deadline-Ms"
RETRY = "Lacewingstair-Retry"
RETRY_NO = "no"
CUSTOMER = "Lacewingstair-Customer"

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Request headers that are regenerated or dropped: the body is reframed, the deadline is
# the remaining time, and this process has already answered ``Expect``.
REPLACED = frozenset({"content-length", "expect", DEADLINE_MS.lower()})

_REQUEST_DROPPED = frozenset(name.encode() for name in HOP_BY_HOP | REPLACED)


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the end-to-end headers.

    Headers that ``Connection`` names are hop-by-hop and are removed as well.
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return [(name, value) for name, value in pairs if name.lower() not in dropped]


def request_lines(raw_headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the header lines of a request that are forwarded to the upstream."""
    pairs = [(name, name.lower(), value) for name, value in raw_headers]
    dropped = _REQUEST_DROPPED
    for _, lower, value in pairs:
        if lower == b"connection":
            dropped = dropped | {token.strip().lower() for token in value.split(b",")}
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for name, lower, value in pairs
        if lower not in dropped
    )
