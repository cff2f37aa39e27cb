"""Cost of accepting tickets and of finding routes, by size of the configuration."""

import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.routing.routes import RouteTable
from lacewingstair.tickets.acceptance import MeshState, TicketRecord, Verdict, fold
from lacewingstair.tickets.parsing import parse_ticket
from lacewingstair.tickets.state_codec import decode_state, encode_state

DEFAULT_SIZES = ((71, 200), (710, 2000), (2840, 8000))
SERVICES_PER_TICKET = 200
CHANGES_PER_DAY = 15_000
HOSTS = 40


@benchmarks.register("acceptance")
def measure_acceptance(rounds: int = 200, seed: int = 1) -> None:
    """Measure fold, route lookup, route compile and state codec at three sizes.

    Parameters
    ----------
    rounds : int
        Repetitions of each operation; the median counts.
    seed : int
        Of the configuration.
    """
    rows = [
        _measure(services, routes, rounds, seed) for services, routes in DEFAULT_SIZES
    ]
    save_rows("acceptance", rows)
    print_table(rows)


def _measure(services: int, routes: int, rounds: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    tickets = _initial_tickets(services, routes, rng)
    tracemalloc.start()
    state = _fold_all(tickets)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    change = _text(state.number + 1, routes={"route-0": _route(0, services, rng)})
    whole = max(tickets, key=len)
    calls = [_call(rng.randrange(routes)) for _ in range(1000)]
    encoded = encode_state(state)
    table = state.route_table

    def find_all() -> None:
        for host, path in calls:
            if table.find(host, path, "GET") is None:
                sys.exit(f"no route for {host}{path}")

    fold_ms = _median_ms(lambda: _fold_accepted(state, change), rounds)
    return {
        "services": services,
        "routes": routes,
        "fold of one change, ms": fold_ms,
        "folds a day, share of a core": fold_ms * CHANGES_PER_DAY / 86_400_000,
        "parse of the change, ms": _median_ms(lambda: parse_ticket(change), rounds),
        "parse of 100 KB, ms": _median_ms(lambda: parse_ticket(whole), 5)
        * 100_000
        / len(whole),
        "find, us": _median_ms(find_all, 20),
        "compile all, ms": _median_ms(lambda: RouteTable.compile(state.routes), 20),
        "encode, ms": _median_ms(lambda: encode_state(state), 20),
        "decode, ms": _median_ms(lambda: decode_state(encoded), 20),
        "encoded, KB": len(encoded) / 1000,
        "memory, MB": memory / 1e6,
    }


def _median_ms(operation: Callable[[], object], rounds: int) -> float:
    durations = []
    for _ in range(rounds):
        start = time.perf_counter()
        operation()
        durations.append(time.perf_counter() - start)
    return sorted(durations)[len(durations) // 2] * 1000


def _fold_all(tickets: list[str]) -> MeshState:
    state = MeshState()
    for offset, text in enumerate(tickets):
        state = _fold_accepted(state, text, offset)
    return state


def _fold_accepted(state: MeshState, text: str, offset: int | None = None) -> MeshState:
    offset = state.next_offset if offset is None else offset
    after, decision = fold(state, TicketRecord(offset, text))
    if decision.verdict is not Verdict.ACCEPTED:
        sys.exit(f"ticket refused: {decision.faults[0]}")
    return after


def _initial_tickets(services: int, routes: int, rng: random.Random) -> list[str]:
    tickets: list[str] = []
    for start in range(0, services, SERVICES_PER_TICKET):
        names = range(start, min(start + SERVICES_PER_TICKET, services))
        section = {f"service-{i}": _service(rng) for i in names}
        tickets.append(_text(len(tickets) + 1, services=section))
    for start in range(0, routes, SERVICES_PER_TICKET):
        names = range(start, min(start + SERVICES_PER_TICKET, routes))
        section = {f"route-{i}": _route(i, services, rng) for i in names}
        tickets.append(_text(len(tickets) + 1, routes=section))
    return tickets


def _text(number: int, **sections: Any) -> str:
    return json.dumps({"number": number, "author": "bench", **sections})


def _service(rng: random.Random) -> dict[str, Any]:
    versions = [f"2026.{rng.randrange(100)}.{i}" for i in range(2)]
    return {"versions": versions, "current": versions[0]}


def _route(index: int, services: int, rng: random.Random) -> dict[str, Any]:
    return {
        "service": f"service-{rng.randrange(services)}",
        "hosts": ["*"] if index % 4 == 0 else [f"host-{index % HOSTS}.example"],
        "path_prefix": f"/api/v1/part-{index}",
        "methods": ["GET", "POST"] if index % 2 else [],
        "worth": rng.choice((1, 2.5, 10)),
        "timeout_ms": rng.choice((500, 2000)),
    }


def _call(index: int) -> tuple[str, str]:
    return f"host-{index % HOSTS}.example:8080", f"/api/v1/part-{index}/item/17"
