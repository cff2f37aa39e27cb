"""Guards against VMs that state that they hold records which they cannot hand out."""

import json

import pytest

from lacewingstair.metadata import records as records_module
from lacewingstair.metadata.operator_records import OperatorRecord, OperatorRecords
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.platform.rollouts import KEY_PREFIX
from lacewingstair.platform.store import KeyedRecord
from tests.metadata.test_records import configuration, with_records
from tests.platform.test_configuration import document


def unusable_configuration(number):
    found = document(number)
    found["limits"] = None
    return json.dumps(found).encode()


def order(service, offset):
    value = {"service": service, "target_version": "v2", "duration": "9s"}
    return KeyedRecord(KEY_PREFIX + service, json.dumps(value).encode(), offset)


def config(value, offset):
    return KeyedRecord("config", value, offset)


def read(records, *found):
    records.take_operator_records(found, found[-1].offset)


def held(records):
    return records.operator.position, records.operator.version


@pytest.mark.parametrize("value", [unusable_configuration(4), b"[]", b"\xff"])
def test_the_position_stays_before_a_document_that_cannot_be_decoded(value):
    def check(records, _):
        read(records, config(configuration(3), 5))
        read(records, order("board", 6), config(value, 7))
        assert held(records) == (6, 3)
        read(records, order("book", 8))
        assert held(records) == (6, 3)
        assert records._rollouts.get("book") is not None
        read(records, config(configuration(5), 9))
        assert held(records) == (9, 5)

    with_records(check)


def test_a_version_that_is_superseded_need_not_be_decoded():
    def check(records, _):
        read(records, config(unusable_configuration(4), 5), config(configuration(6), 6))
        assert held(records) == (6, 6)
        read(records, config(unusable_configuration(5), 7))
        assert held(records) == (7, 6)

    with_records(check)


def test_a_lower_version_written_later_does_not_hide_one_that_cannot_be_decoded():
    def check(records, _):
        read(records, config(configuration(3), 5))
        read(records, config(unusable_configuration(9), 6), config(configuration(7), 7))
        assert held(records) == (5, 7)

    with_records(check)


def test_a_transfer_with_an_unusable_record_is_not_complete():
    """Guards against a VM that passes on the position of a version it never held."""
    sender = OperatorRecords()
    usable = OperatorRecord("config", configuration(3), 5)
    sender.take([usable], 5)
    sender.take([OperatorRecord("config", unusable_configuration(4), 6)], 6)
    data = TransferEncoder(sender).pack(-1, [])

    def check(records, _):
        read(records, config(configuration(3), 5))
        assert not records.take_transfer(data, "vm2")
        assert held(records) == (5, 3)
        sender.take([OperatorRecord("config", configuration(5), 7)], 7)
        assert records.take_transfer(TransferEncoder(sender).pack(5, []), "vm2")
        assert held(records) == (7, 5)

    with_records(check)


def test_an_order_that_cannot_be_applied_leaves_the_others(monkeypatch):
    """Guards against orders that are held, and not applied when they are read again."""
    errors = []
    monkeypatch.setattr(
        records_module.events, "error", lambda event, **_: errors.append(event)
    )

    def check(records, _):
        apply_order = records._rollouts.apply_order

        def fail_for_board(order):
            if order.service == "board":
                raise RuntimeError("cannot be applied")
            apply_order(order)

        monkeypatch.setattr(records._rollouts, "apply_order", fail_for_board)
        read(records, order("board", 1), order("book", 2))
        assert records._rollouts.get("book") is not None
        assert errors == ["rollout_order_crashed"]

    with_records(check)
