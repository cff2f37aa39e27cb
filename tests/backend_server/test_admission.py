"""Replays of the load patterns that the admission answers."""

import heapq
import random

import attrs
import pytest

from lacewingstair.backend_server.admission import (
    AdmissionController,
    AdmissionRequest,
    Refusal,
    ScheduledCall,
)
from lacewingstair.vm.call_messages import RefusalReason

TARGET_SECONDS = 0.6
END_SECONDS = 1.2


@attrs.define
class Call:
    """A call in a replay and what became of it."""

    at: float
    priority: int = 1
    seconds: float = 0.1
    target_seconds: float = TARGET_SECONDS
    end_seconds: float = END_SECONDS
    started_at: float | None = None
    refused_at: float | None = None
    expired_at: float | None = None
    scheduled: ScheduledCall | None = None

    def is_in_time(self):
        started = self.started_at
        return (
            started is not None and started + self.seconds <= self.at + TARGET_SECONDS
        )


def replay(calls, slots):
    """Run calls through an admission in virtual time."""
    admission = AdmissionController(slots)
    events = [(call.at, index, "arrive", call) for index, call in enumerate(calls)]
    heapq.heapify(events)
    number = len(calls)
    now = 0.0

    def start(call):
        nonlocal number
        call.started_at = now
        number += 1
        heapq.heappush(events, (now + call.seconds, number, "end", call))

    def decision_callback(call):
        def on_decision(refused):
            if refused is None:
                start(call)
            else:
                call.refused_at = now

        return on_decision

    while events:
        now, _, kind, call = heapq.heappop(events)
        route = f"p{call.priority}"
        if kind == "end":
            admission.finish(call.scheduled, now)
            continue
        if kind == "expire":
            if call.started_at is None and call.refused_at is None:
                call.expired_at = now
                admission.cancel_queued(call.scheduled)
            continue
        target_at = now + call.target_seconds
        deadline = now + call.end_seconds
        request = AdmissionRequest(route, call.priority, target_at, deadline)
        scheduled = admission.submit(request, now, decision_callback(call))
        if isinstance(scheduled, Refusal):
            call.refused_at = now
            continue
        call.scheduled = scheduled
        if scheduled.is_running:
            start(call)
        else:
            number += 1
            heapq.heappush(events, (deadline, number, "expire", call))
    return admission


def poisson(rng, per_second, seconds, **values):
    at, calls = 0.0, []
    while (at := at + rng.expovariate(per_second)) < seconds:
        calls.append(Call(at, seconds=rng.uniform(0.05, 0.15), **values))
    return calls


def test_a_short_burst_waits_and_is_in_time():
    """Guards against calls that are refused although they would be in time."""
    calls = [Call(0.0) for _ in range(20)]
    replay(calls, slots=10)
    assert all(call.is_in_time() for call in calls)


@pytest.mark.parametrize("seed", range(5))
def test_lasting_overload_keeps_what_is_taken_in_time(seed):
    """Guards against a queue in which every call is late (load 1.7 times the slots)."""
    calls = poisson(random.Random(seed), 170, 20)
    replay(calls, slots=10)
    taken = [call for call in calls if call.started_at is not None]
    in_time = [call for call in taken if call.is_in_time()]
    assert len(in_time) > 0.95 * len(taken)
    # The slots are used: a hundred calls a second can be served.
    assert len(in_time) > 0.9 * 100 * 20


@pytest.mark.parametrize("seed", range(5))
def test_most_refusals_of_lasting_overload_come_at_once(seed):
    """Guards against callers that wait for a refusal."""
    calls = poisson(random.Random(seed), 170, 20)
    replay(calls, slots=10)
    refused = [call for call in calls if call.refused_at is not None]
    at_once = [call for call in refused if call.refused_at == call.at]
    assert len(at_once) > 0.99 * len(refused)


@pytest.mark.parametrize("seed", range(5))
def test_late_callers_are_not_held_during_a_lasting_overload(seed):
    """Guards against callers who come back and wait for nothing until their end.

    Of the calls of trouble-1 of Tapas that ended with their caller's deadline, most
    (144 of 162) had come back with 0.4 to 0.5 s of 0.8 s.
    """
    rng = random.Random(seed)
    first = poisson(rng, 100, 20, target_seconds=0.3, end_seconds=0.8)
    late = poisson(rng, 30, 20, target_seconds=-0.1, end_seconds=0.48)
    replay(sorted(first + late, key=lambda call: call.at), slots=10)
    held = [call for call in late if call.expired_at is not None]
    assert len(held) < 0.1 * len(late)


@pytest.mark.parametrize("seed", range(5))
def test_late_callers_run_when_there_is_room(seed):
    """Guards against refusals of late calls that could still be served."""
    rng = random.Random(seed)
    first = poisson(rng, 60, 20)
    late = poisson(rng, 25, 20, target_seconds=-0.1, end_seconds=0.7)
    replay(sorted(first + late, key=lambda call: call.at), slots=10)
    run = [call for call in late if call.started_at is not None]
    assert len(run) > 0.95 * len(late)


@pytest.mark.parametrize("seed", range(5))
def test_the_less_urgent_calls_give_way(seed):
    """Guards against a less urgent kind that is served more often."""
    rng = random.Random(seed)
    urgent = poisson(rng, 80, 20, priority=1)
    other = poisson(rng, 90, 20, priority=2)
    replay(sorted(urgent + other, key=lambda call: call.at), slots=10)

    def share(calls):
        return sum(call.is_in_time() for call in calls) / len(calls)

    assert share(urgent) > 0.95
    assert share(urgent) > share(other)


@pytest.mark.parametrize("seed", range(5))
def test_a_cold_start_under_full_load_keeps_what_is_taken_in_time(seed):
    """Guards against a queue built on the times of a warm backend server.

    After all processes have lost power, backend servers take twice their time and all
    callers come back at once.
    """
    calls = poisson(random.Random(seed), 100, 3)
    for call in calls:
        call.seconds *= 2.5
    replay(calls, slots=10)
    taken = [call for call in calls if call.started_at is not None]
    assert sum(call.is_in_time() for call in taken) > 0.8 * len(taken)


def offered(admission, now, on_decision=None, target=0.6, end=1.2):
    request = AdmissionRequest("r", 1, now + target, now + end)
    return admission.submit(request, now, on_decision or (lambda _: None))


def test_a_backend_server_that_turns_slow_is_noticed_before_its_calls_end():
    """Guards against a queue in front of one that takes twelve times as long."""
    admission = AdmissionController(10)
    for _ in range(50):
        admission.finish(offered(admission, 0.0), 0.1)
    assert all(offered(admission, 1.0).is_running for _ in range(10))
    assert not offered(admission, 1.0).is_running
    assert isinstance(offered(admission, 1.6), Refusal)


@pytest.mark.parametrize("seed", range(5))
def test_callers_that_come_back_late_do_not_displace_those_in_time(seed):
    """Guards against an overload in which returning callers make all calls late.

    A third of the calls have missed their target when they arrive.
    """
    rng = random.Random(seed)
    fresh = poisson(rng, 100, 20)
    returned = poisson(rng, 50, 20, target_seconds=-0.05)
    replay(sorted(fresh + returned, key=lambda call: call.at), slots=10)
    in_time = sum(call.is_in_time() for call in fresh)
    assert in_time > 0.85 * len(fresh)


def test_a_call_without_time_is_refused_at_once():
    admission = AdmissionController(1)
    scheduled = admission.submit(
        AdmissionRequest("r", 1, 0.01, 0.01), 0.0, lambda _: None
    )
    assert scheduled == Refusal(RefusalReason.NO_TIME, 0.0)


def test_a_late_call_does_not_delay_those_that_can_be_in_time():
    admission = AdmissionController(1)
    started = []
    first = offered(admission, 0.0)
    late = offered(admission, 0.0, lambda _: started.append("late"), target=-0.1)
    in_time = offered(admission, 0.0, lambda _: started.append("in time"))
    assert not late.is_running and not in_time.is_running
    admission.finish(first, 0.1)
    admission.finish(in_time, 0.2)
    assert started == ["in time", "late"]


def test_calls_that_wait_are_refused_when_the_backend_server_leaves():
    """Guards against calls that reach one that was acknowledged as leaving."""
    admission = AdmissionController(1)
    decided = []
    first = offered(admission, 0.0)
    offered(admission, 0.0, decided.append)
    admission.refuse_queued(RefusalReason.CLOSED)
    assert decided == [Refusal(RefusalReason.CLOSED, 0.0)]
    assert admission.waiting == 0
    admission.finish(first, 0.1)
    assert len(decided) == 1


def test_a_withdrawn_call_does_not_run():
    admission = AdmissionController(1)
    decided = []
    first = offered(admission, 0.0)
    admission.cancel_queued(offered(admission, 0.0, decided.append))
    admission.finish(first, 0.1)
    assert decided == []
    assert (admission.running, admission.waiting) == (0, 0)
