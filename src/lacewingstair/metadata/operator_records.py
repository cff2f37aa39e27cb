"""Newest record of each key that the operators have written."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from lacewingstair.metadata.tail import Record

# Recent values that a delta can have as its base.
HISTORY_VALUES = 6
# Smaller values are always sent whole.
LEAST_HISTORY_BYTES = 1024
NO_OFFSET = -1


@attrs.frozen
class OperatorRecord:
    """A record of the operators' topic.

    Parameters
    ----------
    key : str
        Key within the topic.
    value : bytes or None
        None when the key was dropped.
    offset : int
        Position in the topic's log; a higher one is newer.
    """

    key: str
    value: bytes | None
    offset: int


class OperatorRecords:
    """Holds the newest record of each key, to be sent to other VMs.

    Attributes
    ----------
    position : int
        Offset up to which the newest record of each key is held; `NO_OFFSET` before
        the first read.
    """

    def __init__(self) -> None:
        self._records_by_key: dict[str, OperatorRecord] = {}
        self._values_by_offset: OrderedDict[int, bytes] = OrderedDict()
        self.position = NO_OFFSET

    def take(self, records: Iterable[Record], position: int) -> list[OperatorRecord]:
        """Store records; return the newer ones, ordered by offset.

        Parameters
        ----------
        records : iterable of Record
            Newest record of each key that has changed.
        position : int
            Offset up to which these and the held records are complete.
        """
        newer_by_key: dict[str, OperatorRecord] = {}
        for record in records:
            held = newer_by_key.get(record.key) or self._records_by_key.get(record.key)
            if not record.key or (held is not None and record.offset <= held.offset):
                continue
            newer_by_key[record.key] = OperatorRecord(
                record.key, record.value, record.offset
            )
        newer = sorted(newer_by_key.values(), key=lambda record: record.offset)
        for record in newer:
            self._records_by_key[record.key] = record
            self._remember(record)
        self.position = max(self.position, position)
        return newer

    def after(self, offset: int) -> list[OperatorRecord]:
        """Return the newest records after an offset, ordered by offset."""
        found = (r for r in self._records_by_key.values() if r.offset > offset)
        return sorted(found, key=lambda record: record.offset)

    def remembered_offsets(self) -> list[int]:
        """Return the offsets of the values that a delta can have as its base."""
        return list(self._values_by_offset)

    def remembered(self, offset: int) -> bytes | None:
        """Return the value of a recent record, or None if it is no longer held."""
        return self._values_by_offset.get(offset)

    def _remember(self, record: OperatorRecord) -> None:
        if record.value is None or len(record.value) < LEAST_HISTORY_BYTES:
            return
        self._values_by_offset[record.offset] = record.value
        while len(self._values_by_offset) > HISTORY_VALUES:
            self._values_by_offset.popitem(last=False)
