"""One run of the soak: callers, faults drawn from a seed, and the verdict."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

import aiohttp
import attrs
from loguru import logger

from soak.faults import PLANNED, faults_by_name
from soak.history import Call, History, broken
from soak.site import Site, Vm

START_SECONDS = 60.0
GAP_SECONDS = (0.2, 2.0)
LINKS_SECONDS = 2.0
RECOVERY_SECONDS = 8.0
CALM_SECONDS = 4.0
CALLERS_PER_VM = 2
TIMEOUT_MS = 1500
PAUSE_SECONDS = 0.05


@attrs.frozen
class Directory:
    """Where a run keeps its files, and its number within this process."""

    path: Path
    number: int


@attrs.frozen
class Verdict:
    """Outcome of a run.

    Parameters
    ----------
    seed : int
        The seed.
    faults : list of str
        What broke a promise.
    statuses : Counter
        Calls by the status of their answer; 0 without one.
    schedule : list of str
        When which fault began.
    """

    seed: int
    faults: list[str]
    statuses: Counter[int]
    schedule: list[str]


async def run(
    seed: int, seconds: float, directory: Directory, *, is_planned: bool = False
) -> Verdict:
    """Run the site with faults for a while; return what broke a promise.

    Parameters
    ----------
    seed : int
        Decides which faults come, and when.
    seconds : float
        Time with faults.
    directory : Directory
        Where logs and settings go.
    is_planned : bool
        Whether only planned work is drawn.
    """
    rng = random.Random(seed)
    site = Site(directory)
    history = History(is_planned=is_planned)
    schedule: list[str] = []
    limit = aiohttp.TCPConnector(limit=0, force_close=False)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_MS / 1000 + 1)
    async with aiohttp.ClientSession(connector=limit, timeout=timeout) as session:
        try:
            await site.start(session)
            await _until_serving(site, session)
            is_over = asyncio.Event()
            began_at = time.monotonic()
            callers = [
                asyncio.create_task(
                    _caller(site, session, history, is_over, seed, number, began_at)
                )
                for number in range(CALLERS_PER_VM * len(site.vms))
            ]
            names = sorted(PLANNED if is_planned else faults_by_name)
            await _disturb(site, rng, names, seconds, schedule, began_at)
            await asyncio.sleep(RECOVERY_SECONDS)
            history.calm_from = time.monotonic() - began_at
            await asyncio.sleep(CALM_SECONDS)
            is_over.set()
            await asyncio.gather(*callers)
            # Runs that go on are counted as well.
            await asyncio.sleep(TIMEOUT_MS / 1000)
            history.own_ends = [end for vm in site.vms if (end := vm.own_end())]
        finally:
            await site.stop()
    for vm in site.vms:
        history.runs += vm.upstream.runs
        history.arrivals += [fields["Request-Id"] for _, fields, _ in vm.upstream.heads]
    statuses = Counter(call.status for call in history.calls)
    return Verdict(seed, broken(history), statuses, schedule)


async def _until_serving(site: Site, session: aiohttp.ClientSession) -> None:
    """Wait until all VMs are ready and have links to each other."""
    async with asyncio.timeout(START_SECONDS):
        for vm in site.vms:
            while not await _is_ready(vm, session):  # noqa: ASYNC110 - asked over HTTP
                await asyncio.sleep(0.1)
        await asyncio.sleep(LINKS_SECONDS)


async def _is_ready(vm: Vm, session: aiohttp.ClientSession) -> bool:
    try:
        async with session.get(f"http://{vm.host}:7104/ready") as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def _disturb(
    site: Site,
    rng: random.Random,
    names: list[str],
    seconds: float,
    schedule: list[str],
    began_at: float,
) -> None:
    """Start faults one after the other; they overlap as their times are drawn."""
    async with asyncio.TaskGroup() as group:
        while time.monotonic() - began_at < seconds:
            name = rng.choice(names)
            fault_rng = random.Random(rng.random())
            schedule.append(f"{time.monotonic() - began_at:.1f} {name}")
            group.create_task(faults_by_name[name](site, fault_rng))
            await asyncio.sleep(rng.uniform(*GAP_SECONDS))


async def _caller(
    site: Site,
    session: aiohttp.ClientSession,
    history: History,
    is_over: asyncio.Event,
    seed: int,
    number: int,
    began_at: float,
) -> None:
    """Call one VM again and again, on connections that are kept."""
    rng = random.Random(f"{seed} {number}")
    vm = site.vms[number % len(site.vms)]
    count = 0
    while not is_over.is_set():
        count += 1
        request_id = f"{number}-{count}"
        is_idempotent = rng.random() < 0.5
        path, method = ("/view/1", "GET") if is_idempotent else ("/load/1", "POST")
        sent_at = time.monotonic() - began_at
        status, body, is_signed = await _call(vm, session, path, method, request_id)
        ended_at = time.monotonic() - began_at
        history.calls.append(
            Call(
                request_id,
                is_idempotent,
                vm.name,
                sent_at,
                ended_at,
                status,
                body,
                is_signed,
            )
        )
        await asyncio.sleep(PAUSE_SECONDS * rng.random())


async def _call(
    vm: Vm, session: aiohttp.ClientSession, path: str, method: str, request_id: str
) -> tuple[int, bytes, bool]:
    """Return status, body and whether the answer is signed; 0 without an answer."""
    headers = {
        "Host": "a.example",
        "Request-Id": request_id,
        "Timeout-Ms": str(TIMEOUT_MS),
    }
    url = f"http://{vm.host}:7101{path}"
    try:
        async with session.request(method, url, headers=headers) as answer:
            body = await answer.read()
            return answer.status, body, "Response-Signature" in answer.headers
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        logger.trace("call {} without an answer: {}", request_id, error)
        return 0, b"", False
