"""Encoding of the operators' records for transfers between VMs.

A value is sent as a delta against an earlier one that both sides hold, if there is one,
so that a configuration costs about as much as its changes. Otherwise the whole value is
compressed, so that any VM can update any other.
"""

from collections import OrderedDict
from collections.abc import Iterable

import attrs
import msgpack
import zstandard
from result import Err, Ok, Result

from lacewingstair.errors import FrameError
from lacewingstair.metadata.operator_records import (
    NO_OFFSET,
    OperatorRecord,
    OperatorRecords,
)

MAX_VALUE_BYTES = 32 << 20
# A higher level saves little on repetitive JSON.
COMPRESSION_LEVEL = 3
CACHED_VALUES = 16


@attrs.frozen
class Transfer:
    """Records that one VM sends to another.

    Parameters
    ----------
    position : int
        Offset up to which the receiver holds all records after the transfer.
    records : tuple of OperatorRecord
        The records, ordered by offset.
    """

    position: int
    records: tuple[OperatorRecord, ...]


class TransferEncoder:
    """Encodes the records that another VM lacks.

    Most receivers of a version hold the same earlier version, so compressed values are
    cached.

    Parameters
    ----------
    records : OperatorRecords
        Records that this VM holds.
    """

    def __init__(self, records: OperatorRecords) -> None:
        self._records = records
        self._data_by_offsets: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def pack(self, after: int, remembered: Iterable[int], version: int = 0) -> bytes:
        """Return the encoded records that another VM lacks.

        Parameters
        ----------
        after : int
            Offset up to which the receiver holds all records.
        remembered : iterable of int
            Offsets of values that the receiver holds.
        version : int
            Version of the configuration that the receiver holds, 0 if it has none.
        """
        base = max(filter(self._is_remembered, remembered), default=NO_OFFSET)
        rows = [
            [record.key, record.offset, base, self._compressed(record, base)]
            for record in self._records.after(after, version)
        ]
        return msgpack.packb([self._records.position, rows])

    def _is_remembered(self, offset: int) -> bool:
        return self._records.remembered(offset) is not None

    def _compressed(self, record: OperatorRecord, base: int) -> bytes | None:
        if record.value is None:
            return None
        offsets = (record.offset, base)
        found = self._data_by_offsets.get(offsets)
        if found is None:
            found = compress(record.value, self._records.remembered(base))
            self._data_by_offsets[offsets] = found
            while len(self._data_by_offsets) > CACHED_VALUES:
                self._data_by_offsets.popitem(last=False)
        return found


def unpack(data: bytes, records: OperatorRecords) -> Result[Transfer, FrameError]:
    """Decode a transfer.

    Parameters
    ----------
    data : bytes
        Result of `TransferEncoder.pack`.
    records : OperatorRecords
        Records that this VM holds, which are the bases of deltas.
    """
    try:
        position, rows = msgpack.unpackb(data)
        found = tuple(_record(row, records) for row in rows)
        return Ok(Transfer(_whole(position), found))
    except (
        ValueError,
        TypeError,
        msgpack.UnpackException,
        zstandard.ZstdError,
    ) as error:
        return Err(FrameError(f"not a transfer of records: {error!r:.100}"))


def compress(value: bytes, base: bytes | None) -> bytes:
    """Compress a value, as a delta if a base is given."""
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        source_size=len(value),
        dict_size=len(base or b""),
        write_checksum=1,
        write_content_size=1,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(base)
    )
    return compressor.compress(value)


def _decompress(data: bytes, base: bytes | None) -> bytes:
    size = zstandard.frame_content_size(data)
    if not 0 <= size <= MAX_VALUE_BYTES:
        raise ValueError(f"a value of {size} bytes, allowed are {MAX_VALUE_BYTES}")
    return zstandard.ZstdDecompressor(dict_data=_dictionary(base)).decompress(data)


def _dictionary(base: bytes | None) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


def _record(row: list, records: OperatorRecords) -> OperatorRecord:
    key, offset, base, data = row
    if type(key) is not str:
        raise ValueError(f"key {key!r:.40} is not a text")
    value = None
    if base != NO_OFFSET:
        held = records.remembered(_whole(base))
        if held is None:
            raise ValueError(f"the value of offset {base} is not held any more")
        value = None if data is None else _decompress(data, held)
    elif data is not None:
        value = _decompress(data, None)
    return OperatorRecord(key, value, _whole(offset))


def _whole(value: object) -> int:
    if type(value) is not int:
        raise ValueError(f"{value!r:.40} is not a whole number")
    return value
