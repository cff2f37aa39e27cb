"""Pipelined calls at whole VMs."""

import asyncio
import time

from tests.test_sidecar import with_mesh
from tests.test_sidecar_stop import all_runs, open_call

CALL_SECONDS = 0.4


async def statuses_of(reader, count):
    """Return the statuses of the next answers."""
    found = []
    async with asyncio.timeout(10):
        for _ in range(count):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
            await reader.readexactly(length)
            found.append(int(head.split()[1]))
    return found


def test_pipelined_calls_take_the_time_of_one():
    """Guards against late answers of callers that send calls together."""

    async def check(_, vms, session):
        vms[0].upstream.seconds = vms[1].upstream.seconds = CALL_SECONDS
        started = time.monotonic()
        reader, writer = await open_call(vms[2], "q", 900, count=3)
        assert await statuses_of(reader, 3) == [200] * 3
        assert time.monotonic() - started < 2 * CALL_SECONDS
        writer.close()

    with_mesh(check)


def test_a_call_is_not_run_for_longer_than_its_caller_waits():
    """Guards against a deadline that counts from the turn of a pipelined call."""

    async def check(_, vms, session):
        vms[0].upstream.seconds = vms[1].upstream.seconds = CALL_SECONDS
        reader, writer = await asyncio.open_connection(vms[2].host, 7101)
        for number in range(2):
            writer.write(
                f"POST /load/{number} HTTP/1.1\r\nHost: a.example\r\n"
                f"Request-Id: q{number}\r\nTimeout-Ms: 900\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
        assert await statuses_of(reader, 2) == [200] * 2
        writer.close()
        assert sorted(all_runs(vms)) == ["q0", "q1"]
        heads = [head for vm in vms for head in vm.upstream.heads]
        left_by_id = {
            fields["Request-Id"]: int(fields["Timeout-Ms"]) for _, fields, _ in heads
        }
        assert left_by_id["q1"] <= 900 - 1000 * CALL_SECONDS

    with_mesh(check)
