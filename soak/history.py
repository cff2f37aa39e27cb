"""What callers and backend servers saw, and the promises that it is judged by.

Nothing here knows the product: a promise is judged by calls and arrivals alone.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import attrs

NOT_RUN_STATUSES = (408, 421, 429, 503)
REPEAT_SHARE = 0.2
REPEAT_SLACK = 60
# Answers that a route which every configuration has never gets from the system.
DENIED_STATUSES = (400, 401, 403, 404, 413, 431)
LEAST_SERVED_SHARE = 0.9


@attrs.frozen
class Call:
    """One call of a caller.

    Parameters
    ----------
    request_id : str
        Its id.
    is_idempotent : bool
        Whether it may run twice.
    vm : str
        VM that the caller used.
    sent_at, ended_at : float
        Seconds since the start.
    status : int
        Status of the answer; 0 without one.
    body : bytes
        Body of the answer.
    is_signed : bool
        Whether a backend server has signed the answer.
    """

    request_id: str
    is_idempotent: bool
    vm: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""
    is_signed: bool = False


@attrs.define
class History:
    """A whole run.

    Parameters
    ----------
    calls : list of Call
        Calls that have ended.
    arrivals, runs : list of str
        Ids of the requests that backend servers got, and of those that they ran.
    own_ends : list of str
        Processes that ended by themselves, and what they wrote.
    calm_from : float
        Time from which there were no faults, with the time to recover.
    is_planned : bool
        Whether there was planned work only.
    """

    calls: list[Call] = attrs.field(factory=list)
    arrivals: list[str] = attrs.field(factory=list)
    runs: list[str] = attrs.field(factory=list)
    own_ends: list[str] = attrs.field(factory=list)
    calm_from: float = float("inf")
    is_planned: bool = False


Promise = Callable[[History], Iterator[str]]
promises_by_name: dict[str, Promise] = {}


def promise(check: Promise) -> Promise:
    """Register a check that yields what breaks its promise."""
    promises_by_name[check.__name__] = check
    return check


def broken(history: History) -> list[str]:
    """Return what broke a promise, with the name of the promise."""
    return [
        f"{name}: {fault}"
        for name, check in promises_by_name.items()
        for fault in check(history)
    ]


def body_of(request_id: str) -> bytes:
    """Return the body with which a backend server answers a request."""
    return f"answer of {request_id}".encode()


@promise
def no_call_that_must_not_runs_twice(history: History) -> Iterator[str]:
    """Yield non-idempotent calls that ran more than once."""
    counts = Counter(history.runs)
    for call in history.calls:
        if not call.is_idempotent and counts[call.request_id] > 1:
            yield f"{call.request_id} ran {counts[call.request_id]} times"


@promise
def refused_calls_have_not_run(history: History) -> Iterator[str]:
    """Yield non-idempotent calls that ran although they were said not to have."""
    runs = set(history.runs)
    for call in history.calls:
        is_refused = call.status in NOT_RUN_STATUSES
        if is_refused and not call.is_idempotent and call.request_id in runs:
            yield f"{call.request_id} was answered {call.status} and ran"


@promise
def answers_belong_to_their_calls(history: History) -> Iterator[str]:
    """Yield successes that are not the whole signed answer to their call."""
    for call in history.calls:
        if not 200 <= call.status < 300:
            continue
        if not call.is_signed or call.body != body_of(call.request_id):
            yield f"{call.request_id} got {call.body[:60]!r}, signed: {call.is_signed}"


@promise
def nothing_runs_that_nobody_sent(history: History) -> Iterator[str]:
    """Yield runs without a call."""
    sent = {call.request_id for call in history.calls}
    yield from (f"{found} was sent by nobody" for found in set(history.runs) - sent)


@promise
def no_allowed_call_is_denied(history: History) -> Iterator[str]:
    """Yield calls that were answered as if they were not allowed."""
    for call in history.calls:
        if call.status in DENIED_STATUSES:
            yield f"{call.request_id} was answered {call.status} by {call.vm}"


@promise
def repeats_stay_within_their_allowance(history: History) -> Iterator[str]:
    """Yield an excess of arrivals beyond the first of each call."""
    counts = Counter(history.arrivals)
    repeats = sum(count - 1 for count in counts.values())
    allowed = REPEAT_SHARE * len(history.calls) + REPEAT_SLACK
    if repeats > allowed:
        yield f"{repeats} repeats of {len(history.calls)} calls, allowed {allowed:.0f}"


@promise
def no_process_ends_by_itself(history: History) -> Iterator[str]:
    """Yield processes that nobody has ended."""
    yield from history.own_ends


@promise
def calls_are_served_again_after_the_faults(history: History) -> Iterator[str]:
    """Yield VMs whose callers are not served although nothing disturbs them."""
    calm = [call for call in history.calls if call.sent_at >= history.calm_from]
    for vm in sorted({call.vm for call in calm}):
        served = [call.status == 200 for call in calm if call.vm == vm]
        if sum(served) < LEAST_SERVED_SHARE * len(served):
            yield f"{vm} served {sum(served)} of {len(served)} calls"


@promise
def planned_work_cuts_no_call(history: History) -> Iterator[str]:
    """Yield calls that reached a backend server and got no answer of it."""
    arrivals = set(history.arrivals) if history.is_planned else set()
    for call in history.calls:
        if call.request_id in arrivals and call.status in (0, 502, 504):
            got = call.status or "no answer"
            sent, ended = call.sent_at, call.ended_at
            yield f"{call.request_id} at {call.vm}, {sent:.2f} to {ended:.2f}: {got}"


def shown(faults: Iterable[str], most: int = 10) -> str:
    """Return the first faults, a line each."""
    return "\n".join(list(faults)[:most])
