"""Sends the operators' records to other VMs in parts that give way to calls."""

import asyncio
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import RecordsPart, RecordsRequest
from lacewingstair.vm.call_streams import CallStream

# What waits behind one part on a link of 5 Mbit/s waits for 7 ms.
PART_BYTES = 4 << 10
# Transfers use at most this share of the narrower of the two links.
BANDWIDTH_SHARE = 0.25
# For VMs that do not know their link.
DEFAULT_BANDWIDTH_KBPS = 100_000


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
        data = self._encoder.pack(request.after, request.remembered)
        if len(data) <= PART_BYTES:
            stream.send(RecordsPart(request.transfer_id, True, data))
            return
        own_kbps = self._bandwidth_kbps() or DEFAULT_BANDWIDTH_KBPS
        kbps = min(own_kbps, peer_kbps or DEFAULT_BANDWIDTH_KBPS)
        sending = self._send(stream, request.transfer_id, data, kbps)
        task = asyncio.create_task(sending)
        self._tasks_by_stream[stream] = task
        task.add_done_callback(lambda done: self._ended(stream, done))

    def close(self) -> None:
        """End all transfers."""
        for task in self._tasks_by_stream.values():
            task.cancel()

    async def _send(
        self, stream: CallStream, transfer_id: int, data: bytes, kbps: int
    ) -> None:
        pause_seconds = PART_BYTES * 8 / (kbps * 1000 * BANDWIDTH_SHARE)
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            is_last = start + PART_BYTES >= len(data)
            if stream.is_closing:
                return
            stream.send(RecordsPart(transfer_id, is_last, part))
            if not is_last:
                await self._clock.sleep(pause_seconds)
                await stream.sent()

    def _ended(self, stream: CallStream, task: asyncio.Task[None]) -> None:
        if self._tasks_by_stream.get(stream) is task:
            del self._tasks_by_stream[stream]
        if not task.cancelled() and task.exception() is not None:
            events.error("records_send_crashed", error=repr(task.exception()))
