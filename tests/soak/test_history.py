"""Each promise of the soak is broken by a history that breaks it, and by no other."""

import attrs
import pytest

from soak.history import Call, History, body_of, broken, promises_by_name


def call(request_id="a", **changes):
    made = Call(request_id, False, "vm0", 1.0, 1.1, 200, body_of(request_id), True)
    return attrs.evolve(made, **changes)


def history(*calls, **changes):
    ids = [made.request_id for made in calls]
    return attrs.evolve(History(list(calls), list(ids), list(ids)), **changes)


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
