"""Guards against a storm of which every superseded version is decoded."""

from lacewingstair.metadata import records as records_module
from lacewingstair.platform.configuration import decode_configuration, version_of
from lacewingstair.platform.store import KeyedRecord
from tests.metadata.test_records import configuration, with_records


def versions_decoded(monkeypatch):
    decoded = []

    def decode(value, previous=None):
        decoded.append(version_of(value))
        return decode_configuration(value, previous)

    monkeypatch.setattr(records_module, "decode_configuration", decode)
    return decoded


def storm(*numbers):
    return [
        KeyedRecord("config", configuration(number), offset)
        for offset, number in enumerate(numbers)
    ]


def test_only_the_newest_version_of_a_read_is_decoded(monkeypatch):
    decoded = versions_decoded(monkeypatch)

    def check(records, _):
        records.take_operator_records(storm(3, 4, 7, 9), 3)
        assert records._configurations.current.number == 9

    with_records(check)
    assert decoded == [9]


def test_a_delayed_older_version_does_not_supersede_a_newer_one(monkeypatch):
    """Guards against a late write that hides the newest version of the same read."""
    decoded = versions_decoded(monkeypatch)

    def check(records, _):
        records.take_operator_records(storm(3, 9, 4), 2)
        assert records._configurations.current.number == 9

    with_records(check)
    assert decoded == [9]


def test_versions_older_than_the_one_in_force_are_not_decoded(monkeypatch):
    """Guards against a second decoding of what another VM has passed on already."""
    decoded = versions_decoded(monkeypatch)

    def check(records, _):
        records.take_operator_records(storm(9), 0)
        records.take_operator_records(storm(9, 3, 4, 7), 3)
        assert records._configurations.current.number == 9

    with_records(check)
    assert decoded == [9]
