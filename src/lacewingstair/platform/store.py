"""Client of the platform's metadata store: logs that keep the newest of each key."""

import asyncio
import base64
import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from result import Err, Ok, Result

from lacewingstair.bounded_read import read_bounded
from lacewingstair.errors import OffsetExpired, StoreConflict, StoreUnavailable
from lacewingstair.sockets import keep_alive_socket
from lacewingstair.tls import verification_of

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
MESH_TOPIC = "keyed.mesh"
ONLY_PARTITION = 0
# Holds at least one record of the largest size. A reader that lags further behind gets
# the newest values instead of all that have been replaced.
MAX_READ_KB = 300
# Reads ask for 1 MiB and pages of the newest values hold 1 MB, before their encoding.
MAX_ANSWER_BYTES = 8 << 20
# The kernel repeats a lost opening packet after 1, 3, 7 and 15 s; a new attempt finds a
# store that is back sooner.
CONNECT_TIMEOUT_SECONDS = 1.0
_LENGTH_BYTES = 4
_END_BYTES = 8
_OFFSETS_BYTES = 16
_MAX_KEY_BYTES = 255
# Everything that JSON of an unexpected form raises while it is decoded.
_DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


@attrs.frozen
class KeyedRecord:
    """Newest value of a key.

    Parameters
    ----------
    key : str
        Name within the topic.
    value : bytes or None
        None when the key was dropped.
    offset : int
        Place in the topic's log; a higher one is newer.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class KeyedPage:
    """Records of a topic.

    Parameters
    ----------
    records : tuple of KeyedRecord
        What was read.
    next_offset : int
        Offset from which to read on.
    end_offset : int
        Offset of the next record that will be written.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int


ReadResult = Result[KeyedPage, OffsetExpired | StoreUnavailable]


class MetadataStore:
    """HTTP client of the store.

    Parameters
    ----------
    url : str
        Base URL.
    timeout_seconds : float
        Time for an answer, in addition to the wait of a read.

    Attributes
    ----------
    calls_by_operation : dict
        Calls since the start.
    bytes_by_labels : Counter
        Bytes of bodies since the start by operation and direction.
    """

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_seconds = timeout_seconds
        self._session: ClientSession | None = None
        self.calls_by_operation: dict[str, int] = {}
        self.bytes_by_labels: Counter[tuple[str, str]] = Counter()

    async def append(
        self, topic: str, key: str, value: bytes | None, at: int | None = None
    ) -> Result[int, StoreUnavailable | StoreConflict]:
        """Write the newest value of a key; return the offset of its record.

        Parameters
        ----------
        topic, key : str
            What is written.
        value : bytes or None
            None drops the key.
        at : int, optional
            End of the topic at which alone the record is written.
        """
        query: dict[str, str | int] = {"topic": topic, "part": ONLY_PARTITION}
        if at is not None:
            query["at"] = at
        done = await self._call("POST", "log-append", query, 0, keyed(key, value))
        if isinstance(done, Err):
            return done
        status, body = done.ok_value
        if status == 412:
            end = _whole_number(body, "end_offset", "log-append")
            return end.and_then(lambda found: Err(StoreConflict(found)))
        if status != 200:
            return Err(_refused("log-append", status, body))
        return _whole_number(body, "offset", "log-append")

    async def newest(self, topic: str) -> Result[KeyedPage, StoreUnavailable]:
        """Return the newest record of each key."""
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        after: str | None = None
        while True:
            query: dict[str, str | int] = {"topic": topic, "part": ONLY_PARTITION}
            if after is not None:
                query["after"] = after
            done = await self._call("GET", "log-newest", query, 0)
            if isinstance(done, Err):
                return done
            status, body = done.ok_value
            if status != 200:
                return Err(_refused("log-newest", status, body))
            try:
                page = json.loads(body)
                found = [_newest_record(item) for item in page["items"]]
                # Pages are no snapshot: what changed since the first is read again.
                if next_offset is None:
                    next_offset = int(page["end_offset"])
                has_more = bool(page.get("has_more"))
            except _DECODING_ERRORS as error:
                return Err(
                    StoreUnavailable("log-newest", f"unreadable: {error!r:.100}")
                )
            records.extend(found)
            if not has_more or not found:
                return Ok(KeyedPage(tuple(records), next_offset, next_offset))
            after = found[-1].key

    async def read(self, topic: str, offset: int, wait_seconds: float) -> ReadResult:
        """Return the records from an offset on; wait for one if there is none yet."""
        query: dict[str, str | int] = {
            "topic": topic,
            "part": ONLY_PARTITION,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_seconds * 1000),
        }
        done = await self._call("GET", "log-read", query, wait_seconds)
        if isinstance(done, Err):
            return done
        status, body = done.ok_value
        if status == 410:
            first = _whole_number(body, "first", "log-read")
            return first.and_then(lambda found: Err(OffsetExpired(offset, found)))
        if status != 200 or len(body) < _OFFSETS_BYTES:
            return Err(_refused("log-read", status, body))
        end_offset = int.from_bytes(body[:_END_BYTES], "big")
        records = tuple(_records(body[_OFFSETS_BYTES:], offset))
        return Ok(KeyedPage(records, offset + len(records), end_offset))

    async def close(self) -> None:
        """Release the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        operation: str,
        query: dict[str, str | int],
        wait_seconds: float,
        body: bytes | None = None,
    ) -> Result[tuple[int, bytes], StoreUnavailable]:
        calls = self.calls_by_operation
        calls[operation] = calls.get(operation, 0) + 1
        self.bytes_by_labels[operation, "sent"] += len(body or b"")
        timeout = ClientTimeout(
            total=wait_seconds + self._timeout_seconds,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._open_session().request(
                method,
                f"{self._url}/{operation}",
                params=query,
                data=body,
                timeout=timeout,
            ) as answer:
                received = await read_bounded(answer, MAX_ANSWER_BYTES)
                self.bytes_by_labels[operation, "received"] += len(received)
                return Ok((answer.status, received))
        except (
            ClientError,
            TimeoutError,
            OSError,
            asyncio.IncompleteReadError,
        ) as error:
            reason = str(error) or type(error).__name__
            return Err(StoreUnavailable(operation, reason, may_be_done=True))

    def _open_session(self) -> ClientSession:
        if self._session is None:
            # A connection that was kept open may have gone silent meanwhile.
            connector = TCPConnector(
                force_close=True,
                socket_factory=lambda info: keep_alive_socket(
                    info[0], info[1], info[2]
                ),
                ssl=verification_of(self._url),
            )
            self._session = ClientSession(connector=connector)
        return self._session


def keyed(key: str, value: bytes | None) -> bytes:
    """Return one record of a keyed topic as it is appended."""
    name = key.encode()
    if len(name) > _MAX_KEY_BYTES:
        raise ValueError(f"key {key!r:.60} has {len(name)} bytes, allowed are 255")
    content = bytes([len(name)]) + name + (value or b"")
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content


def _newest_record(item: dict[str, Any]) -> KeyedRecord:
    value = base64.b64decode(item["value"]) if item.get("value") else None
    return KeyedRecord(str(item["key"]), value, int(item["offset"]))


def _contents(data: bytes) -> Iterator[bytes]:
    position = 0
    while position + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[position : position + _LENGTH_BYTES], "big")
        position += _LENGTH_BYTES
        if position + length > len(data):
            return
        yield data[position : position + length]
        position += length


def _records(data: bytes, offset: int) -> Iterator[KeyedRecord]:
    """Yield the records; one that cannot be read has an empty key and no value."""
    for index, content in enumerate(_contents(data)):
        size = content[0] if content else 0
        key = content[1 : 1 + size].decode("utf-8", "replace")
        yield KeyedRecord(key, content[1 + size :] or None, offset + index)


def _whole_number(
    body: bytes, field: str, operation: str
) -> Result[int, StoreUnavailable]:
    """Return a whole number of a JSON answer."""
    try:
        return Ok(int(json.loads(body)[field]))
    except _DECODING_ERRORS as error:
        return Err(StoreUnavailable(operation, f"unreadable: {error!r:.100}", True))


def _refused(operation: str, status: int, body: bytes) -> StoreUnavailable:
    return StoreUnavailable(operation, f"status {status}: {body[:100]!r}")
