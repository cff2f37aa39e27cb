"""Sends the operators' records to other VMs in parts that give way to calls.

Transfers take turns on this VM's link, a part each. A request that would wait too long
for its turn is refused with an empty last part, so that the receiver asks another VM.
"""

import asyncio
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import RecordsPart, RecordsRequest
from lacewingstair.vm.call_streams import CallStream

# What waits behind one part on a link of 5 Mbit/s waits for 7 ms.
PART_BYTES = 4 << 10
# All transfers together use at most this share of the own link, and each one at most
# this share of its receiver's link.
BANDWIDTH_SHARE = 0.25
# For VMs that do not know their link.
DEFAULT_BANDWIDTH_KBPS = 100_000
# Longest wait for the first part. It is half of the time after which a receiver gives a
# silent sender up, which leaves the other half to calls on the same links.
MAX_TURN_SECONDS = 0.25


class RecordSender:
    """Answers requests for records.

    Parameters
    ----------
    encoder : TransferEncoder
        Packs the records.
    bandwidth_kbps : callable
        Returns what this VM's link carries.
    clock : Clock
        Time.
    """

    def __init__(
        self, encoder: TransferEncoder, bandwidth_kbps: Callable[[], int], clock: Clock
    ) -> None:
        self._encoder = encoder
        self._bandwidth_kbps = bandwidth_kbps
        self._clock = clock
        self._tasks_by_stream: dict[CallStream, asyncio.Task[None]] = {}
        self._link_free_at = 0.0

    def answer(
        self, stream: CallStream, request: RecordsRequest, peer_kbps: int
    ) -> None:
        """Send what a peer lacks, in the background.

        A receiver waits for one transfer at a time, so that a further request on a
        stream ends the earlier transfer on it.

        Parameters
        ----------
        stream : CallStream
            Where the request came from.
        request : RecordsRequest
            What the peer holds.
        peer_kbps : int
            What the peer's link carries; 0 when it is not known.
        """
        earlier = self._tasks_by_stream.pop(stream, None)
        if earlier is not None:
            earlier.cancel()
        if self._link_free_at - self._clock.monotonic() > MAX_TURN_SECONDS:
            events.info("records_refused", transfers=len(self._tasks_by_stream))
            stream.send(RecordsPart(request.transfer_id, True, b""))
            return
        data = self._encoder.pack(request.after, request.base_offsets)
        # The first turn is reserved here, so that the next request sees the queue.
        turn_at = self._reserve_turn(min(len(data), PART_BYTES))
        sending = self._send(
            stream,
            request.transfer_id,
            data,
            peer_kbps or DEFAULT_BANDWIDTH_KBPS,
            turn_at,
        )
        task = asyncio.create_task(sending)
        self._tasks_by_stream[stream] = task
        task.add_done_callback(lambda done: self._ended(stream, done))

    def close(self) -> None:
        """End all transfers."""
        for task in self._tasks_by_stream.values():
            task.cancel()

    async def _send(
        self,
        stream: CallStream,
        transfer_id: int,
        data: bytes,
        peer_kbps: int,
        turn_at: float,
    ) -> None:
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            if start:
                turn_at = self._reserve_turn(len(part))
            await self._sleep_until(turn_at)
            if stream.is_closing:
                return
            is_last = start + PART_BYTES >= len(data)
            stream.send(RecordsPart(transfer_id, is_last, part))
            if not is_last:
                await self._clock.sleep(_paced_seconds(len(part), peer_kbps))
                await stream.drain()

    def _reserve_turn(self, size: int) -> float:
        """Reserve the own link for a part; return when it may be sent."""
        own_kbps = self._bandwidth_kbps() or DEFAULT_BANDWIDTH_KBPS
        turn_at = max(self._clock.monotonic(), self._link_free_at)
        self._link_free_at = turn_at + _paced_seconds(size, own_kbps)
        return turn_at

    async def _sleep_until(self, time: float) -> None:
        seconds = time - self._clock.monotonic()
        if seconds > 0:
            await self._clock.sleep(seconds)

    def _ended(self, stream: CallStream, task: asyncio.Task[None]) -> None:
        if self._tasks_by_stream.get(stream) is task:
            del self._tasks_by_stream[stream]
        if not task.cancelled() and task.exception() is not None:
            events.error("records_send_crashed", error=repr(task.exception()))


def _paced_seconds(size: int, kbps: int) -> float:
    """Return how long a part takes at the share of a link that transfers use."""
    return size * 8 / (kbps * 1000 * BANDWIDTH_SHARE)
