import random

import attrs
import pytest

from lacewingstair.caller.calls.forwarding import (
    LARGE_BODY_BYTES,
    MAX_UNSENT_BYTES,
    ForwardedCall,
    Forwarder,
    ForwardingFailure,
)
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
    """Link with scripted outcomes, of which the last one is repeated."""

    in_flight = 0
    calls_since_load_report = 0
    load_received_at = 0.0
    is_connected = True
    zone = "z"

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
    unsent_bytes = 0


class ClosedGate:
    is_open = False
    is_stopping = False

    def __init__(self, prefers_nested_calls=False):
        self.prefers_nested_calls = prefers_nested_calls

    def relative_cost(self, service, call_class):
        return 1.0


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


def forward(
    *links,
    route=ROUTE,
    calls=1,
    stage=None,
    parent_is_retry=False,
    gate=None,
    body=b"",
    unsent_bytes=0,
    **values,
):
    """Forward calls one after the other; return their outcomes, or that of one call."""

    async def main():
        clock = VirtualClock()
        view = MeshView("own")
        view.merge(attrs.evolve(entry("own"), service="other"))
        for link in links:
            view.merge(entry(link.vm_id, link.zone, link.load.version))
        links_by_vm_id = Links({link.vm_id: link for link in links})
        links_by_vm_id.unsent_bytes = unsent_bytes
        forwarder = Forwarder(
            lambda: view.get("own"),
            view,
            links_by_vm_id,
            gate or ClosedGate(),
            rollouts_at(stage),
            clock,
            random.Random(1),
        )
        found = []
        for number in range(calls):
            now = clock.monotonic()
            call = ForwardedCall(
                f"q{number}",
                "r",
                route,
                "board",
                "GET",
                "/a/",
                b"",
                body,
                now + 0.6,
                now + 1.2,
                parent_is_retry,
                **values,
            )
            found.append(await forwarder.forward(call))
        return found if calls > 1 else found[0]

    return run_virtual(main())


def sent(*links):
    return sum(len(link.calls) for link in links)


def test_a_refused_call_is_sent_to_another_gate():
    full, free = Link("a", refused()), Link("b", answer())
    for _ in range(4):
        assert forward(full, free).status == 200
    assert len(free.calls) == 4


def test_a_nested_call_refused_in_its_zone_is_tried_where_it_goes_ahead():
    """Guards against a parent that fails while another zone takes its nested call.

    The queue of first calls there would take 0.9 s of the 0.6 s that are left.
    """

    def outcome(prefers_nested_calls):
        near, far = Link("a", refused()), Link("b", answer())
        far.zone = "other"
        far.load = attrs.evolve(LOAD, running=18, waiting=160, wait_ms=900.0)
        gate = ClosedGate(prefers_nested_calls)
        return forward(near, far, gate=gate, is_nested=True)

    assert isinstance(outcome(False), ForwardingFailure)
    assert outcome(True).status == 200


def test_no_call_with_a_large_body_is_sent_behind_many_others():
    """Guards against uploads that wait in streams although their callers have left."""
    body = bytes(LARGE_BODY_BYTES)

    def outcome(unsent_bytes, body):
        link = Link("a", answer())
        gate = ClosedGate()
        gate.load = lambda: LOAD
        found = forward(link, unsent_bytes=unsent_bytes, body=body, gate=gate)
        return found, len(link.calls)

    assert outcome(MAX_UNSENT_BYTES, body)[0].status == 200
    assert outcome(MAX_UNSENT_BYTES + 1, body[1:])[0].status == 200
    refusal, sent_calls = outcome(MAX_UNSENT_BYTES + 1, body)
    assert refusal.is_not_run and refusal.retry_after_ms > 0
    assert sent_calls == 0


def test_a_call_refused_by_all_is_not_run_and_has_a_retry_delay():
    links = [Link(vm_id, refused()) for vm_id in "abcdef"]
    outcome = forward(*links)
    assert isinstance(outcome, ForwardingFailure)
    assert outcome.is_not_run and outcome.retry_after_ms == 80.0
    assert sent(*links) == 4


@pytest.mark.parametrize("outcome", [failed(), failed(is_timeout=True)])
def test_a_call_that_must_not_run_twice_is_not_sent_again(outcome):
    """Guards against a non-idempotent call that runs twice."""
    links = [Link("a", outcome), Link("b", outcome)]
    found = forward(*links)
    assert isinstance(found, ForwardingFailure) and not found.is_not_run
    assert sent(*links) == 1


def test_a_refusal_after_a_failure_does_not_say_not_run():
    """Guards against a call reported as not run although it may have run."""
    links = [Link("a", failed(), refused()), Link("b", failed(), refused())]
    route = attrs.evolve(IDEMPOTENT, max_attempts=3)
    found = forward(*links, route=route)
    assert isinstance(found, ForwardingFailure) and not found.is_not_run


def test_an_idempotent_call_is_sent_to_as_many_upstreams_as_its_route_allows():
    links = [Link(vm_id, failed()) for vm_id in "abcd"]
    forward(*links, route=IDEMPOTENT)
    assert sent(*links) <= 2


def test_a_failure_response_of_an_upstream_is_forwarded_unchanged():
    link = Link("a", answer(500, b"fault"))
    found = forward(link, route=ROUTE)
    assert (found.status, found.body) == (500, b"fault")


def test_retries_stay_within_their_budget_when_everything_fails():
    """Guards against retries that amplify an outage."""
    links = [Link(vm_id, answer(500)) for vm_id in "abcd"]
    forward(*links, route=IDEMPOTENT, calls=300)
    # A fifth of the budget is reserved for calls that retried runs make.
    assert 300 < sent(*links) <= 300 * (1 + 0.8 * 0.2) + 1


def test_a_run_that_failed_because_of_its_own_call_is_not_retried():
    """Guards against retries that multiply with each layer of services."""
    found_at_fault = attrs.evolve(answer(500, b"fault"), has_failed_nested_call=True)
    links = [Link(vm_id, found_at_fault) for vm_id in "ab"]
    found = forward(*links, route=IDEMPOTENT, calls=40)
    assert {outcome.body for outcome in found} == {b"fault"}
    assert sent(*links) == 40


def test_a_retry_refused_by_full_gates_returns_its_token():
    """Guards against budget spent on retries that no backend server receives."""
    links = [Link("a"), Link("b"), Link("c")]
    # All gates refuse the retry of one call, and the retry of the next one is served.
    outcomes = [*[answer()] * 30, failed(), *[refused()] * 2, failed(), answer()]
    for link in links:
        link.outcomes = outcomes
    found = forward(*links, route=IDEMPOTENT, calls=32)
    assert [isinstance(outcome, ForwardingFailure) for outcome in found[-2:]] == [
        True,
        False,
    ]


def test_calls_of_retried_runs_earn_no_budget_for_direct_retries():
    """Guards against calls of retried runs that are counted as first attempts."""
    links = [Link(vm_id, failed()) for vm_id in "ab"]
    forward(*links, route=IDEMPOTENT, calls=60, parent_is_retry=True)
    assert sent(*links) == 60


def test_a_refusal_by_a_backend_server_is_told_from_one_by_a_gate():
    by_upstream = refused(RefusalReason.UPSTREAM_REFUSED, was_sent=True)
    assert forward(Link("a", by_upstream)).was_refused_upstream
    assert not forward(Link("a", refused())).was_refused_upstream


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
def test_a_retry_states_its_origin(first, origin):
    """Guards against retries whose cause is missing in the metrics."""
    links = [Link("a"), Link("b")]
    # The calls before it earn the budget for the retry.
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
        """Guards against an overload that spills over to a version on trial."""
        old, new = Link("a", refused()), Link("b", answer(), version="v2")
        forward(old, new, calls=200, stage=Stage.TRIAL)
        assert len(new.calls) <= 10

    def test_a_call_that_the_new_version_fails_is_retried_at_the_old_one(self):
        old, new = Link("a", answer()), Link("b", answer(500), version="v2")
        found = forward(old, new, calls=100, stage=Stage.TRIAL, route=IDEMPOTENT)
        assert [outcome.status for outcome in found] == [200] * 100
        assert new.calls

    def test_a_rolled_back_version_gets_no_calls(self):
        new = Link("b", answer(), version="v2")
        outcome = forward(new, stage=Stage.ROLLED_BACK)
        assert isinstance(outcome, ForwardingFailure) and outcome.is_not_run
        assert new.calls == []

    def test_after_the_shift_the_old_version_serves_what_the_new_one_refuses(self):
        old, new = Link("a", answer()), Link("b", refused(), version="v2")
        assert forward(old, new, stage=Stage.SHIFTED).status == 200
        assert len(new.calls) == 1
