"""Sends the operators' records to other VMs in paced parts that do not delay calls.

Concurrent transfers share this VM's link, one part at a time. A request that would be
queued for too long is refused with an empty last part, so that the receiver requests
the records from another VM.
"""

import asyncio
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import RecordsPart, RecordsRequest
from lacewingstair.vm.call_streams import CallStream

# A message queued behind one part on a link of 5 Mbit/s is delayed by 7 ms.
PART_BYTES = 4 << 10
# Limit on the share of this VM's link that all transfers together use, and on the share
# of its receiver's link that each transfer uses.
BANDWIDTH_SHARE = 0.25
# Used when the bandwidth of a link is unknown.
DEFAULT_BANDWIDTH_KBPS = 100_000
# Longest delay of the first part of an accepted transfer. It is half of the receiver's
# timeout, which leaves the other half for delays by calls on the same links.
MAX_QUEUE_SECONDS = 0.25


class RecordSender:
    """Responds to requests for records.

    Parameters
    ----------
    encoder : TransferEncoder
        Encodes the records that a receiver lacks.
    bandwidth_kbps : callable
        Returns the bandwidth of this VM's link; 0 if it is unknown.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, encoder: TransferEncoder, bandwidth_kbps: Callable[[], int], clock: Clock
    ) -> None:
        self._encoder = encoder
        self._bandwidth_kbps = bandwidth_kbps
        self._clock = clock
        self._tasks_by_stream: dict[CallStream, asyncio.Task[None]] = {}
        self._link_available_at = 0.0

    def answer(
        self, stream: CallStream, request: RecordsRequest, peer_kbps: int
    ) -> None:
        """Send the records that a peer lacks in a background task.

        A receiver expects one transfer at a time, so that a new request on a stream
        cancels the earlier transfer on it.

        Parameters
        ----------
        stream : CallStream
            Stream that the request arrived on.
        request : RecordsRequest
            Request of the peer, which states the records that it holds.
        peer_kbps : int
            Bandwidth of the peer's link; 0 if it is unknown.
        """
        earlier_task = self._tasks_by_stream.pop(stream, None)
        if earlier_task is not None:
            earlier_task.cancel()
        if self._link_available_at - self._clock.monotonic() > MAX_QUEUE_SECONDS:
            events.info("records_refused", transfers=len(self._tasks_by_stream))
            stream.send(RecordsPart(request.transfer_id, True, b""))
            return
        data = self._encoder.pack(
            request.after, request.base_offsets, request.configuration_number
        )
        # Reserve the link for the first part before the task starts, so that the next
        # request is checked against the longer queue.
        send_at = self._reserve_link(min(len(data), PART_BYTES))
        coroutine = self._send_parts(
            stream,
            request.transfer_id,
            data,
            peer_kbps or DEFAULT_BANDWIDTH_KBPS,
            send_at,
        )
        task = asyncio.create_task(coroutine)
        self._tasks_by_stream[stream] = task
        task.add_done_callback(lambda done: self._on_task_done(stream, done))

    def close(self) -> None:
        """Cancel all transfers."""
        for task in self._tasks_by_stream.values():
            task.cancel()

    async def _send_parts(
        self,
        stream: CallStream,
        transfer_id: int,
        data: bytes,
        peer_kbps: int,
        send_at: float,
    ) -> None:
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            if start:
                send_at = self._reserve_link(len(part))
            await self._sleep_until(send_at)
            if stream.is_closing:
                return
            is_last = start + PART_BYTES >= len(data)
            stream.send(RecordsPart(transfer_id, is_last, part))
            if not is_last:
                await self._clock.sleep(_paced_send_seconds(len(part), peer_kbps))
                await stream.drain()

    def _reserve_link(self, size: int) -> float:
        """Reserve this VM's link for a part; return when it may be sent."""
        own_kbps = self._bandwidth_kbps() or DEFAULT_BANDWIDTH_KBPS
        send_at = max(self._clock.monotonic(), self._link_available_at)
        self._link_available_at = send_at + _paced_send_seconds(size, own_kbps)
        return send_at

    async def _sleep_until(self, time: float) -> None:
        seconds = time - self._clock.monotonic()
        if seconds > 0:
            await self._clock.sleep(seconds)

    def _on_task_done(self, stream: CallStream, task: asyncio.Task[None]) -> None:
        if self._tasks_by_stream.get(stream) is task:
            del self._tasks_by_stream[stream]
        if not task.cancelled() and task.exception() is not None:
            events.error("records_send_crashed", error=repr(task.exception()))


def _paced_send_seconds(size: int, kbps: int) -> float:
    """Return how long a part takes at the bandwidth share of transfers."""
    return size * 8 / (kbps * 1000 * BANDWIDTH_SHARE)
