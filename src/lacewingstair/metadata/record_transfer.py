"""Form in which VMs pass the operators' records on: compressed, or as a difference.

A value is compressed against an earlier one that both sides hold, where there is one.
A configuration then costs about what has changed in it. The whole state is the
fallback, so that any two VMs can always bring each other up to date.
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
# The cheapest level; a higher one saves little on JSON that repeats itself.
COMPRESSION_LEVEL = 3
CACHED_VALUES = 16


@attrs.frozen
class Transfer:
    """Records that one VM passes on.

    Parameters
    ----------
    position : int
        Offset up to which the receiver is complete with them.
    records : tuple of OperatorRecord
        The records, in their order.
    """

    position: int
    records: tuple[OperatorRecord, ...]


class TransferEncoder:
    """Packs what another VM lacks.

    The receivers of one version mostly hold the same one before, so that compressed
    values are kept for the next of them.

    Parameters
    ----------
    records : OperatorRecords
        What this VM holds.
    """

    def __init__(self, records: OperatorRecords) -> None:
        self._records = records
        self._data_by_offsets: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def pack(self, after: int, remembered: Iterable[int]) -> bytes:
        """Return the records beyond an offset for a VM that remembers some values.

        Parameters
        ----------
        after : int
            Offset up to which the receiver is complete.
        remembered : iterable of int
            Offsets of values that it holds.
        """
        base = max(filter(self._is_remembered, remembered), default=NO_OFFSET)
        rows = [
            [record.key, record.offset, base, self._compressed(record, base)]
            for record in self._records.after(after)
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
    """Return the transfer in its packed form.

    Parameters
    ----------
    data : bytes
        What `TransferEncoder.pack` has made.
    records : OperatorRecords
        What this VM holds, for the values that differences refer to.
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
    """Return a value compressed by itself, or against an earlier one."""
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
