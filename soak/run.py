"""One run of the soak: callers, faults drawn from a seed, and the verdict."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import aiohttp
import attrs
from loguru import logger

from soak.faults import PLANNED, faults_by_name
from soak.history import (
    CALL_TIMEOUT_SECONDS,
    Call,
    History,
    broken,
    judged_calls,
)
from soak.route_plan import NEVER
from soak.site import ENTRY_MODULE, Site, Vm

START_SECONDS = 120.0
GAP_SECONDS = (0.2, 2.0)
# Now and then faults stay away for so long that bounds hold again.
QUIET_SECONDS = (3.5, 6.0)
QUIET_SHARE = 0.15
CHANGE_SECONDS = (0.3, 2.0)
LINKS_SECONDS = 2.0
RECOVERY_SECONDS = 8.0
CALM_SECONDS = 4.0
CALLERS_PER_VM = 2
TIMEOUT_MS = int(CALL_TIMEOUT_SECONDS * 1000)
PAUSE_SECONDS = 0.05
# Pause between the calls of a caller that probes changed routes.
PROBE_PAUSE_SECONDS = 0.15
# Callers of a larger site pause longer, as they all run in one process.
VMS_OF_SHORTEST_PAUSE = 6
NEVER_SHARE = 0.1
STALL_CHECK_SECONDS = 0.05


@attrs.frozen
class Directory:
    """Where a run keeps its files, and its number within this process."""

    path: Path
    number: int


@attrs.frozen
class Options:
    """What a run is made of.

    Parameters
    ----------
    seconds : float
        Time with faults.
    is_planned : bool
        Whether only planned work is drawn.
    vms : int
        Number of VMs.
    fault_names : tuple of str
        Faults to draw from; all of them if empty.
    entry_module : str
        Module that runs the daemons.
    """

    seconds: float
    is_planned: bool = False
    vms: int = 6
    fault_names: tuple[str, ...] = ()
    entry_module: str = ENTRY_MODULE

    @property
    def drawn(self) -> list[str]:
        """Names of the faults to draw from."""
        names = self.fault_names or (PLANNED if self.is_planned else faults_by_name)
        return sorted(names)


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
        When which fault began, in seconds since the start.
    versions : int
        Configuration versions written.
    judged : int
        Calls that showed a version while a bound held for their VM.
    longest_stall_seconds : float
        Longest time for which this process itself, with the callers, the store and the
        backend servers in it, did not get to run.
    """

    seed: int
    faults: list[str]
    statuses: Counter[int]
    schedule: list[str]
    versions: int = 0
    judged: int = 0
    longest_stall_seconds: float = 0.0


@attrs.define
class StallMonitor:
    """Measures how late this process gets to run."""

    longest_seconds: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + STALL_CHECK_SECONDS
            await asyncio.sleep(STALL_CHECK_SECONDS)
            self.longest_seconds = max(self.longest_seconds, loop.time() - due_at)


async def run(seed: int, directory: Directory, options: Options) -> Verdict:
    """Run the site with faults for a while; return what broke a promise.

    Parameters
    ----------
    seed : int
        Decides which faults come, and when.
    directory : Directory
        Where logs and settings go.
    options : Options
        What the run is made of.
    """
    rng = random.Random(seed)
    plan_rng = random.Random(f"{seed} routes")
    site = Site(directory, plan_rng, options.vms, options.entry_module)
    history = History(is_planned=options.is_planned)
    schedule: list[str] = []
    limit = aiohttp.TCPConnector(limit=0, force_close=False)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_MS / 1000 + 1)
    async with aiohttp.ClientSession(connector=limit, timeout=timeout) as session:
        try:
            await site.start(session)
            await _until_serving(site, session)
            monitor = StallMonitor()
            measuring = asyncio.create_task(monitor.run())
            is_over = asyncio.Event()
            tasks = _start_callers(seed, site, session, history, is_over)
            change_rng = random.Random(f"{seed} changes")
            tasks.append(asyncio.create_task(_change(site, change_rng, is_over)))
            await _disturb(site, rng, options, schedule)
            await asyncio.sleep(RECOVERY_SECONDS)
            history.calm_from = site.log.now()
            await asyncio.sleep(CALM_SECONDS)
            is_over.set()
            measuring.cancel()
            await asyncio.gather(*tasks)
            # Runs that go on are counted as well.
            await asyncio.sleep(TIMEOUT_MS / 1000)
            history.own_ends = [end for vm in site.vms if (end := vm.own_end())]
        finally:
            await site.stop()
    _collect(history, site)
    statuses = Counter(call.status for call in history.calls)
    return Verdict(
        seed,
        broken(history),
        statuses,
        schedule,
        len(site.versions),
        judged_calls(history),
        monitor.longest_seconds,
    )


def _collect(history: History, site: Site) -> None:
    """Add what backend servers and the operator saw to what callers saw."""
    history.timeline = site.timeline
    services_by_request: dict[str, set[str]] = {}
    for vm in site.vms:
        history.runs += vm.upstream.runs
        history.arrivals += [fields["Request-Id"] for _, fields, _ in vm.upstream.heads]
        for request_id in vm.upstream.runs:
            services_by_request.setdefault(request_id, set()).add(vm.service)
    history.services_by_request = services_by_request


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
    site: Site, rng: random.Random, options: Options, schedule: list[str]
) -> None:
    """Start faults one after the other; they overlap as their times are drawn.

    The last ones are silences of the store, so that every run judges what follows them.
    """
    end = site.log.now() + options.seconds
    async with asyncio.TaskGroup() as group:
        while site.log.now() < end:
            name = rng.choice(options.drawn)
            fault_rng = random.Random(rng.random())
            schedule.append(f"{site.log.now():.1f} {name}")
            group.create_task(faults_by_name[name](site, fault_rng))
            is_quiet = rng.random() < QUIET_SHARE
            await asyncio.sleep(
                rng.uniform(*QUIET_SECONDS if is_quiet else GAP_SECONDS)
            )
    if "store_falls_silent" in options.drawn:
        schedule.append(f"{site.log.now():.1f} store_falls_silent")
        await faults_by_name["store_falls_silent"](site, rng)


async def _change(site: Site, rng: random.Random, is_over: asyncio.Event) -> None:
    """Publish one version after the other, also in calm."""
    while not is_over.is_set():
        await site.publish()
        await asyncio.sleep(rng.uniform(*CHANGE_SECONDS))


def _start_callers(
    seed: int,
    site: Site,
    session: aiohttp.ClientSession,
    history: History,
    is_over: asyncio.Event,
) -> list[asyncio.Task[None]]:
    """Start callers of the lasting routes and one that probes, for each VM."""
    slowdown = max(1.0, len(site.vms) / VMS_OF_SHORTEST_PAUSE)
    tasks = []
    for number in range((CALLERS_PER_VM + 1) * len(site.vms)):
        is_probe = number >= CALLERS_PER_VM * len(site.vms)
        caller = Caller(
            str(number),
            site.vms[number % len(site.vms)],
            random.Random(f"{seed} {number}"),
            _probed(site) if is_probe else _lasting,
            slowdown * (PROBE_PAUSE_SECONDS if is_probe else PAUSE_SECONDS),
        )
        work = caller.run(site, session, history, is_over)
        tasks.append(asyncio.create_task(work))
    return tasks


def _lasting(rng: random.Random) -> str:
    """Return one of the routes that every version has."""
    return "view" if rng.random() < 0.5 else "load"


def _probed(site: Site) -> Callable[[random.Random], str]:
    """Return a choice among routes that were just changed, or never there."""

    def choose(rng: random.Random) -> str:
        names = [name for name in site.plan.recent if name != "load"]
        if not names or rng.random() < NEVER_SHARE:
            return NEVER
        # The newest ones change from version to version.
        return rng.choice(names[-3:] if rng.random() < 0.5 else names)

    return choose


@attrs.frozen
class Caller:
    """Calls one VM again and again, on connections that are kept until their end.

    Parameters
    ----------
    name : str
        Start of the ids of its requests.
    vm : Vm
        VM that it calls.
    rng : random.Random
        Random generator.
    choose : callable
        Returns the route of the next call.
    pause_seconds : float
        Longest pause between calls.
    """

    name: str
    vm: Vm
    rng: random.Random
    choose: Callable[[random.Random], str]
    pause_seconds: float

    async def run(
        self,
        site: Site,
        session: aiohttp.ClientSession,
        history: History,
        is_over: asyncio.Event,
    ) -> None:
        """Call until the run is over, and note each call."""
        count = 0
        while not is_over.is_set():
            count += 1
            request_id = f"{self.name}-{count}"
            route = self.choose(self.rng)
            sent_at = site.log.now()
            answer = await _call(self.vm, session, route, request_id)
            status, body, is_signed = answer
            call = Call(
                request_id,
                route != "load",
                self.vm.name,
                sent_at,
                site.log.now(),
                status,
                body,
                is_signed,
                route,
            )
            history.calls.append(call)
            await asyncio.sleep(self.pause_seconds * self.rng.random())


async def _call(
    vm: Vm, session: aiohttp.ClientSession, route: str, request_id: str
) -> tuple[int, bytes, bool]:
    """Return status, body and whether the answer is signed; 0 without an answer."""
    headers = {
        "Host": "a.example",
        "Request-Id": request_id,
        "Timeout-Ms": str(TIMEOUT_MS),
    }
    method = "POST" if route == "load" else "GET"
    url = f"http://{vm.host}:7101/{route}/1"
    try:
        async with session.request(method, url, headers=headers) as answer:
            body = await answer.read()
            return answer.status, body, "Response-Signature" in answer.headers
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        logger.trace("call {} without an answer: {}", request_id, error)
        return 0, b"", False
