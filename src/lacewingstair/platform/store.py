"""Client of the platform's metadata store: logs that keep the newest of each key.

The store states in each answer how often it has come back from an older copy. Offsets
and this era are decoded into positions (`metadata.positions`).
"""

import asyncio
import base64
import json
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.bounded_read import read_bounded
from lacewingstair.errors import OffsetExpired, StoreConflict, StoreUnavailable
from lacewingstair.metadata.positions import (
    ERA_SPAN,
    MAX_ERA,
    era_of,
    offset_of,
    position_of,
)
from lacewingstair.sockets import keep_alive_socket
from lacewingstair.tls import verification_of

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
MESH_TOPIC = "keyed.mesh"
ONLY_PARTITION = 0
ERA_HEADER = "Store-Era"
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
_MAX_ERA_DIGITS = 10
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
        Position in the topic's log; a higher one is newer.
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
        Position from which to read on.
    end_offset : int
        Position of the next record that will be written.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int


ReadResult = Result[KeyedPage, OffsetExpired | StoreUnavailable]


@attrs.frozen
class _Answer:
    """Answer of the store; `era` is None if it states none."""

    status: int
    body: bytes
    era: int | None


class MetadataStore:
    """HTTP client of the store.

    Parameters
    ----------
    url : str
        Base URL.
    timeout_seconds : float
        Time for an answer, in addition to the wait of a read.
    on_era : callable, optional
        Called with each era that an answer states.

    Attributes
    ----------
    calls_by_operation : dict
        Calls since the start.
    bytes_by_labels : Counter
        Bytes of bodies since the start by operation and direction.
    """

    def __init__(
        self,
        url: str,
        timeout_seconds: float,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout_seconds = timeout_seconds
        self._on_era = on_era
        self._era = 0
        self._unreadable_era = ""
        self._session: ClientSession | None = None
        self.calls_by_operation: dict[str, int] = {}
        self.bytes_by_labels: Counter[tuple[str, str]] = Counter()

    async def append(
        self, topic: str, key: str, value: bytes | None, at: int | None = None
    ) -> Result[int, StoreUnavailable | StoreConflict]:
        """Write the newest value of a key; return the position of its record.

        Parameters
        ----------
        topic, key : str
            What is written.
        value : bytes or None
            None drops the key.
        at : int, optional
            Position of the end of the topic at which alone the record is written.
        """
        query: dict[str, str | int] = {"topic": topic, "part": ONLY_PARTITION}
        if at is not None:
            query["at"] = offset_of(at)
        done = await self._call("POST", "log-append", query, 0, keyed(key, value))
        if isinstance(done, Err):
            return done
        status, body = done.ok_value.status, done.ok_value.body
        era = self._stated_or_known(done.ok_value)
        if status == 412:
            end = _stated_position(body, "end_offset", "log-append", era)
            return end.and_then(lambda found: Err(StoreConflict(found)))
        if status != 200:
            return Err(_refused("log-append", status, body))
        if era < self._era or (at is not None and era != era_of(at)):
            # The record may be gone with the era in which it was written, or the
            # condition was that of another era.
            return Err(StoreUnavailable("log-append", f"written in era {era}", True))
        return _stated_position(body, "offset", "log-append", era)

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
            status, body = done.ok_value.status, done.ok_value.body
            if status != 200:
                return Err(_refused("log-newest", status, body))
            era = self._stated_or_known(done.ok_value)
            if era < self._era or (
                next_offset is not None and era != era_of(next_offset)
            ):
                # Pages of two eras do not belong together.
                return Err(StoreUnavailable("log-newest", f"answer of era {era}"))
            try:
                page = json.loads(body)
                found = [_newest_record(item, era) for item in page["items"]]
                # Pages are no snapshot: what changed since the first is read again.
                if next_offset is None:
                    next_offset = _position(era, page["end_offset"])
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
        """Return the records from a position on; wait for one if there is none yet.

        If the store has come back from an older copy since the position was reached,
        the position counts as expired.
        """
        query: dict[str, str | int] = {
            "topic": topic,
            "part": ONLY_PARTITION,
            "from": offset_of(offset),
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_seconds * 1000),
        }
        done = await self._call("GET", "log-read", query, wait_seconds)
        if isinstance(done, Err):
            return done
        status, body = done.ok_value.status, done.ok_value.body
        era = era_of(offset) if done.ok_value.era is None else done.ok_value.era
        if status == 410:
            first = _stated_position(body, "first", "log-read", era)
            return first.and_then(lambda found: Err(OffsetExpired(offset, found)))
        if status != 200 or len(body) < _OFFSETS_BYTES:
            return Err(_refused("log-read", status, body))
        if era < max(self._era, era_of(offset)):
            return Err(StoreUnavailable("log-read", f"answer of era {era}"))
        if era > era_of(offset):
            # The offset is of an era that has ended; now it means another record.
            return Err(OffsetExpired(offset, position_of(era, 0)))
        end = int.from_bytes(body[:_END_BYTES], "big")
        if end >= ERA_SPAN:
            return Err(_refused("log-read", status, body))
        end_offset = position_of(era, end)
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
    ) -> Result[_Answer, StoreUnavailable]:
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
                era = self._read_era(answer.headers.getall(ERA_HEADER, []))
                return Ok(_Answer(answer.status, received, era))
        except (
            ClientError,
            TimeoutError,
            OSError,
            asyncio.IncompleteReadError,
        ) as error:
            reason = str(error) or type(error).__name__
            return Err(StoreUnavailable(operation, reason, may_be_done=True))

    def _read_era(self, values: list[str]) -> int | None:
        """Return the era that an answer states, and pass it on."""
        if not values:
            return None
        text = ",".join(values)
        is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS
        if not is_number or not 0 < int(text) <= MAX_ERA:
            if text != self._unreadable_era:
                events.warning("store_era_unreadable", value=text[:40])
            self._unreadable_era = text
            return None
        era = int(text)
        self._era = max(self._era, era)
        self._on_era(era)
        return era

    def _stated_or_known(self, answer: _Answer) -> int:
        return self._era if answer.era is None else answer.era

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


def _newest_record(item: dict[str, Any], era: int) -> KeyedRecord:
    value = base64.b64decode(item["value"]) if item.get("value") else None
    return KeyedRecord(str(item["key"]), value, _position(era, item["offset"]))


def _position(era: int, offset: object) -> int:
    """Return the position of a stated offset; raise ValueError for an odd one."""
    found = int(offset)
    if not 0 <= found < ERA_SPAN:
        raise ValueError(f"offset {found}")
    return position_of(era, found)


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


def _stated_position(
    body: bytes, field: str, operation: str, era: int
) -> Result[int, StoreUnavailable]:
    """Return the position of an offset that a JSON answer states."""
    try:
        return Ok(_position(era, json.loads(body)[field]))
    except _DECODING_ERRORS as error:
        return Err(StoreUnavailable(operation, f"unreadable: {error!r:.100}", True))


def _refused(operation: str, status: int, body: bytes) -> StoreUnavailable:
    return StoreUnavailable(operation, f"status {status}: {body[:100]!r}")
