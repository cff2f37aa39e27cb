"""What operators are told about the placement of a call."""

import random

import attrs

from lacewingstair.caller.selection.candidates import CandidateSelection
from lacewingstair.caller.selection.explanation import PlacementExplanation
from lacewingstair.metadata.configuration import CallRoute, Configuration, SplitPart
from lacewingstair.routing.routes import RouteTable
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.entries import MeshView
from tests.caller.calls.test_forwarding import (
    ClosedGate,
    Link,
    Links,
    answer,
    rollouts_at,
)
from tests.vm.test_entries import ENTRY

ROUTE = CallRoute(("board.test",), "/a/", (SplitPart("board", 1.0),))


def explain(path, *links, route=ROUTE):
    async def main():
        clock = VirtualClock()
        view = MeshView("own")
        own = attrs.evolve(ENTRY, vm_id="own", service="other")
        view.merge(own)
        for link in links:
            view.merge(attrs.evolve(own, vm_id=link.vm_id, service="board"))
        selection = CandidateSelection(
            lambda: own,
            view,
            Links({link.vm_id: link for link in links}),
            ClosedGate(),
            rollouts_at(None),
            clock,
            random.Random(1),
        )
        routes = {"r": route}
        configuration = Configuration(
            3, routes_by_name=routes, table=RouteTable.compile(routes)
        )
        explanation = PlacementExplanation(lambda: configuration, selection, clock)
        return explanation.explain("board.test", path, "GET", 10**8, "acme")

    return run_virtual(main())


def link(vm_id, **load):
    found = Link(vm_id, answer())
    found.load = attrs.evolve(found.load, **load)
    return found


def test_the_candidates_and_the_choice_are_told_and_nothing_is_sent():
    """Guards against an explanation that runs the call or holds its body."""
    # The service time is stated at the present speed; the cost is the same at both.
    slow = link("slow", work_percent=300, service_ms=300.0)
    fast = link("fast", work_percent=80, service_ms=80.0)
    found = explain("/a/b?key=secret", slow, fast)
    assert (found["route"], found["account"]) == ("r", "acme")
    (service,) = found["services"]
    assert service["choice"] == "fast"
    rows = {row["vm"]: row for row in service["candidates"]}
    assert rows["slow"]["work_percent"] == 300
    assert sum(row["chosen_share"] for row in rows.values()) == 1
    assert slow.calls == fast.calls == []
    assert "secret" not in str(found)


def test_a_call_that_goes_nowhere_is_explained():
    assert explain("/b")["reason"] == "no route matches"
    faulty = attrs.evolve(ROUTE, fault="no parts")
    assert "unreadable" in explain("/a/b", route=faulty)["reason"]
    (service,) = explain("/a/b")["services"]
    assert service["choice"] is None and service["reason"]
