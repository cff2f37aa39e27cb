"""Runs models in virtual time and prints their results."""

import json
import sys
import time
from collections.abc import Iterable, Sequence
from typing import Any

from result import Err, Ok, Result

from lacewingstair.cli import arguments
from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.experiments.placement_choices import CHOICES_BY_NAME
from lacewingstair.experiments.placement_model import (
    PlacementModel,
    PlacementScenario,
)

MAX_VMS = 300


def choice_names(text: str) -> Result[tuple[str, ...], str]:
    """Return the names of placement choices, separated by commas; all if empty."""
    names = tuple(part.strip() for part in text.split(",")) if text else ()
    unknown = [name for name in names if name not in CHOICES_BY_NAME]
    if unknown:
        allowed = ", ".join(CHOICES_BY_NAME)
        return Err(f"choices: {unknown[0]!r} is unknown; allowed: {allowed}")
    return Ok(names or tuple(CHOICES_BY_NAME))


def vm_counts(text: str) -> Result[tuple[int, ...], str]:
    """Return numbers of VMs, separated by commas."""
    checks = [
        arguments.integer("vms", part.strip(), 2, MAX_VMS) for part in text.split(",")
    ]
    faults = arguments.faults(*checks)
    return Err(faults[0]) if faults else Ok(tuple(c.ok_value for c in checks))


def scenarios(
    vm_counts: Iterable[int], loads: Iterable[float], seconds: float, seeds: int
) -> list[list[PlacementScenario]]:
    """Return the scenarios of each case, one for each seed."""
    loads = tuple(loads)
    return [
        [PlacementScenario(vms, load, seconds, seed) for seed in range(seeds)]
        for vms in vm_counts
        for load in loads
    ]


def run_placement(
    cases: Sequence[Sequence[PlacementScenario]], names: Sequence[str]
) -> ExitCode:
    """Run each case with each choice, and print one JSON document."""
    total = len(cases) * len(names)
    started_at = time.monotonic()
    rows = []
    for case in cases:
        for name in names:
            choice = CHOICES_BY_NAME[name]
            runs = [PlacementModel(found, choice).run().summary() for found in case]
            row = {
                "vms": case[0].vms,
                "load": case[0].utilization,
                "choice": name,
                **_mean_of(runs),
            }
            rows.append(row)
            elapsed = time.monotonic() - started_at
            print(
                f"{len(rows)}/{total} after {elapsed:.0f} s: {row['vms']} VMs at "
                f"{row['load']:g}, {name}: {row['in_time_share']:.1%} in time",
                file=sys.stderr,
                flush=True,
            )
    seconds, seeds = cases[0][0].seconds, len(cases[0])
    document = {"experiment": "placement", "seconds": seconds, "seeds": seeds}
    print(json.dumps({**document, "results": rows}, indent=1))
    return ExitCode.DONE


def _mean_of(runs: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the mean of each number, and the worst kind of call of any run."""
    worst = min(runs, key=lambda run: run["worst_kind_share"])
    shares = [run["in_time_share"] for run in runs]
    means = {
        name: round(sum(run[name] for run in runs) / len(runs), 4)
        for name, value in runs[0].items()
        if not isinstance(value, str)
    }
    return {
        **means,
        "in_time_share_low": min(shares),
        "in_time_share_high": max(shares),
        "worst_kind": worst["worst_kind"],
    }
