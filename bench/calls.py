"""Latency and CPU that a call costs on loopback sockets, against simpler hops."""

import asyncio
import gc
import json
import multiprocessing
import random
import statistics
from pathlib import Path

import aiohttp
import uvloop
from aiohttp import web

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair import events
from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.caller.server import CallServer
from lacewingstair.garbage_collection import tune_garbage_collection
from lacewingstair.runtime import SystemClock
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord

BACKEND_PORT = 18710
HOP_PORTS = {"direct": BACKEND_PORT, "aiohttp hop": 18711, "lacewingstair": 18712}
BODY = b"x" * 256
REQUEST = (
    b"GET /read/today HTTP/1.1\r\nHost: board\r\nUser-Agent: bench\r\n"
    b"Accept: */*\r\nLacewingstair-Customer: farm-12\r\n\r\n"
)
TICKET = {
    "number": 1,
    "services": {"board": {"versions": ["v1"], "current": "v1"}},
    "routes": {
        f"route-{i}": {"service": "board", "path_prefix": f"/other-{i}"}
        for i in range(20)
    }
    | {"read": {"service": "board", "path_prefix": "/read"}},
}


async def _listen(server: web.Server, port: int) -> None:
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


async def _backend() -> None:
    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(body=BODY)

    await _listen(web.Server(answer, access_log=None), BACKEND_PORT)


async def _aiohttp_hop() -> None:
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def forward(request: web.BaseRequest) -> web.StreamResponse:
            url = f"http://127.0.0.1:{BACKEND_PORT}{request.raw_path}"
            async with session.request(request.method, url) as answer:
                response = web.StreamResponse(status=answer.status)
                response.content_length = answer.content_length
                await response.prepare(request)
                async for chunk in answer.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
                return response

        server = web.Server(forward, access_log=None)
        await _listen(server, HOP_PORTS["aiohttp hop"])


async def _lacewingstair() -> None:
    events.configure("warning")
    store = StateStore()
    store.apply([TicketRecord(0, json.dumps(TICKET))])
    directory = Directory()
    endpoint = Endpoint("board", "v1", f"127.0.0.1:{BACKEND_PORT}", slots=20)
    directory.merge(VmRecord("a", "r", "z", "-", 1, endpoints=(endpoint,)))
    rng = random.Random(1)
    # The default share of a daemon.
    decisions = events.DecisionLog(0.01, rng)
    calls = CallServer(store, directory, rng, decisions=decisions)
    tune_garbage_collection()
    await _listen(calls.http_server(), HOP_PORTS["lacewingstair"])


def _run(target) -> None:
    uvloop.run(target())


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process so far."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def _load(
    port: int, rate: float, seconds: float, seed: int
) -> tuple[list[float], int]:
    """Return latencies of an open-loop load, and how many calls were not answered.

    A latency counts from the time at which its call was due.
    """
    clock = SystemClock()
    pool = ConnectionPool(clock)
    rng = random.Random(seed)
    latencies: list[float] = []
    address = f"127.0.0.1:{port}"

    async def one(due: float) -> None:
        connection = (await pool.acquire(address, 8000)).unwrap()
        connection.begin_call(is_head=False)
        connection.write(REQUEST)
        message, payload = await connection.read_response_head()
        body = await payload.read()
        if message.code == 200 and body == BODY:
            latencies.append(clock.monotonic() - due)
        pool.release(address, connection)

    tasks: set[asyncio.Task[None]] = set()
    due = clock.monotonic()
    end = due + seconds
    sent = 0
    while due < end:
        sent += 1
        due += rng.expovariate(rate)
        await clock.sleep(max(0.0, due - clock.monotonic()))
        task = asyncio.create_task(one(due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    pool.close()
    return latencies, sent - len(latencies)


def percentile_ms(values: list[float], percent: int) -> float:
    """Return a percentile of seconds, in milliseconds."""
    return 1000 * statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


@benchmarks.register("calls-latency")
def calls_latency(
    seconds: float = 5.0, rounds: int = 3, rates: tuple[int, ...] = (50, 300)
) -> None:
    """Measure the latency added and the CPU of a hop at several rates.

    The kinds of hop take turns in each round, so that noise of the machine meets all.
    """
    context = multiprocessing.get_context("spawn")
    targets = (_backend, _aiohttp_hop, _lacewingstair)
    processes = [
        context.Process(target=_run, args=(target,), daemon=True) for target in targets
    ]
    for process in processes:
        process.start()
    pids = dict(zip(HOP_PORTS, (process.pid for process in processes), strict=True))
    try:
        rows = uvloop.run(_measure(pids, seconds, rounds, rates))
    finally:
        for process in processes:
            process.terminate()
    save_rows("calls-latency", rows)
    print_table(rows)


async def _measure(
    pids: dict[str, int], seconds: float, rounds: int, rates: tuple[int, ...]
) -> list[dict[str, object]]:
    await asyncio.sleep(2.0)
    gc.freeze()
    for port in HOP_PORTS.values():
        await _load(port, 200, 1.0, 0)
    rows: list[dict[str, object]] = []
    for rate in rates:
        latencies: dict[str, list[float]] = {hop: [] for hop in HOP_PORTS}
        cpu = dict.fromkeys(HOP_PORTS, 0.0)
        failed = dict.fromkeys(HOP_PORTS, 0)
        for seed in range(rounds):
            for hop, port in HOP_PORTS.items():
                before = cpu_seconds(pids[hop])
                answered, missing = await _load(port, rate, seconds, seed)
                latencies[hop] += answered
                failed[hop] += missing
                cpu[hop] += cpu_seconds(pids[hop]) - before
        rows += [
            {**_row(hop, rate, latencies, cpu), "not answered": failed[hop]}
            for hop in HOP_PORTS
        ]
    return rows


def _row(
    hop: str, rate: int, latencies: dict[str, list[float]], cpu: dict[str, float]
) -> dict[str, object]:
    own, direct = latencies[hop], latencies["direct"]
    added = {
        f"p{p} added ms": percentile_ms(own, p) - percentile_ms(direct, p)
        for p in (50, 99)
    }
    return {
        "hop": hop,
        "calls/s": rate,
        "calls": len(own),
        "p50 ms": percentile_ms(own, 50),
        "p99 ms": percentile_ms(own, 99),
        **added,
        "CPU ms/call": 1000 * cpu[hop] / len(own),
    }
