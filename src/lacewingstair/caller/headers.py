"""Headers of calls, and which of them are passed on."""

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


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are passed on.

    Headers named in ``Connection`` apply to one connection and are left out too.
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
