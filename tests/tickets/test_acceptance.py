import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.routing.routes import RouteTable
from lacewingstair.tickets.acceptance import (
    MAX_REMEMBERED_DIGESTS,
    MeshState,
    TicketRecord,
    Verdict,
    configuration_digest,
    fold,
    reference_faults,
)
from lacewingstair.tickets.parsing import SECTIONS
from tests.ticket_texts import ROLLOUT, ticket

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


def test_a_late_copy_of_an_older_ticket_is_a_duplicate_while_it_is_remembered(
    after_first,
):
    state = after_first
    for number in range(2, MAX_REMEMBERED_DIGESTS + 2):
        state, decision = fold(state, TicketRecord(state.next_offset, FIRST))
        assert decision.verdict is Verdict.DUPLICATE
        state, _ = fold(state, TicketRecord(state.next_offset, ticket(number)))
    state, decision = fold(state, TicketRecord(state.next_offset, FIRST))
    assert decision.verdict is Verdict.REFUSED
    assert len(state.recent_digests) == MAX_REMEMBERED_DIGESTS


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


NAMES = ("a", "b", "c")
services = st.dictionaries(
    st.sampled_from(NAMES),
    st.none() | st.just({"versions": ["v1", "v2"], "current": "v1"}),
)
routes = st.dictionaries(
    st.sampled_from(NAMES),
    st.none()
    | st.builds(
        lambda service, path: {"service": service, "path_prefix": path},
        st.sampled_from(NAMES),
        st.sampled_from(("/", "/x", "/x/y")),
    ),
)
rollouts = st.dictionaries(
    st.sampled_from(NAMES),
    st.none() | st.sampled_from(NAMES).map(lambda name: {**ROLLOUT, "service": name}),
)


@given(st.lists(st.tuples(services, routes, rollouts), max_size=8))
def test_an_accepted_state_is_what_its_digest_and_references_say(changes):
    state = MeshState()
    for offset, entries in enumerate(changes):
        text = ticket(offset + 1, **dict(zip(SECTIONS, entries, strict=True)))
        after, decision = fold(state, TicketRecord(offset, text))
        if decision.verdict is Verdict.ACCEPTED:
            for section, change in zip(SECTIONS, entries, strict=True):
                merged = {**getattr(state, section), **change}
                names = {name for name in merged if merged[name] is not None}
                assert getattr(after, section).keys() == names
        sections = [getattr(after, section) for section in SECTIONS]
        assert reference_faults(*sections) == ()
        assert after.digest == configuration_digest(*sections)
        compiled = RouteTable.compile(after.routes)
        assert after.route_table._routes_by_host == compiled._routes_by_host
        if decision.verdict is Verdict.REFUSED:
            assert decision.faults
            assert sections == [getattr(state, section) for section in SECTIONS]
        state = after
