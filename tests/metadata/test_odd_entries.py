"""Entries of another writer among those of the VMs: no number, depth or port harms."""

import asyncio

import attrs
import msgpack
import pytest

from lacewingstair.platform.store import KeyedRecord
from lacewingstair.vm.call_messages import EntryChanged, Hello, decode, encode
from lacewingstair.vm.call_streams import connect
from lacewingstair.vm.entries import (
    ENTRY_FORMAT,
    UpstreamState,
    VmEntry,
    decode_entry,
    encode_entry,
    entry_to_values,
)
from tests.metadata.test_records import with_records
from tests.vm.test_entries import ENTRY

FIELDS = [field.name for field in attrs.fields(VmEntry)]
MAX_UINT64 = (1 << 64) - 1


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


def packed(**changes):
    """Return an entry with changed values, as another writer could leave it."""
    values = dict(zip(FIELDS, entry_to_values(ENTRY), strict=True))
    return msgpack.packb([ENTRY_FORMAT, *{**values, **changes}.values()])


def deep(depth):
    """Return nested arrays that are too deep to be packed."""
    return b"\x91" * depth + b"\x90"


def spliced(name, data):
    """Return an entry with a value in its msgpack form."""
    values = dict(zip(FIELDS, entry_to_values(ENTRY), strict=True))
    parts = [ENTRY_FORMAT, *values.values()]
    packed_parts = [msgpack.packb(part) for part in parts]
    packed_parts[1 + FIELDS.index(name)] = data
    return msgpack.Packer().pack_array_header(len(parts)) + b"".join(packed_parts)


ODD_ENTRIES = {
    **{f"nested {name}": packed(**{name: nested(200)}) for name in FIELDS},
    **{f"deeply nested {name}": packed(**{name: nested(500)}) for name in FIELDS},
    **{f"deepest {name}": spliced(name, deep(1000)) for name in FIELDS},
    "text that is no Unicode": spliced("version", b"\xa3\xed\xa0\x80"),
    "long text": packed(version="v" * 10_000),
    "nested format": msgpack.packb([nested(500)]),
    "nested without end": deep(200_000),
    "incarnation": packed(incarnation=MAX_UINT64),
    "negative incarnation": packed(incarnation=-1),
    "sequence": packed(sequence=MAX_UINT64),
    "slots": packed(slots=MAX_UINT64),
    "negative slots": packed(slots=-1),
    "bandwidth": packed(bandwidth_kbps=MAX_UINT64),
    "negative bandwidth": packed(bandwidth_kbps=-5),
    "port": packed(address="10.0.0.1:65536"),
    "large port": packed(address="10.0.0.1:" + "9" * 5000),
    "port 0": packed(address="10.0.0.1:0"),
    "negative port": packed(address="10.0.0.1:-1"),
    "no port": packed(address="10.0.0.1"),
    "port of other digits": packed(address="10.0.0.1:\u0663"),
    "no host": packed(address=":7101"),
    "host with a null": packed(address="a\0b:7101"),
    "host of a name": packed(address="a" * 70 + ":7101"),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_is_passed_over(name):
    """Guards against VMs that end, or follow the entries no more, for one odd entry."""
    data = ODD_ENTRIES[name]
    assert decode_entry(data).is_err()

    def check(records, view):
        good = attrs.evolve(ENTRY, vm_id="vm2")
        own = attrs.evolve(view.get("own"))
        records.take_entries(
            [
                KeyedRecord("vm1", data, 0),
                KeyedRecord("own", data, 1),
                KeyedRecord("vm2", encode_entry(good), 2),
            ],
            2,
        )
        assert view.get("vm1") is None and view.get("vm2") == good
        assert view.get("own") == own

    with_records(check)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_from_a_peer_is_no_message(name):
    """Guards against a stream that ends its task with an exception."""
    try:
        _, *values = msgpack.unpackb(ODD_ENTRIES[name])
    except ValueError:
        return
    for kind in (Hello, EntryChanged):
        code, _ = msgpack.unpackb(encode(kind(ENTRY)))
        assert decode([code, values]).is_err()
    assert decode([1, nested(500)]).is_err()
    assert decode([nested(500)]).is_err()


def test_the_own_entry_of_another_writer_can_be_followed():
    """Guards against an own entry whose next number cannot be encoded."""

    def check(records, view):
        own = view.get("own")
        highest = attrs.evolve(own, incarnation=1 << 52, state=UpstreamState.READY)
        for number in range(3):
            found = attrs.evolve(highest, incarnation=highest.incarnation - number)
            records.take_entries([KeyedRecord("own", encode_entry(found), number)], 3)
        followed = records._registration.entry
        assert decode_entry(encode_entry(followed)).unwrap() == followed

    with_records(check)


@pytest.mark.parametrize("port", ["65536", "-1", "x", "9" * 5000])
def test_a_port_out_of_range_is_a_failed_connect(port):
    """Guards against a task that ends with an exception for one address."""
    opened = asyncio.run(connect(f"127.0.0.1:{port}"))
    assert opened.is_err()
