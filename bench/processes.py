"""Daemons as separate processes on loopback: CPU, memory, bytes and convergence.

The baseline 'each VM tails the log' runs the same daemons without contacts, so that
each is alone in its mesh and reads the log itself.
"""

import asyncio
import json
import os
import re
import statistics
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.events import parse_event
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.log_service import LogService
from lacewingstair.ticket_log.log import TICKET_STREAM

BASE_PORT = 21000
PORTS_PER_VM = 4
ZONES = tuple(
    (f"region-{zone % 4}", f"region-{zone % 4}-zone-{zone // 4}") for zone in range(9)
)
JOIN_TIMEOUT_SECONDS = 120.0
MAX_PROCESSES = 200
_CONTROL_BYTES = re.compile(r"^lacewingstair_control_bytes_total\{.*\} (\S+)$", re.M)


@attrs.define
class Vm:
    """One daemon process and where it listens and logs."""

    index: int
    directory: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """First of its ports."""
        return BASE_PORT + PORTS_PER_VM * self.index

    @property
    def operator_url(self) -> str:
        """Base URL of its operator interface."""
        return f"http://127.0.0.1:{self.port + 3}"

    @property
    def log_path(self) -> Path:
        """File that takes its log lines."""
        return self.directory / f"vm-{self.index}.log"

    def settings_text(self, log_url: str, contacts: str) -> str:
        """Return its settings as INI."""
        region, zone = ZONES[self.index % len(ZONES)]
        return (
            f"[vm]\nid = vm-{self.index}\nregion = {region}\n"
            f"availability_zone = {zone}\naddress = 127.0.0.1:{self.port}\n"
            f"contacts = {contacts}\n"
            f"[caller]\naddress = 127.0.0.1:{self.port + 1}\n"
            f"[backend_server]\naddress = 127.0.0.1:{self.port + 2}\n"
            f"[operator]\naddress = 127.0.0.1:{self.port + 3}\n"
            f"[platform]\nlog_url = {log_url}\n[log]\nlevel = info\n"
        )


@benchmarks.register("processes")
def measure_processes(
    sizes: str = "18,45,90", idle_seconds: float = 20.0, tickets: int = 20
) -> None:
    """Measure daemons at several counts, with and without the overlay."""
    counts = [int(size) for size in str(sizes).strip("()").split(",")]
    if max(counts) > MAX_PROCESSES:
        raise SystemExit(f"sizes: at most {MAX_PROCESSES} processes, got {counts}")
    rows = []
    for count in counts:
        for mode in ("overlay", "each tails"):
            row = asyncio.run(_measure(count, mode, idle_seconds, tickets))
            rows.append(row)
            print_table([row])
    save_rows("processes", rows)
    print_table(rows)


async def _measure(
    count: int, mode: str, idle_seconds: float, tickets: int
) -> dict[str, Any]:
    service = LogService(SystemClock())
    runner = web.AppRunner(service.application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", BASE_PORT - 1).start()
    service.append(TICKET_STREAM, json.dumps(_ticket(1)))
    with tempfile.TemporaryDirectory() as directory:
        vms = [Vm(index, Path(directory)) for index in range(count)]
        try:
            async with aiohttp.ClientSession() as session:
                start = time.monotonic()
                await _start(vms, mode)
                expected = count if mode == "overlay" else 1
                await _joined(session, vms, expected)
                joined = time.monotonic() - start
                row = await _observe(session, service, vms, idle_seconds, tickets)
        finally:
            await _stop(vms)
            await runner.cleanup()
    return {"mode": mode, "vms": count, "joined s": joined, **row}


async def _start(vms: list[Vm], mode: str) -> None:
    log_url = f"http://127.0.0.1:{BASE_PORT - 1}"
    contacts = ", ".join(f"127.0.0.1:{vm.port}" for vm in vms[: len(ZONES)])
    for vm in vms:
        path = vm.directory / f"vm-{vm.index}.ini"
        text = vm.settings_text(log_url, contacts if mode == "overlay" else "")
        path.write_text(text, "utf-8")
        with vm.log_path.open("wb") as log_file:
            vm.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lacewingstair.process",
                str(path),
                stderr=log_file,
            )


async def _joined(session: aiohttp.ClientSession, vms: list[Vm], expected: int) -> None:
    async with asyncio.timeout(JOIN_TIMEOUT_SECONDS):
        for vm in vms:
            while not await _has_joined(session, vm, expected):  # noqa: ASYNC110
                await asyncio.sleep(0.5)


async def _has_joined(session: aiohttp.ClientSession, vm: Vm, expected: int) -> bool:
    try:
        async with session.get(f"{vm.operator_url}/status") as response:
            status = await response.json()
    except aiohttp.ClientError:
        return False
    return status["vms"] == expected and status["ticket"] >= 1


async def _observe(
    session: aiohttp.ClientSession,
    service: LogService,
    vms: list[Vm],
    idle_seconds: float,
    tickets: int,
) -> dict[str, Any]:
    await asyncio.sleep(5.0)
    idle = await _window(session, service, vms, idle_seconds)
    published_at: dict[int, float] = {}

    async def publish() -> None:
        for number in range(2, 2 + tickets):
            service.append(TICKET_STREAM, json.dumps(_ticket(number)))
            published_at[number] = time.time()
            await asyncio.sleep(1.0)

    publishing = asyncio.create_task(publish())
    busy = await _window(session, service, vms, float(tickets) + 2.0)
    await publishing
    delays = _delays(vms, published_at)
    return {
        "idle CPU %": idle["cpu"],
        "CPU % at 1 ticket/s": busy["cpu"],
        "RSS MB": statistics.mean(_rss_mb(vm) for vm in vms),
        "idle bytes/s a VM": idle["bytes"],
        "bytes/s a VM at 1 ticket/s": busy["bytes"],
        "log reads/s idle": idle["reads"],
        "log reads/s at 1 ticket/s": busy["reads"],
        "in force everywhere, median ms": statistics.median(delays) * 1000,
        "in force everywhere, worst ms": max(delays) * 1000,
    }


async def _window(
    session: aiohttp.ClientSession, service: LogService, vms: list[Vm], seconds: float
) -> dict[str, float]:
    cpu, reads = sum(map(_cpu_seconds, vms)), service.reads
    sent = await _control_bytes(session, vms)
    start = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - start
    share = (sum(map(_cpu_seconds, vms)) - cpu) / elapsed / len(vms)
    sent_after = await _control_bytes(session, vms)
    return {
        "cpu": 100.0 * share,
        "reads": (service.reads - reads) / elapsed,
        "bytes": (sent_after - sent) / elapsed / len(vms),
    }


async def _control_bytes(session: aiohttp.ClientSession, vms: list[Vm]) -> float:
    total = 0.0
    for vm in vms:
        async with session.get(f"{vm.operator_url}/metrics") as response:
            text = await response.text()
        total += sum(float(value) for value in _CONTROL_BYTES.findall(text))
    return total


def _delays(vms: list[Vm], published_at: dict[int, float]) -> list[float]:
    last_by_number = dict.fromkeys(published_at, 0.0)
    decided_by_number = dict.fromkeys(published_at, 0)
    for vm in vms:
        for line in vm.log_path.read_text("utf-8").splitlines():
            event = parse_event(line) if "ticket_decided" in line else {}
            number = event.get("number")
            if number not in published_at:
                continue
            at = datetime.fromisoformat(event["time"]).timestamp()
            last_by_number[number] = max(last_by_number[number], at)
            decided_by_number[number] += 1
    missing = [n for n, seen in decided_by_number.items() if seen < len(vms)]
    if missing:
        raise SystemExit(f"tickets {missing} were not decided on every VM")
    return [last_by_number[n] - published_at[n] for n in published_at]


def _cpu_seconds(vm: Vm) -> float:
    fields = Path(f"/proc/{vm.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(vm: Vm) -> float:
    text = Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024


async def _stop(vms: list[Vm]) -> None:
    started = [vm for vm in vms if vm.process is not None]
    for vm in started:
        if vm.process.returncode is None:
            vm.process.kill()
    await asyncio.gather(*(vm.process.wait() for vm in started))


def _ticket(number: int) -> dict[str, Any]:
    return {
        "number": number,
        "services": {"board": {"versions": ["v1"], "current": "v1"}},
        "routes": {f"route-{number % 50}": {"service": "board", "path_prefix": "/b"}},
    }
