import json

import pytest

from lacewingstair.acceptance import MeshState, TicketRecord, Verdict, fold


def ticket(number, **sections):
    return json.dumps({"number": number, **sections})


FIRST = ticket(
    1,
    services={"board": {"versions": ["v1"], "current": "v1"}},
    routes={"read": {"service": "board"}},
)


@pytest.fixture
def after_first():
    state, decision = fold(MeshState(), TicketRecord(0, FIRST))
    assert decision.verdict is Verdict.ACCEPTED
    return state


def test_repeated_ticket_is_a_duplicate_and_changes_nothing(after_first):
    state, decision = fold(after_first, TicketRecord(1, FIRST))
    assert decision.verdict is Verdict.DUPLICATE
    assert state.services == after_first.services
    assert state.next_offset == 2


@pytest.mark.parametrize(
    ("value", "place"),
    [
        (ticket(1, note="other"), "number"),
        (ticket(2, services={"board": None}), "routes.read.service"),
        (ticket(2, routes={"late": {"service": "desk"}}), "routes.late.service"),
        ("not json", "ticket"),
        (ticket(2, unknown=1), "ticket"),
    ],
)
def test_refused_ticket_changes_nothing_but_the_offset(after_first, value, place):
    state, decision = fold(after_first, TicketRecord(1, value))
    assert decision.verdict is Verdict.REFUSED
    assert [fault.place for fault in decision.faults] == [place]
    assert state.digest == after_first.digest
    assert state.routes == after_first.routes
    assert state.next_offset == 2


def test_digest_does_not_depend_on_the_path_to_a_state(after_first):
    changed, _ = fold(
        after_first,
        TicketRecord(1, ticket(2, routes={"read": {"service": "board", "worth": 9}})),
    )
    restored, _ = fold(
        changed, TicketRecord(2, ticket(3, routes={"read": {"service": "board"}}))
    )
    assert changed.digest != after_first.digest
    assert restored.digest == after_first.digest
