"""Newest record of each key that the operators have written."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from lacewingstair.metadata.positions import era_of
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
        Position in the topic's log.
    version : int
        Version that the value states, 0 if it has none. Of two records of a key the one
        with the higher version is newer, and with equal versions the one with the
        higher offset.
    """

    key: str
    value: bytes | None
    offset: int
    version: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Higher for the newer one of two records of a key."""
        return self.version, self.offset


class OperatorRecords:
    """Holds the newest record of each key, to be sent to other VMs.

    Offsets are positions: those of a later era of the store are higher. A record that
    the store has lost with an earlier era is held until its key is written again.

    An older version can have the higher offset, as the store may execute a write late.

    Parameters
    ----------
    version_of : callable, optional
        Returns the version that a key and its value state, 0 if they have none.

    Attributes
    ----------
    position : int
        Offset up to which the newest record of each key is held, so that it can be sent
        to other VMs; `NO_OFFSET` before the first read. It stays before a record that
        cannot be used until a newer one of its key is held.
    """

    def __init__(
        self, version_of: Callable[[str, bytes | None], int] = lambda key, value: 0
    ) -> None:
        self._version_of = version_of
        self._records_by_key: dict[str, OperatorRecord] = {}
        self._values_by_offset: OrderedDict[int, bytes] = OrderedDict()
        self._unusable_by_offset: dict[int, OperatorRecord] = {}
        self._read_position = NO_OFFSET
        self.position = NO_OFFSET

    @property
    def version(self) -> int:
        """Highest version that is held, 0 if there is none."""
        records = self._records_by_key.values()
        return max((record.version for record in records), default=0)

    def take(
        self,
        records: Iterable[Record],
        position: int,
        unusable: Iterable[Record] = (),
    ) -> list[OperatorRecord]:
        """Store records; return the newer ones, ordered by offset.

        Parameters
        ----------
        records : iterable of Record
            Newest record of each key that has changed.
        position : int
            Offset up to which these and the held records are complete.
        unusable : iterable of Record
            Records that were received and are not to be held, as they cannot be used.
        """
        newer_by_key: dict[str, OperatorRecord] = {}
        for record in records:
            held = newer_by_key.get(record.key) or self._records_by_key.get(record.key)
            found = self._with_version(record)
            if not found.key or (held is not None and found.order <= held.order):
                continue
            newer_by_key[found.key] = found
        newer = sorted(newer_by_key.values(), key=lambda record: record.offset)
        for record in newer:
            self._records_by_key[record.key] = record
            self._remember(record)
        if era_of(position + 1) > era_of(self._read_position + 1):
            # The newest records were read again; what they do not hold is gone.
            self._unusable_by_offset = {}
        for record in unusable:
            # Only its order counts from here on.
            found = attrs.evolve(self._with_version(record), value=None)
            self._unusable_by_offset[record.offset] = found
        self._read_position = max(self._read_position, position)
        self._advance()
        return newer

    def after(self, offset: int, version: int = 0) -> list[OperatorRecord]:
        """Return the records that another VM lacks, ordered by offset.

        Parameters
        ----------
        offset : int
            Offset up to which the other VM has read.
        version : int
            Highest version that the other VM holds. It may be older than the one held
            here although its offset is higher.
        """
        lacking = [
            record
            for record in self._records_by_key.values()
            if record.offset > offset or record.version > version
        ]
        return sorted(lacking, key=lambda record: record.offset)

    def remembered_offsets(self) -> list[int]:
        """Return the offsets of the values that a delta can have as its base."""
        return list(self._values_by_offset)

    def remembered(self, offset: int) -> bytes | None:
        """Return the value of a recent record, or None if it is no longer held."""
        return self._values_by_offset.get(offset)

    def _with_version(self, record: Record) -> OperatorRecord:
        version = self._version_of(record.key, record.value)
        return OperatorRecord(record.key, record.value, record.offset, version)

    def _advance(self) -> None:
        """Move the position up to the first record that is needed and not held."""
        self._unusable_by_offset = {
            offset: record
            for offset, record in self._unusable_by_offset.items()
            if offset > self.position and not self._is_superseded(record)
        }
        first_unusable = min(self._unusable_by_offset, default=self._read_position + 1)
        held_to = min(self._read_position, first_unusable - 1)
        self.position = max(self.position, held_to)

    def _is_superseded(self, record: OperatorRecord) -> bool:
        held = self._records_by_key.get(record.key)
        if held is None:
            return False
        if not record.version:
            return held.offset > record.offset
        return held.order > record.order

    def _remember(self, record: OperatorRecord) -> None:
        if record.value is None or len(record.value) < LEAST_HISTORY_BYTES:
            return
        self._values_by_offset[record.offset] = record.value
        while len(self._values_by_offset) > HISTORY_VALUES:
            self._values_by_offset.popitem(last=False)
