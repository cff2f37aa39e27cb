"""Error rates of the sequential tests, measured on judges without a mesh."""

import multiprocessing
import random
import time

import attrs

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.marks import RolloutKey
from lacewingstair.rollouts.version_analyzer import (
    FALSE_ROLLBACK_PROBABILITY,
    VersionAnalyzer,
)
from lacewingstair.tickets.parsing import Rollout

ROUTES = ("read", "confirm")
STEPS = 600
STEP_SECONDS = 0.5
KEY = RolloutKey("move", 1)
SHARES = (0.02, 0.1, 0.25, 0.5, 0.9)


@attrs.frozen
class Ratios:
    """Ratios of failing and slow calls of both versions, and how they drift.

    Parameters
    ----------
    increase : float
        Failure ratio of the new version above the old one.
    slow_increase : float
        Ratio of slow calls above the old version's.
    has_overload : bool
        Whether 30% of the calls of both fail and 60% are slow now and then.
    """

    increase: float
    slow_increase: float
    has_overload: bool


CASES = {
    "equal": Ratios(0.0, 0.0, False),
    "equal, overloads": Ratios(0.0, 0.0, True),
    "at the allowed increase": Ratios(0.01, 0.12, False),
    "at the allowed increase, overloads": Ratios(0.01, 0.12, True),
    "bad by the smallest increase": Ratios(0.02, 0.0, False),
}


def _is_convicted(arguments: tuple[str, float, int, int]) -> bool:
    name, error_rate, calls, seed = arguments
    ratios = CASES[name]
    rng = random.Random(f"{name}/{seed}")
    rollout = Rollout("board", "v1", "v2", 0.0, STEPS * STEP_SECONDS)
    judge = VersionAnalyzer(rollout, ROUTES, error_rate, STEPS * STEP_SECONDS)
    is_overloaded = False
    for step in range(STEPS):
        if rng.random() < 0.02:
            is_overloaded = ratios.has_overload and not is_overloaded
        stage = min(step * len(SHARES) // STEPS, len(SHARES) - 1)
        for route in ROUTES:
            judge.start_stage(route, stage)
            _add_calls(judge, ratios, is_overloaded, route, stage, calls, step, rng)
        judge.invest_for_elapsed_time(STEP_SECONDS)
        judge.close_due_blocks(step * STEP_SECONDS)
        if judge.verdict() is not None:
            return True
    return False


def _add_calls(
    judge: VersionAnalyzer,
    ratios: Ratios,
    is_overloaded: bool,
    route: str,
    stage: int,
    calls: int,
    step: int,
    rng: random.Random,
) -> None:
    failing, slow = (0.3, 0.6) if is_overloaded else (0.002, 0.34)
    tallies = {"v1": CallCounts(), "v2": CallCounts()}
    for _ in range(calls):
        is_new = rng.random() < SHARES[stage]
        tally = tallies["v2" if is_new else "v1"]
        tally.calls += 1
        tally.timed += 1
        tally.failures += rng.random() < failing + is_new * ratios.increase
        tally.slow += rng.random() < slow + is_new * ratios.slow_increase
    for version, tally in tallies.items():
        if not tally.is_empty:
            place = CounterKey(KEY, route, version, stage)
            judge.add("zone", place, tally, step * STEP_SECONDS)


@benchmarks.register("rollout-error-rates")
def error_rates(runs: int = 1000, calls: int = 10, processes: int = 4) -> None:
    """Count wrong and right convictions of one judge over many runs.

    Each run is `STEPS` steps with `calls` calls per route and step.
    """
    rows = []
    started = time.monotonic()
    with multiprocessing.Pool(processes) as pool:
        for name in CASES:
            for error_rate in (0.1, FALSE_ROLLBACK_PROBABILITY):
                arguments = [(name, error_rate, calls, seed) for seed in range(runs)]
                convicted = sum(pool.map(_is_convicted, arguments, chunksize=10))
                row = {"new version": name, "stated error rate": error_rate}
                rows.append({**row, "runs": runs, "convicted": convicted})
    print(f"{len(rows) * runs} runs in {time.monotonic() - started:.0f} s")
    save_rows("rollout-error-rates", rows)
    print_table(rows)
