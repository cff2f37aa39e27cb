"""A short run of the soak with real processes, for each kind of work."""

import asyncio

import pytest

from soak.run import Directory, Options, run

SECONDS = 8.0


@pytest.mark.parametrize(("seed", "is_planned"), [(1, False), (2, True)])
def test_a_short_run_breaks_no_promise(seed, is_planned, tmp_path):
    directory = Directory(tmp_path, seed + 200)
    options = Options(SECONDS, is_planned=is_planned)
    verdict = asyncio.run(run(seed, directory, options))
    assert verdict.faults == [], verdict.schedule
    assert verdict.statuses[200] > 500
    # A run without calls to judge would pass whatever is in force.
    assert verdict.judged > 500
