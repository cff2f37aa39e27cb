"""Each promise of the soak is broken by a history that breaks it, and by no other."""

import attrs
import pytest

from soak.history import Call, History, body_of, broken, promises_by_name
from soak.versions import STORE, Disturbance, Timeline, Version


def call(request_id="a", **changes):
    made = Call(request_id, False, "vm0", 1.0, 1.1, 200, body_of(request_id), True)
    return attrs.evolve(made, **changes)


def history(*calls, **changes):
    ids = [made.request_id for made in calls]
    return attrs.evolve(History(list(calls), list(ids), list(ids)), **changes)


FIRST, ADDED, MOVED, REMOVED = 1, 2, 5, 6
VERSIONS = [
    Version(FIRST, {"view": ("board",)}, -1.0, 0.0),
    Version(ADDED, {"view": ("board",), "new": ("board",)}, 9.0, 10.0),
    Version(MOVED, {"view": ("board",), "new": ("book",)}, 19.0, 20.0),
    Version(REMOVED, {"view": ("board",)}, 29.0, 30.0),
]
# A call that begins here is bound by `MOVED`, if its VM is in touch.
BOUND_AT = 22.6


def probe(sent_at, service="", request_id="a", **changes):
    """Return a history of one call, run by a service or answered 404."""
    ended_at = sent_at + 0.1
    sent = {"route": "new", "is_idempotent": True} | changes
    if service:
        made = call(request_id, sent_at=sent_at, ended_at=ended_at, **sent)
        ran = {request_id: {service}}
        return configured(history(made, services_by_request=ran))
    unknown = {"status": 404, "is_signed": False, "body": b""} | sent
    made = call(request_id, sent_at=sent_at, ended_at=ended_at, **unknown)
    return configured(attrs.evolve(history(made), runs=[], arrivals=[]))


def configured(found, *disturbances, starts=(0.0,)):
    timeline = Timeline(VERSIONS, list(disturbances), {"vm0": list(starts)})
    return attrs.evolve(found, timeline=timeline)


def joined(first, second, *disturbances, **changes):
    """Return the history of both."""
    services = {**first.services_by_request, **second.services_by_request}
    both = attrs.evolve(
        first,
        calls=first.calls + second.calls,
        runs=first.runs + second.runs,
        arrivals=first.arrivals + second.arrivals,
        services_by_request=services,
    )
    return configured(both, *disturbances, **changes)


def store(began_at, ended_at, is_mild=False):
    return Disturbance(STORE, began_at, ended_at, is_mild)


SOUND = history(call("a"), call("b", is_idempotent=True))
BROKEN = {
    "no_call_that_must_not_runs_twice": history(call(), runs=["a", "a"]),
    "refused_calls_have_not_run": history(call(status=503)),
    "answers_belong_to_their_calls": history(call(body=b"answer of b")),
    "nothing_runs_that_nobody_sent": history(call(), runs=["a", "smuggled"]),
    "no_allowed_call_is_denied": history(call(status=404)),
    "repeats_stay_within_their_allowance": history(
        *(call(f"c{n}") for n in range(100)), arrivals=["c1"] * 200
    ),
    "no_process_ends_by_itself": history(call(), own_ends=["vm0 ended with 1"]),
    "calls_are_served_again_after_the_faults": history(
        call(), call("b", status=0), calm_from=0.5
    ),
    "planned_work_cuts_no_call": history(call(status=0), is_planned=True),
    "acknowledged_versions_are_in_force_in_time": probe(BOUND_AT, "board"),
    "no_process_goes_back_to_an_older_version": joined(
        probe(20.5, "book", "a"), probe(20.9, "board", "b")
    ),
    "added_routes_are_served_in_calm": attrs.evolve(
        probe(BOUND_AT, status=502), calm_from=20.0
    ),
    "calls_run_only_where_some_version_allows": probe(15.0, "book"),
}


def test_a_sound_history_breaks_no_promise():
    assert broken(SOUND) == []


def test_every_promise_has_a_history_that_breaks_it():
    assert set(BROKEN) == set(promises_by_name)


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_promise_is_named(name):
    """Guards against a checker that passes over what it is there for."""
    names = {fault.partition(":")[0] for fault in broken(BROKEN[name])}
    assert names == {name}


def test_an_unsigned_or_short_success_belongs_to_no_call():
    for found in (call(is_signed=False), call(body=b"answer")):
        assert broken(history(found))


def test_idempotent_calls_may_run_twice_and_be_refused():
    twice = call(is_idempotent=True, status=503)
    assert broken(history(twice, runs=["a", "a"])) == []


@pytest.mark.parametrize(
    ("sent_at", "service"),
    [(22.4, "board"), (BOUND_AT, "book"), (32.4, "book"), (32.6, ""), (29.5, "")],
)
def test_a_call_may_show_any_version_that_may_be_in_force(sent_at, service):
    assert broken(probe(sent_at, service)) == []


@pytest.mark.parametrize(
    ("sent_at", "service"), [(12.6, ""), (BOUND_AT, "board"), (32.6, "book")]
)
def test_404_the_old_service_and_a_dropped_route_are_older_versions(sent_at, service):
    """Guards against a checker that knows only one of the three forms."""
    (fault,) = broken(probe(sent_at, service))
    assert fault.startswith("acknowledged_versions_are_in_force_in_time")


@pytest.mark.parametrize(
    ("disturbance", "is_bound"),
    [
        (Disturbance("vm0", 18.0, 19.5), True),
        (Disturbance("vm0", 18.0, 19.7), False),
        (Disturbance("vm0", 22.0, float("inf")), False),
        (Disturbance("vm1", 18.0, 22.0), True),
        # The window of stability and the time to apply do not add up.
        (store(15.0, 19.5), True),
        (store(15.0, 19.7), False),
    ],
)
def test_a_bound_holds_for_a_vm_in_touch(disturbance, is_bound):
    """Guards against bounds for disturbed VMs, and against excuses for others."""
    found = configured(probe(BOUND_AT, "board"), disturbance)
    assert bool(broken(found)) == is_bound


@pytest.mark.parametrize(
    ("sent_at", "disturbances", "is_bound"),
    [
        (27.4, [store(26.0, 26.1, is_mild=True)], False),
        (27.6, [store(26.0, 26.1, is_mild=True)], True),
        (27.6, [store(26.0, 26.1)], False),
        # Answers were lost at a time since the acknowledgement.
        (27.6, [store(26.0, 26.1, is_mild=True), store(20.5, 21.0)], False),
        (27.6, [store(26.0, 26.1, is_mild=True), store(18.0, 19.0)], True),
    ],
)
def test_mild_disturbances_of_the_store_stretch_the_bound(
    sent_at, disturbances, is_bound
):
    found = configured(probe(sent_at, "board"), *disturbances)
    assert bool(broken(found)) == is_bound


def test_a_version_binds_once_it_was_seen_for_the_slack():
    """Guards against blaming calls that cross the change."""
    first = probe(20.5, "book", "a")
    assert broken(joined(first, probe(20.8, "board", "b"))) == []
    assert broken(joined(first, probe(20.9, "book", "b"))) == []


def test_a_process_that_was_started_again_may_know_less():
    first, second = probe(20.5, "book", "a"), probe(21.5, "board", "b")
    assert broken(joined(first, second, starts=(0.0, 21.0))) == []
    assert broken(joined(first, second, starts=(0.0,)))


def test_a_pause_excuses_no_older_version_within_a_life():
    paused = Disturbance("vm0", 19.0, 30.0)
    faults = broken(joined(probe(20.5, "book", "a"), probe(25.0, "", "b"), paused))
    assert [fault.partition(":")[0] for fault in faults] == [
        "no_process_goes_back_to_an_older_version"
    ]


def test_404_is_right_on_a_route_that_is_removed_or_was_never_there():
    assert broken(probe(35.0, "")) == []
    assert broken(probe(15.0, "", route="never")) == []
    assert broken(probe(15.0, "", route="view"))


@pytest.mark.parametrize(
    ("sent_at", "status", "is_fault"),
    [
        (BOUND_AT, 503, False),
        (BOUND_AT, 0, True),
        # Not in force everywhere yet, and perhaps removed.
        (11.0, 502, False),
        (29.5, 502, False),
    ],
)
def test_only_failures_of_added_routes_in_force_count(sent_at, status, is_fault):
    found = attrs.evolve(probe(sent_at, status=status), calm_from=5.0)
    assert bool(broken(found)) == is_fault
