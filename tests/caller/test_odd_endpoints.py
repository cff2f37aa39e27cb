"""Odd records of other VMs in the daemon of the ticket log."""

import asyncio

import pytest

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.runtime import SystemClock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord
from lacewingstair.vm.transport import TcpTransport
from tests.caller.test_server import Site, get

ODD_ADDRESSES = ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", "::"]
ODD_ADDRESSES += ["127.0.0.1:" + "9" * 5000, "a\0b:7101", "127.0.0.1:\u0663"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_odd_address_is_a_failed_connect(address):
    """Guards against calls and links that end with an exception for one address."""

    async def main():
        pool = ConnectionPool(SystemClock())
        for _ in range(3):
            assert (await pool.acquire(address, 8)).is_err()
        assert pool._pools_by_address[address].open == 0
        assert (await TcpTransport().connect(address)).is_err()

    asyncio.run(main())


def test_a_call_passes_by_an_endpoint_with_an_odd_port():
    """Guards against callers that get a 500 for the entry of another writer."""

    async def main():
        async with Site().running() as site:
            odd = Endpoint("board", "v1", "127.0.0.1:65536")
            record = VmRecord("odd", "r", "z", "-", 1, endpoints=(odd,))
            site.directory.merge(record)
            return [await site.exchange(get("/read/1")) for _ in range(12)]

    answers = asyncio.run(main())
    assert {answer[:12] for answer in answers} == {b"HTTP/1.1 200"}


@pytest.mark.parametrize("field", range(9))
def test_an_odd_record_of_a_vm_is_no_message(field):
    """Guards against links that end with an exception for one record."""
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


def test_a_directory_takes_numbers_of_any_size():
    record = VmRecord("vm1", "r", "z", "10.0.0.1:1", (1 << 62), sequence=(1 << 64) - 1)
    directory = Directory()
    assert directory.merge(record)
    assert messages.decode(messages.encode(messages.DirectoryDelta((record,)))).is_ok()
