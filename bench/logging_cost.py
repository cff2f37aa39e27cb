"""Cost of the log lines for routing decisions."""

import random
import time
from collections.abc import Callable

from loguru import logger

from bench.registry import benchmarks
from bench.results import add_ratios, print_table, save_rows
from lacewingstair.events import LINE_FORMAT, DecisionLog

CALLS_PER_SECOND_PER_NODE = 50


class _CountingSink:
    """Counts the bytes of the lines without writing them."""

    def __init__(self) -> None:
        self.bytes = 0

    def __call__(self, line: str) -> None:
        self.bytes += len(line.encode())


@benchmarks.register("logging_cost")
def logging_cost(lines: int = 20000, repeats: int = 5, seed: int = 1) -> None:
    """Measure a routing decision that is logged, sampled, and not logged."""
    rows = []
    for label, share in (("logged", 1.0), ("sampled 1%", 0.01), ("off", 0.0)):
        rows.append(_row(label, share, lines, repeats, seed))
    add_ratios(rows, "decision", "logged", ["cpu_us_per_call"])
    print_table(rows)
    save_rows("logging_cost", rows)


def _row(label: str, share: float, lines: int, repeats: int, seed: int) -> dict:
    sink = _CountingSink()
    logger.remove()
    logger.add(sink, format=LINE_FORMAT, level="INFO", colorize=False)
    decisions = DecisionLog(share, random.Random(seed))

    def decide() -> None:
        decisions.call_routed(
            route="rota-read", version="v2", endpoint="10.20.30.40:8080"
        )

    best = min(_cpu_seconds(decide, lines) for _ in range(repeats))
    logger.remove()
    per_call = best / lines
    bytes_per_call = sink.bytes / (lines * repeats)
    return {
        "decision": label,
        "cpu_us_per_call": per_call * 1e6,
        "core_percent_at_50_per_s": per_call * CALLS_PER_SECOND_PER_NODE * 100,
        "bytes_per_call": bytes_per_call,
        "bytes_per_s_at_50_per_s": bytes_per_call * CALLS_PER_SECOND_PER_NODE,
    }


def _cpu_seconds(decide: Callable[[], None], count: int) -> float:
    start = time.process_time()
    for _ in range(count):
        decide()
    return time.process_time() - start
