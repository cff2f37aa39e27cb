"""What callers and backend servers saw, and the promises that it is judged by.

Nothing here knows the product: a promise is judged by calls and arrivals alone.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import accumulate

import attrs

from soak.versions import (
    ROLLBACK_SLACK_SECONDS,
    Effect,
    Timeline,
    is_only_allowed_before,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
REPEAT_SHARE = 0.2
REPEAT_SLACK = 60
# Answers that a route which every configuration has never gets from the system.
DENIED_STATUSES = (400, 401, 403, 404, 413, 431)
LEAST_SERVED_SHARE = 0.9
# A call without an answer may run until its own timeout.
CALL_TIMEOUT_SECONDS = 1.5


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
    route : str
        Name of the route that its path selects.
    """

    request_id: str
    is_idempotent: bool
    vm: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""
    is_signed: bool = False
    route: str = "view"

    @property
    def handled_until(self) -> float:
        """Latest time at which it can have been handled."""
        if self.status:
            return self.ended_at
        return max(self.ended_at, self.sent_at + CALL_TIMEOUT_SECONDS)


@attrs.define
class History:
    """A whole run.

    Parameters
    ----------
    calls : list of Call
        Calls that have ended.
    arrivals, runs : list of str
        Ids of the requests that backend servers got, and of those that they ran.
    services_by_request : mapping of str to set of str
        Services of the backend servers that ran a request.
    timeline : Timeline
        Configuration versions and disturbances.
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
    services_by_request: Mapping[str, set[str]] = attrs.field(factory=dict)
    timeline: Timeline = attrs.field(factory=Timeline)
    own_ends: list[str] = attrs.field(factory=list)
    calm_from: float = float("inf")
    is_planned: bool = False

    def effects(self, call: Call) -> list[Effect]:
        """Return what a call showed of the configuration that it was handled with."""
        services = sorted(self.services_by_request.get(call.request_id, ()))
        found = [Effect(call.route, service) for service in services]
        return [*found, Effect(call.route)] if call.status == 404 else found

    def is_lasting(self, call: Call) -> bool:
        """Return whether all versions sent so far have the route of a call."""
        sent = self.timeline.sent_until(call.handled_until)
        return all(call.route in version.services_by_route for version in sent)


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
    """Yield calls that were answered as if they were not allowed.

    Whether a 404 is right on a route that some versions do not have is for the promises
    on configurations to say.
    """
    for call in history.calls:
        if call.status not in DENIED_STATUSES:
            continue
        if call.status != 404 or history.is_lasting(call):
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
    calm = [
        call
        for call in history.calls
        if call.sent_at >= history.calm_from and history.is_lasting(call)
    ]
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


@promise
def acknowledged_versions_are_in_force_in_time(history: History) -> Iterator[str]:
    """Yield calls at VMs in touch that were handled as only an older version allows."""
    timeline = history.timeline
    for call in history.calls:
        effects = history.effects(call)
        number = timeline.applied_number(call.vm, call.sent_at) if effects else 0
        sent = timeline.sent_until(call.handled_until)
        for effect in effects:
            if is_only_allowed_before(number, effect, sent):
                yield _on_older_version(call, effect, number)


@promise
def no_process_goes_back_to_an_older_version(history: History) -> Iterator[str]:
    """Yield calls handled as only older versions than one seen at the process allow."""
    timeline = history.timeline
    seen_by_life = _newest_seen(history)
    for call in history.calls:
        life = timeline.life(call.vm, call.sent_at)
        times, numbers = seen_by_life.get((call.vm, life), ((), ()))
        seen = bisect_right(times, call.sent_at - ROLLBACK_SLACK_SECONDS)
        # A call that outlasts its process may be handled by the next one.
        if not seen or life != timeline.life(call.vm, call.handled_until):
            continue
        sent = timeline.sent_until(call.handled_until)
        for effect in history.effects(call):
            if is_only_allowed_before(numbers[seen - 1], effect, sent):
                yield _on_older_version(call, effect, numbers[seen - 1])


@promise
def added_routes_are_served_in_calm(history: History) -> Iterator[str]:
    """Yield failures, other than refusals, on added routes that are in force."""
    timeline = history.timeline
    for call in history.calls:
        if call.sent_at < history.calm_from or history.is_lasting(call):
            continue
        if call.status == 200 or call.status in NOT_RUN_STATUSES:
            continue
        number = timeline.applied_number(call.vm, call.sent_at)
        sent = timeline.sent_until(call.handled_until)
        in_force = [version for version in sent if version.number >= number]
        if number and all(call.route in v.services_by_route for v in in_force):
            got = call.status or "no answer"
            yield f"{call.request_id} on {call.route} at {call.vm}: {got}"


@promise
def calls_run_only_where_some_version_allows(history: History) -> Iterator[str]:
    """Yield runs by a service to which no version ever sent the route."""
    for call in history.calls:
        sent = history.timeline.sent_until(call.handled_until)
        for effect in history.effects(call):
            if effect.service and not any(v.allows(effect) for v in sent):
                yield f"{call.request_id} at {call.vm}: {effect}"


def judged_calls(history: History) -> int:
    """Return how many calls showed an effect at a VM that a bound held for."""
    return sum(
        bool(history.effects(call))
        and history.timeline.applied_number(call.vm, call.sent_at) > 0
        for call in history.calls
    )


def _newest_seen(
    history: History,
) -> dict[tuple[str, int], tuple[list[float], list[int]]]:
    """Return, for each VM and life of its process, when which version was seen."""
    seen = defaultdict(list)
    timeline = history.timeline
    for call in sorted(history.calls, key=lambda call: call.ended_at):
        life = timeline.life(call.vm, call.sent_at)
        if life != timeline.life(call.vm, call.handled_until):
            continue
        sent = timeline.sent_until(call.handled_until)
        for effect in history.effects(call):
            allowing = (v.number for v in sent if v.allows(effect))
            number = min(allowing, default=0)
            seen[call.vm, life].append((call.ended_at, number))
    return {
        key: (
            [at for at, _ in pairs],
            list(accumulate((number for _, number in pairs), max)),
        )
        for key, pairs in seen.items()
    }


def _on_older_version(call: Call, effect: Effect, number: int) -> str:
    times = f"sent {call.sent_at:.3f}, ended {call.ended_at:.3f}"
    return f"{call.request_id} at {call.vm}, {times}: {effect}, not with {number}"


def shown(faults: Iterable[str], most: int = 10) -> str:
    """Return the first faults, a line each."""
    return "\n".join(list(faults)[:most])
