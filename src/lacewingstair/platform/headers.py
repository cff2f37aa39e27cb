"""Headers of the platform's calls, decoded into fields of the product."""

import re
from collections.abc import Iterable

import attrs
from multidict import CIMultiDictProxy

from lacewingstair import events
from lacewingstair.caller.messages.headers import HOP_BY_HOP

REQUEST_ID = "Request-Id"
DEADLINE = "Timeout-Ms"
SIGNATURE = "Response-Signature"
EXPECTED_UPSTREAM = "Target-Instance"
UPSTREAM_ID = "Instance-Id"
CALLER_SERVICE = "Caller-Service"
CREDENTIALS = "Authorization"
ACCOUNT = "Tenant"
NOT_RUN = "Not-Executed"
LOAD = "Server-Load"
KEEP_ALIVE = "Keep-Alive"
# Fields of an answer that decide about its call; each may stand once.
SINGLE_ANSWER_FIELDS = (REQUEST_ID, SIGNATURE, UPSTREAM_ID, NOT_RUN)
MAX_DEADLINE_MS = 3_600_000
_MAX_DIGITS = 10
_PRINTABLE = re.compile(r"[\x20-\x7e]*")
# Figures outside these bounds are faults of the sender: no shared machine is 20 times
# as fast or 100 times as slow as usual and still answers.
MIN_WORK_PERCENT = 5
MAX_WORK_PERCENT = 10_000
MAX_LOAD_CHARACTERS = 200
LOAD_FAULT_INTERVAL_SECONDS = 10.0

# The system sets these itself, or frames the body anew.
_REQUEST_DROPPED = frozenset(
    name.lower().encode()
    for name in (
        *HOP_BY_HOP,
        "Content-Length",
        "Expect",
        DEADLINE,
        EXPECTED_UPSTREAM,
        CALLER_SERVICE,
    )
)
# Keys are not shown to backend servers, and callers cannot name an account themselves.
_ACCOUNT_DROPPED = _REQUEST_DROPPED | frozenset(
    name.lower().encode() for name in (CREDENTIALS, ACCOUNT)
)
_ANSWER_DROPPED = frozenset(
    name.lower().encode() for name in (*HOP_BY_HOP, "Content-Length")
)


@attrs.frozen
class UpstreamLoad:
    """Load that an upstream states with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Calls that it runs, calls that wait, and calls that it can run at a time.
    work_percent : int
        How long work takes on its machine now, in percent of the usual; 0 if it does
        not say.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = 0


# Fields of loads that could not be used, or only in part.
load_faults = events.CountedWarning("load_unreadable", LOAD_FAULT_INTERVAL_SECONDS)


def deadline_ms(fields: CIMultiDictProxy[str]) -> float | None:
    """Return how long the caller will wait; None when it does not say."""
    text = fields.get(DEADLINE, "")
    if not _is_count(text):
        return None
    return float(min(int(text), MAX_DEADLINE_MS))


def is_valid_request_id(request_id: str) -> bool:
    """Return whether an id can be passed on, logged and echoed as it came."""
    return _PRINTABLE.fullmatch(request_id) is not None


def parent_id(request_id: str) -> str:
    """Return the id of the call for which a request is made, or an empty text.

    A backend server that makes calls while it runs one puts the id of that one and a
    dot before the ids of its own.
    """
    return request_id.rpartition(".")[0]


def credentials(fields: CIMultiDictProxy[str]) -> list[str]:
    """Return the values of all fields of a request that hold a key."""
    return fields.getall(CREDENTIALS, [])


def request_lines(
    raw_headers: Iterable[tuple[bytes, bytes]],
    caller_service: str,
    account: str | None = None,
) -> bytes:
    """Return the header lines of a request that are passed on to any upstream.

    Parameters
    ----------
    raw_headers : iterable of tuple
        Header fields from the caller.
    caller_service : str
        Service of the VM on which the caller runs.
    account : str or None
        Name of the caller's account, empty if it has none; None if there are no
        accounts, and a key belongs to the backend server.
    """
    dropped = _REQUEST_DROPPED if account is None else _ACCOUNT_DROPPED
    lines = _kept_lines(raw_headers, dropped)
    lines += f"{CALLER_SERVICE}: {caller_service}\r\n".encode("latin-1")
    if account:
        lines += f"{ACCOUNT}: {account}\r\n".encode("latin-1")
    return lines


def upstream_lines(upstream_id: str, remaining_ms: float) -> bytes:
    """Return the header lines that bind a request to one upstream and its deadline."""
    expected = f"{EXPECTED_UPSTREAM}: {upstream_id}\r\n" if upstream_id else ""
    return f"{expected}{DEADLINE}: {max(1, int(remaining_ms))}\r\n".encode("latin-1")


def answer_lines(raw_headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the header lines of an answer that are passed on to the caller."""
    return _kept_lines(raw_headers, _ANSWER_DROPPED)


def upstream_load(fields: CIMultiDictProxy[str]) -> UpstreamLoad | None:
    """Return the load that an answer states, or None.

    A figure that cannot be used is ignored and counted in `load_faults`: without one of
    the first three there is no load, without the fourth there is no work time.
    """
    text = fields.get(LOAD)
    if text is None:
        return None
    parts = [part.strip() for part in text[:MAX_LOAD_CHARACTERS].split(",")]
    if not 3 <= len(parts) <= 4 or not all(map(_is_count, parts[:3])):
        load_faults.warn(value=text[:MAX_LOAD_CHARACTERS])
        return None
    counts = [int(part) for part in parts[:3]]
    if len(parts) == 3:
        return UpstreamLoad(*counts)
    work_percent = int(parts[3]) if _is_count(parts[3]) else 0
    if not MIN_WORK_PERCENT <= work_percent <= MAX_WORK_PERCENT:
        load_faults.warn(value=text[:MAX_LOAD_CHARACTERS])
        work_percent = 0
    return UpstreamLoad(*counts, work_percent)


def is_not_run(status: int, fields: CIMultiDictProxy[str]) -> bool:
    """Return whether an upstream states that it did not run the request."""
    return NOT_RUN in fields or status == 421


def keep_alive_seconds(fields: CIMultiDictProxy[str]) -> float | None:
    """Return the idle time after which the upstream closes a connection."""
    for part in fields.get(KEEP_ALIVE, "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and _is_count(value):
            return float(value)
    return None


def _is_count(text: str) -> bool:
    """Return whether a text is a plain whole number of a usual size."""
    return text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS


def _kept_lines(
    raw_headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> bytes:
    pairs = [(name, name.lower(), value) for name, value in raw_headers]
    for _, lower, value in pairs:
        if lower == b"connection":
            named = {token.strip().lower() for token in value.split(b",")}
            dropped = dropped | named
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for name, lower, value in pairs
        if lower not in dropped
    )
