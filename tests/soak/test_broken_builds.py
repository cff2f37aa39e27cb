"""The soak finds builds of the daemon that are broken on purpose."""

import asyncio

import pytest

from soak.run import Directory, Options, run

SECONDS = 2.0
# The module that runs a broken daemon, and the promise that it breaks.
PROMISE_BY_BUILD = {
    "waiting_reads_trusted": "acknowledged_versions_are_in_force_in_time",
    "newest_version_forgotten": "no_process_goes_back_to_an_older_version",
}


@pytest.mark.parametrize("build", PROMISE_BY_BUILD)
def test_a_broken_build_breaks_its_promise(build, tmp_path):
    """Guards against a judgement that passes over the failure it is there for."""
    directory = Directory(tmp_path, 210 + list(PROMISE_BY_BUILD).index(build))
    options = Options(
        SECONDS,
        fault_names=("configuration_changed", "store_falls_silent"),
        entry_module=f"tests.soak.broken_builds.{build}",
    )
    verdict = asyncio.run(run(3, directory, options))
    names = [fault.partition(":")[0] for fault in verdict.faults]
    assert PROMISE_BY_BUILD[build] in names
