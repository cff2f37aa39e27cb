"""Cost of decoding a configuration document, by its size."""

import json
import random
import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.garbage_collection import tune_garbage_collection
from lacewingstair.metadata.configuration import Configuration
from lacewingstair.platform.configuration import decode_configuration
from lacewingstair.routing.routes import RouteTable

ROUTE_COUNTS = (200, 1650, 5000)
CHANGED_COUNTS = (0, 10, 100, 200)
TIMEOUT_PLACE = 4
SERVICES = 30
HOSTS = 12
COLUMNS = (
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "service",
    "attempts",
    "traffic_split",
)
KINDS = ("idempotent", "non_idempotent", "download")


@benchmarks.register("configuration-decoding")
def measure_decoding(rounds: int = 40, seed: int = 1) -> None:
    """Measure the processor time of decoding a document, interleaved.

    Parameters
    ----------
    rounds : int
        Repetitions of each operation; the median counts.
    seed : int
        Of the documents.
    """
    tune_garbage_collection()
    rows: list[dict[str, Any]] = []
    for routes in ROUTE_COUNTS:
        rows.extend(_measure(routes, rounds, random.Random(seed)))
    save_rows("configuration-decoding", rows)
    print_table(rows)


def _measure(routes: int, rounds: int, rng: random.Random) -> list[dict[str, Any]]:
    route_rows = [_route_row(index, rng) for index in range(routes)]
    source = _document(1, route_rows)
    first = decode_configuration(source).unwrap()
    operations: dict[str, Callable[[], object]] = {
        "json.loads": lambda: json.loads(source),
        "table compiled": lambda: RouteTable.compile(first.routes_by_name),
        "full decode": lambda: decode_configuration(source).unwrap(),
    }
    for changed in CHANGED_COUNTS:
        after = _document(2, _changed_rows(route_rows, changed))
        operations[f"decode after {changed} changed"] = partial(
            _decode_after, after, first
        )
    times: dict[str, list[float]] = {name: [] for name in operations}
    for _ in range(rounds):
        for name, operation in operations.items():
            times[name].append(_milliseconds(operation))
    parse = statistics.median(times["json.loads"])
    return [
        {
            "routes": routes,
            "kB": len(source) / 1000,
            "operation": name,
            "median ms": statistics.median(measured),
            "longest ms": max(measured),
            "median / json.loads": statistics.median(measured) / parse,
            "us a route beyond json.loads": 1e3
            * (statistics.median(measured) - parse)
            / routes,
        }
        for name, measured in times.items()
    ]


def _changed_rows(route_rows: list[list[Any]], count: int) -> list[list[Any]]:
    """Return the rows with another timeout in some that are spread over all."""
    changed = [row[:] for row in route_rows]
    for index in range(count):
        changed[index * len(changed) // count][TIMEOUT_PLACE] = "77ms"
    return changed


def _decode_after(source: bytes, previous: Configuration) -> None:
    decode_configuration(source, previous).unwrap()


def _milliseconds(operation: Callable[[], object]) -> float:
    started = time.process_time()
    operation()
    return 1e3 * (time.process_time() - started)


def _document(number: int, route_rows: list[list[Any]]) -> bytes:
    services = [[f"svc{index}a", "/health", 130] for index in range(SERVICES)]
    document = {
        "version": f"r{number}",
        "routes": {"columns": COLUMNS, "rows": route_rows},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": services,
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _route_row(index: int, rng: random.Random) -> list[Any]:
    service = f"svc{rng.randrange(SERVICES)}a"
    split = None
    if rng.random() < 0.1:
        other = f"svc{rng.randrange(SERVICES)}a"
        split = [
            {"service": service, "weight": 90},
            {"service": other, "weight": 10},
        ]
    return [
        f"route-{index}",
        f"h{rng.randrange(HOSTS)}pu.example",
        f"/pu{rng.randrange(1000)}/{index:x}/",
        rng.choice(KINDS),
        f"{rng.randrange(800, 3000)}ms",
        f"{rng.randrange(200, 800)}ms",
        rng.randrange(3),
        None if split else service,
        rng.randrange(1, 4),
        split,
    ]
