"""Records of other writers, which must not affect the records beside them."""

import json
import random

from lacewingstair.metadata.configuration import ConfigurationStore
from lacewingstair.metadata.records import StoreRecords
from lacewingstair.platform.store import KeyedRecord
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.entries import MeshView, encode_entry
from lacewingstair.vm.registration import Registration
from tests.platform.test_configuration import document
from tests.staged_rollouts.test_coordinator import Mesh
from tests.vm.test_entries import ENTRY


def with_records(check):
    async def main():
        view = MeshView("own")
        own = ENTRY.__class__("own", "r", "z", "10.0.0.9:1", "book", 1)
        registration = Registration(own, view, None, VirtualClock(), random.Random(1))
        configurations = ConfigurationStore()
        rollouts = Mesh("a").by_vm_id["a"]
        check(StoreRecords(configurations, rollouts, registration, view), view)

    run_virtual(main())


def configuration(number):
    return json.dumps(document(number)).encode()


def test_unreadable_records_of_operators_leave_the_others():
    def check(records, _):
        records.take_operator_records(
            [
                KeyedRecord("config", b"\xff", 0),
                KeyedRecord("rollout/board", b"{}", 1),
                KeyedRecord("unknown", b"1", 2),
                KeyedRecord("config", configuration(3), 3),
                KeyedRecord("config", None, 4),
                KeyedRecord("config", b"[]", 5),
            ],
            5,
        )
        assert records._configurations.current.number == 3
        assert records._rollouts.get("board") is None

    with_records(check)


def test_unreadable_entries_leave_the_others():
    def check(records, view):
        records.take_entries(
            [
                KeyedRecord("vm1", encode_entry(ENTRY), 0),
                KeyedRecord("vm2", b"\xc1", 1),
                KeyedRecord("vm3", encode_entry(ENTRY), 2),
                KeyedRecord("", b"", 3),
            ],
            3,
        )
        assert view.get("vm1") == ENTRY
        assert view.get("vm2") is None and view.get("vm3") is None
        records.take_entries([KeyedRecord("vm1", None, 4)], 4)
        assert view.get("vm1") is None

    with_records(check)


def test_the_own_entry_is_not_taken_from_the_store():
    def check(records, view):
        before = view.get("own")
        records.take_entries([KeyedRecord("own", None, 0)], 0)
        assert view.get("own") == before

    with_records(check)
