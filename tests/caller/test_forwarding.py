import random

import attrs
import pytest

from lacewingstair.caller.forwarding import ForwardCall, Forwarder, NotServed
from lacewingstair.metadata.configuration import CallRoute, SplitPart
from lacewingstair.staged_rollouts.policy import Order, Stage
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallFailed,
    CallRefused,
    LoadReport,
    RefusalReason,
    SendOrigin,
)
from lacewingstair.vm.entries import MeshView, UpstreamState, VmEntry
from tests.staged_rollouts.test_coordinator import Mesh

LOAD = LoadReport(0, 0, 18, 100.0, 0.0, True, "v1", 1)
ROUTE = CallRoute(("a",), "/a/", (SplitPart("board", 1.0),), max_attempts=2)
IDEMPOTENT = attrs.evolve(ROUTE, allows_repeat=True)


def entry(vm_id, zone="z", version="v1"):
    return VmEntry(
        vm_id,
        "r",
        zone,
        f"{vm_id}:1",
        "board",
        1,
        1,
        f"i-{vm_id}",
        version,
        18,
        UpstreamState.READY,
    )


class Link:
    """Link with scripted outcomes; the last one stays."""

    in_flight = 0
    unreported = 0
    load_at = 0.0
    is_connected = True

    def __init__(self, vm_id, *outcomes, version="v1"):
        self.vm_id = vm_id
        self.outcomes = list(outcomes)
        self.calls = []
        self.load = attrs.evolve(LOAD, version=version)

    def is_usable(self, now):
        return True

    async def run(self, call):
        self.calls.append(call)
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


class Links(dict):
    pass


class ClosedGate:
    is_open = False
    is_stopping = False


def answer(status=200, body=b"ok"):
    return CallAnswer(1, status, "", b"Response-Signature: s\r\n", body, LOAD)


def refused(reason=RefusalReason.FULL, retry_after_ms=80.0, was_sent=False):
    return CallRefused(1, reason, retry_after_ms, was_sent, LOAD)


def failed(is_timeout=False):
    return CallFailed(1, "reset", is_timeout, LOAD)


def rollouts_at(stage):
    coordinator = Mesh("a").by_vm_id["a"]
    if stage is not None:
        coordinator.apply_order(Order("board", "v2", 16.0, 1))
        coordinator._advance(coordinator.get("board"), stage, "test")
    return coordinator


def forward(*links, route=ROUTE, calls=1, stage=None, is_of_repeat=False):
    """Return the outcomes of calls that are forwarded one after the other."""

    async def main():
        clock = VirtualClock()
        view = MeshView("own")
        view.merge(attrs.evolve(entry("own"), service="other"))
        for link in links:
            view.merge(entry(link.vm_id, version=link.load.version))
        forwarder = Forwarder(
            lambda: view.get("own"),
            view,
            Links({link.vm_id: link for link in links}),
            ClosedGate(),
            rollouts_at(stage),
            clock,
            random.Random(1),
        )
        found = []
        for number in range(calls):
            now = clock.monotonic()
            call = ForwardCall(
                f"q{number}",
                "r",
                route,
                "board",
                "GET",
                "/a/",
                b"",
                b"",
                now + 0.6,
                now + 1.2,
                is_of_repeat,
            )
            found.append(await forwarder.forward(call))
        return found if calls > 1 else found[0]

    return run_virtual(main())


def sent(*links):
    return sum(len(link.calls) for link in links)


def test_a_refused_call_is_offered_to_another_gate():
    full, free = Link("a", refused()), Link("b", answer())
    for _ in range(4):
        assert forward(full, free).status == 200
    assert len(free.calls) == 4


def test_a_call_refused_by_all_is_not_run_and_says_when_to_come_back():
    links = [Link(vm_id, refused()) for vm_id in "abcdef"]
    outcome = forward(*links)
    assert isinstance(outcome, NotServed)
    assert outcome.is_not_run and outcome.retry_after_ms == 80.0
    assert sent(*links) == 4


@pytest.mark.parametrize("outcome", [failed(), failed(is_timeout=True)])
def test_a_call_that_must_not_run_twice_is_not_sent_again(outcome):
    """Guards against a delivery that is confirmed twice."""
    links = [Link("a", outcome), Link("b", outcome)]
    found = forward(*links)
    assert isinstance(found, NotServed) and not found.is_not_run
    assert sent(*links) == 1


def test_a_refusal_after_a_failure_does_not_say_not_run():
    """Guards against a call that is said not to have run although it may have."""
    links = [Link("a", failed(), refused()), Link("b", failed(), refused())]
    route = attrs.evolve(IDEMPOTENT, max_attempts=3)
    found = forward(*links, route=route)
    assert isinstance(found, NotServed) and not found.is_not_run


def test_an_idempotent_call_is_sent_to_as_many_upstreams_as_its_route_allows():
    links = [Link(vm_id, failed()) for vm_id in "abcd"]
    forward(*links, route=IDEMPOTENT)
    assert sent(*links) <= 2


def test_a_failure_of_an_upstream_is_passed_on_as_it_is():
    link = Link("a", answer(500, b"fault"))
    found = forward(link, route=ROUTE)
    assert (found.status, found.body) == (500, b"fault")


def test_repeats_stay_within_their_budget_when_everything_fails():
    """Guards against repeats that multiply an outage."""
    links = [Link(vm_id, answer(500)) for vm_id in "abcd"]
    forward(*links, route=IDEMPOTENT, calls=300)
    # A fifth is left for calls that the repeats make.
    assert 300 < sent(*links) <= 300 * (1 + 0.8 * 0.2) + 1


def test_a_run_that_failed_for_its_own_call_is_not_repeated():
    """Guards against repeats that multiply from layer to layer."""
    found_at_fault = attrs.evolve(answer(500, b"fault"), has_failed_call=True)
    links = [Link(vm_id, found_at_fault) for vm_id in "ab"]
    found = forward(*links, route=IDEMPOTENT, calls=40)
    assert {outcome.body for outcome in found} == {b"fault"}
    assert sent(*links) == 40


def test_what_full_gates_refuse_of_a_repeat_stays_in_the_budget():
    """Guards against a budget that is spent on repeats that nobody gets."""
    links = [Link("a"), Link("b"), Link("c")]
    # The repeat of one call finds full gates; the repeat of the next one is served.
    outcomes = [*[answer()] * 30, failed(), *[refused()] * 2, failed(), answer()]
    for link in links:
        link.outcomes = outcomes
    found = forward(*links, route=IDEMPOTENT, calls=32)
    assert [isinstance(outcome, NotServed) for outcome in found[-2:]] == [True, False]


def test_calls_of_repeated_runs_leave_no_budget_for_direct_repeats():
    """Guards against a service whose calls count as first ones in repeated runs."""
    links = [Link(vm_id, failed()) for vm_id in "ab"]
    forward(*links, route=IDEMPOTENT, calls=60, is_of_repeat=True)
    assert sent(*links) == 60


def test_a_call_that_a_backend_server_refused_says_so():
    by_upstream = refused(RefusalReason.UPSTREAM_REFUSED, was_sent=True)
    assert forward(Link("a", by_upstream)).has_failed
    assert not forward(Link("a", refused())).has_failed


@pytest.mark.parametrize(
    ("first", "origin"),
    [
        (refused(), SendOrigin.FIRST),
        (
            refused(RefusalReason.UPSTREAM_REFUSED, was_sent=True),
            SendOrigin.AFTER_REFUSAL,
        ),
        (failed(), SendOrigin.AFTER_FAILURE),
        (answer(500), SendOrigin.AFTER_ERROR),
    ],
)
def test_a_call_that_is_sent_again_says_why(first, origin):
    """Guards against repeats whose cause the metrics do not tell."""
    links = [Link("a"), Link("b")]
    # Calls before it earn the budget for the repeat.
    links[0].outcomes = links[1].outcomes = [*[answer()] * 19, first, answer()]
    forward(*links, route=IDEMPOTENT, calls=20)
    sends = [call for link in links for call in link.calls if call.request_id == "q19"]
    assert {call.origin for call in sends} == {SendOrigin.FIRST, origin}
    assert len(sends) == 2


class TestVersions:
    def test_a_version_on_trial_gets_its_share_alone(self):
        old, new = Link("a", answer()), Link("b", answer(), version="v2")
        forward(old, new, calls=500, stage=Stage.TRIAL)
        assert 15 <= len(new.calls) <= 25

    def test_calls_do_not_move_to_a_version_on_trial_when_the_old_one_is_full(self):
        """Guards against a bad version that gets an overload."""
        old, new = Link("a", refused()), Link("b", answer(), version="v2")
        forward(old, new, calls=200, stage=Stage.TRIAL)
        assert len(new.calls) <= 10

    def test_what_the_new_version_fails_is_repeated_on_the_old_one(self):
        old, new = Link("a", answer()), Link("b", answer(500), version="v2")
        found = forward(old, new, calls=100, stage=Stage.TRIAL, route=IDEMPOTENT)
        assert [outcome.status for outcome in found] == [200] * 100
        assert new.calls

    def test_a_version_that_was_taken_back_gets_nothing(self):
        new = Link("b", answer(), version="v2")
        outcome = forward(new, stage=Stage.ROLLED_BACK)
        assert isinstance(outcome, NotServed) and outcome.is_not_run
        assert new.calls == []

    def test_after_the_shift_the_old_version_serves_what_the_new_one_refuses(self):
        old, new = Link("a", answer()), Link("b", refused(), version="v2")
        assert forward(old, new, stage=Stage.SHIFTED).status == 200
        assert len(new.calls) == 1
