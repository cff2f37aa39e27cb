"""Faults that a seed draws from, each for a while; several may overlap."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from soak.proxy import Fault
from soak.site import Site

FaultRun = Callable[[Site, random.Random], Awaitable[None]]
faults_by_name: dict[str, FaultRun] = {}
LONGEST_SECONDS = 4.0
# Work that must cut no call.
PLANNED = (
    "configuration_changed",
    "process_stopped",
    "settings_reloaded",
    "work_in_series",
)
UPSTREAM_BEHAVIOURS = (
    "truncate",
    "reset",
    "extra",
    "late extra",
    "unframed reset",
    "unsigned",
    "shed",
    "error",
    "silent",
    "repeated refusal",
    "repeated refusal without id",
)


def fault(run: FaultRun) -> FaultRun:
    """Register a fault under the name of its function."""
    faults_by_name[run.__name__] = run
    return run


def _seconds(rng: random.Random) -> float:
    return rng.uniform(0.3, LONGEST_SECONDS)


@fault
async def process_killed(site: Site, rng: random.Random) -> None:
    """Kill some processes and start them again."""
    vms = rng.sample(site.vms, rng.choice([1, 1, 2, len(site.vms)]))
    for vm in vms:
        vm.kill()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    for vm in vms:
        vm.start()


@fault
async def process_stopped(site: Site, rng: random.Random) -> None:
    """Stop some processes as planned, one after the other, and start them again."""
    for vm in rng.sample(site.vms, rng.choice([1, 2, 3])):
        await vm.terminate()
        vm.start()


@fault
async def process_paused(site: Site, rng: random.Random) -> None:
    """Pause a process, which keeps its connections open."""
    vm = rng.choice(site.vms)
    vm.pause()
    await asyncio.sleep(_seconds(rng))
    vm.wake()


@fault
async def settings_reloaded(site: Site, rng: random.Random) -> None:
    """Tell processes that their settings have changed."""
    for vm in rng.sample(site.vms, 3):
        vm.reload()
        await asyncio.sleep(0.1)


@fault
async def work_in_series(site: Site, rng: random.Random) -> None:
    """Reload, change the configuration, stop and start again, VM after VM."""
    for vm in rng.sample(site.vms, rng.choice([2, 3])):
        vm.reload()
        await site.publish()
        await vm.terminate()
        await site.publish()
        vm.start()
        await asyncio.sleep(rng.uniform(0.0, 1.0))


@fault
async def store_misbehaves(site: Site, rng: random.Random) -> None:
    """Let the store refuse calls, or do writes without an answer."""
    if rng.random() < 0.5:
        site.set_store(status=rng.choice([429, 500, 503]))
    else:
        site.set_store(loses_answers=True)
    await asyncio.sleep(_seconds(rng))
    site.set_store()


@fault
async def writes_come_late(site: Site, rng: random.Random) -> None:
    """Let the store do writes without an answer and late."""
    site.set_store(late_seconds=_seconds(rng))
    await asyncio.sleep(_seconds(rng))
    site.set_store()


@fault
async def store_is_cut(site: Site, rng: random.Random) -> None:
    """Delay, reset, cut one way or silence the connections to the store."""
    site.cut_store(rng.choice(list(Fault)[1:]))
    await asyncio.sleep(_seconds(rng))
    site.cut_store(Fault.NONE)


@fault
async def store_is_cut_from_some(site: Site, rng: random.Random) -> None:
    """Cut the connections of some VMs to the store."""
    vms = rng.sample(site.vms, rng.choice([1, 2, len(site.vms) // 2]))
    site.cut_store(rng.choice(list(Fault)[1:]), vms)
    await asyncio.sleep(_seconds(rng))
    site.cut_store(Fault.NONE, vms)


@fault
async def store_falls_silent(site: Site, rng: random.Random) -> None:
    """Silence the connections to the store in series, and change configurations."""
    for _ in range(rng.choice([1, 2, 3])):
        site.cut_store(Fault.SILENT)
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        await site.publish()
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        site.cut_store(Fault.NONE)
        if rng.random() < 0.5:
            await site.publish()
        await asyncio.sleep(rng.uniform(0.0, 1.0))


@fault
async def upstream_is_cut(site: Site, rng: random.Random) -> None:
    """Delay, reset, cut one way or silence the connections to a backend server."""
    vm = rng.choice(site.vms)
    vm.proxy.set_fault(rng.choice(list(Fault)[1:]))
    await asyncio.sleep(_seconds(rng))
    vm.proxy.set_fault(Fault.NONE)


@fault
async def upstream_misbehaves(site: Site, rng: random.Random) -> None:
    """Let backend servers answer wrongly, refuse, or say nothing."""
    vms = rng.sample(site.vms, rng.choice([1, 1, 2, 3]))
    for vm in vms:
        vm.upstream.behaviour = rng.choice(UPSTREAM_BEHAVIOURS)
    await asyncio.sleep(_seconds(rng))
    for vm in vms:
        vm.upstream.behaviour = "ok"


@fault
async def configuration_changed(site: Site, rng: random.Random) -> None:
    """Publish configurations in quick succession."""
    for _ in range(rng.choice([1, 1, 6])):
        await site.publish()
        await asyncio.sleep(0.1)


@fault
async def history_dropped(site: Site, rng: random.Random) -> None:
    """Drop what the store holds beside the newest records."""
    site.drop_history(rng.choice(["keyed.op", "keyed.mesh"]))
    await asyncio.sleep(0.1)


@fault
async def store_restored(site: Site, rng: random.Random) -> None:
    """Let the store come back from an older copy; the operator writes again."""
    copy = site.store.copied()
    await asyncio.sleep(_seconds(rng))
    await site.publish()
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await site.store.restore(copy)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await site.publish()
