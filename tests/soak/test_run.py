"""A short run of the soak with real processes, for each kind of work."""

import asyncio

import pytest

from soak.run import Directory, run

SECONDS = 8.0


@pytest.mark.parametrize(("seed", "is_planned"), [(1, False), (2, True)])
def test_a_short_run_breaks_no_promise(seed, is_planned, tmp_path):
    directory = Directory(tmp_path, seed + 200)
    verdict = asyncio.run(run(seed, SECONDS, directory, is_planned=is_planned))
    assert verdict.faults == [], verdict.schedule
    assert verdict.statuses[200] > 500
