from pathlib import Path

import pytest

from lacewingstair.tickets.acceptance import MeshState, TicketRecord, Verdict, fold

EXAMPLES = Path(__file__).parent.parent / "examples"


def state_after(user, verdicts):
    state = MeshState()
    files = sorted((EXAMPLES / user).glob("*.json"))
    for offset, path in enumerate(files):
        record = TicketRecord(offset, path.read_text("utf-8"))
        state, decision = fold(state, record)
        verdicts.append((path.name, decision.verdict, decision.faults))
    return state


@pytest.mark.parametrize("user", ["dala", "consorcio"])
def test_example_tickets_are_accepted_in_the_order_of_their_names(user):
    verdicts = []
    state = state_after(user, verdicts)
    assert [v for v in verdicts if v[1] is not Verdict.ACCEPTED] == []
    assert state.number == len(verdicts) >= 3


@pytest.mark.parametrize(
    ("user", "host", "path", "method", "service", "may_repeat"),
    [
        ("dala", "any", "/rota/today", "GET", "rota-board", True),
        ("dala", "any", "/deliveries/7", "POST", "delivery-book", False),
        ("dala", "any", "/digesters/2", "POST", "digester-desk", False),
        ("consorcio", "tapas.example", "/buscar", "GET", "buscador", True),
        ("consorcio", "tapas.example:80", "/apartados", "POST", "apartados", False),
        ("consorcio", "tapas.example", "/planos/1", "GET", "planos", True),
    ],
)
def test_example_routes_never_repeat_confirmations_and_reservations(
    user, host, path, method, service, may_repeat
):
    found = state_after(user, []).route_table.find(host, path, method)
    assert found.route.service == service
    assert found.route.allows_repeat(method) is may_repeat
