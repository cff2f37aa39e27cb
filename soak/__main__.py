"""Command line of the soak: ``python -m soak --seeds=50``."""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import fire

from soak.history import shown
from soak.run import Directory, Options, Verdict, run
from soak.seeds import (
    CAUSES_BY_LARGE_SEED,
    CAUSES_BY_SEED,
    KEPT_SECONDS,
    LARGE_VMS,
)


def main(
    seeds: int = 1,
    first_seed: int = 0,
    seconds: float = 20.0,
    at_once: int = 1,
    planned: bool = False,
    vms: int = 6,
    kept: bool = False,
) -> None:
    """Run seeds and exit with 1 if any promise was broken.

    Parameters
    ----------
    seeds : int
        How many.
    first_seed : int
        The first of them, the others follow; 0 draws a fresh one.
    seconds : float
        Time with faults.
    at_once : int
        Runs at the same time.
    planned : bool
        Whether only planned work is drawn.
    vms : int
        Daemons of each run.
    kept : bool
        Whether the seeds that have failed before, on a site of this size, are run in
        place of others.
    """
    first = first_seed or random.randrange(1, 1 << 30)
    kept_seeds = CAUSES_BY_LARGE_SEED if vms >= LARGE_VMS else CAUSES_BY_SEED
    drawn = list(kept_seeds) if kept else list(range(first, first + seeds))
    seconds = KEPT_SECONDS if kept else seconds
    options = Options(seconds, is_planned=planned, vms=vms)
    verdicts = asyncio.run(_run_all(drawn, at_once, options))
    failed = [verdict for verdict in verdicts if verdict.faults]
    print(f"{len(verdicts) - len(failed)} passed, {len(failed)} failed")
    raise SystemExit(bool(failed))


async def _run_all(seeds: list[int], at_once: int, options: Options) -> list[Verdict]:
    slots = asyncio.Semaphore(at_once)

    async def one(number: int, seed: int) -> Verdict:
        async with slots:
            path = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            directory = Directory(path, number)
            verdict = await run(seed, directory, options)
            _print(verdict, path)
            return verdict

    runs = (one(number % 250, seed) for number, seed in enumerate(seeds))
    return await asyncio.gather(*runs)


def _print(verdict: Verdict, path: Path) -> None:
    outcome = "failed" if verdict.faults else "passed"
    counts = ", ".join(f"{s}: {n}" for s, n in sorted(verdict.statuses.items()))
    judged = f"{verdict.versions} versions, {verdict.judged} calls judged by them"
    stall = f"soak stalled {verdict.longest_stall_seconds:.2f} s at most"
    print(
        f"seed {verdict.seed}: {outcome}, calls by status {counts}, {judged}, {stall}"
    )
    if verdict.faults:
        print(f"  logs: {path}\n  schedule: {', '.join(verdict.schedule)}")
        print(shown(verdict.faults))
        (path / "faults.txt").write_text("\n".join(verdict.faults))
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(main)
