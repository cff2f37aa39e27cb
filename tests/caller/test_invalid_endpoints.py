"""Invalid records of other VMs in the daemon of the ticket log."""

import asyncio

import pytest

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.runtime import SystemClock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord
from lacewingstair.vm.transport import TcpTransport
from tests.caller.test_server import LoopbackProxy, get

INVALID_ADDRESSES = [
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:x",
    "127.0.0.1",
    "::",
]
INVALID_ADDRESSES += ["127.0.0.1:" + "9" * 5000, "a\0b:7101", "127.0.0.1:\u0663"]


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
def test_an_invalid_address_is_a_connect_error(address):
    """Guards against an invalid address that raises in calls or links."""

    async def main():
        pool = ConnectionPool(SystemClock())
        for _ in range(3):
            assert (await pool.acquire(address, 8)).is_err()
        assert pool._pools_by_address[address].open == 0
        assert (await TcpTransport().connect(address)).is_err()

    asyncio.run(main())


def test_an_endpoint_with_an_invalid_port_is_skipped():
    """Guards against a 500 caused by an invalid entry of another VM."""

    async def main():
        async with LoopbackProxy().running() as site:
            invalid = Endpoint("board", "v1", "127.0.0.1:65536")
            record = VmRecord("odd", "r", "z", "-", 1, endpoints=(invalid,))
            site.directory.merge(record)
            return [await site.exchange(get("/read/1")) for _ in range(12)]

    answers = asyncio.run(main())
    assert {answer[:12] for answer in answers} == {b"HTTP/1.1 200"}


@pytest.mark.parametrize("field", range(9))
def test_an_invalid_vm_record_fails_to_decode(field):
    """Guards against an invalid record that raises in a link."""
    record = VmRecord("vm1", "r", "z", "10.0.0.1:1", 1)
    code, records = messages.unpack(
        messages.encode(messages.DirectoryDelta((record,)))
    ).unwrap()
    values = list(records[0])
    nested = ()
    for _ in range(300):
        nested = (nested,)
    values[field] = nested
    assert messages.decode(messages.pack([code, [values]])).is_err()
    deepest = b"\x91" * 1000 + b"\x90"
    assert messages.decode(deepest).is_err()
    assert messages.decode(b"\x91" * 1_000_000 + b"\x90").is_err()


def test_a_directory_accepts_numbers_of_any_size():
    record = VmRecord("vm1", "r", "z", "10.0.0.1:1", (1 << 62), sequence=(1 << 64) - 1)
    directory = Directory()
    assert directory.merge(record)
    assert messages.decode(messages.encode(messages.DirectoryDelta((record,)))).is_ok()
