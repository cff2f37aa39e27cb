"""Guards against a VM that goes on without one of its background tasks."""

import asyncio
import random

import pytest
from result import Ok

from lacewingstair import background_tasks
from lacewingstair.background_tasks import RESTART_SECONDS, keep_running
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.registration import Registration
from tests.test_sidecar import until, with_mesh


@pytest.fixture
def crashes(monkeypatch):
    """Return the fields of the lines about failed runs."""
    lines = []
    monkeypatch.setattr(
        background_tasks.events, "error", lambda event, **fields: lines.append(fields)
    )
    return lines


class FailingRun:
    """Run that fails as often as told, and then waits."""

    def __init__(self, *failures):
        self.failures = list(failures)
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.failures:
            raise self.failures.pop(0)
        await asyncio.Event().wait()


def test_a_run_that_fails_is_logged_and_started_again(crashes):
    failing = FailingRun(ValueError("odd"), asyncio.CancelledError(), KeyError("x"))

    async def main():
        task = asyncio.create_task(keep_running("reading", failing.run, VirtualClock()))
        await asyncio.sleep(0.5 * RESTART_SECONDS)
        assert failing.starts == 1
        await asyncio.sleep(3 * RESTART_SECONDS)
        assert failing.starts == 4
        task.cancel()
        await asyncio.wait((task,))
        assert task.cancelled()

    run_virtual(main())
    assert [line["task"] for line in crashes] == ["reading"] * 3
    assert "odd" in crashes[0]["error"]


def test_a_run_that_returns_is_not_started_again(crashes):
    starts = []

    async def run():
        starts.append(1)

    run_virtual(keep_running("once", run, VirtualClock()))
    assert (starts, crashes) == ([1], [])


def test_an_entry_is_written_after_its_write_has_crashed(crashes):
    """Guards against an entry that is missing in the store until it changes."""
    writes = []

    async def write(vm_id, value):
        writes.append(vm_id)
        if len(writes) == 1:
            raise AttributeError("an answer of a form that nobody expected")
        return Ok(3)

    async def main():
        clock = VirtualClock()
        own = VmEntry("own", "r", "z", "10.0.0.9:1", "book", 1)
        registration = Registration(
            own, MeshView("own"), write, clock, random.Random(1)
        )
        registration._replace(own)
        run = keep_running("registration", registration.run, clock)
        task = asyncio.create_task(run)
        await asyncio.sleep(5.0)
        assert writes == ["own", "own"]
        task.cancel()

    run_virtual(main())
    assert len(crashes) == 1


def test_a_vm_reads_the_entries_again_after_its_reading_has_crashed(crashes):
    """Guards against entries that a VM never reads again after one odd answer."""

    async def check(store, vms, session):
        sidecar = vms[0].sidecar
        await until(lambda: sidecar.store_follower.has_read_entries)
        tail = sidecar.store_follower._mesh_tail
        take = tail._on_records

        def has_crashed():
            return "entries_reading" in [line.get("task") for line in crashes]

        def fail_once(records, position):
            # Checks of the store read the entries too.
            if not has_crashed():
                raise RuntimeError("a record of a form that nobody expected")
            take(records, position)

        tail._on_records = fail_once
        tail._next_offset = None
        tail.give_up_waiting()
        await until(has_crashed)
        await until(lambda: tail.is_up)
        assert not any(task.done() for task in sidecar._tasks)

    with_mesh(check, ["board"] * 2)
