"""Links without calls to a VM whose process is frozen; its kernel still answers."""

import asyncio

import pytest

from lacewingstair.runtime import SystemClock
from lacewingstair.vm import call_messages
from lacewingstair.vm.call_link import CallLink
from lacewingstair.vm.call_messages import LoadChanged
from lacewingstair.vm.entries import VmEntry
from tests.vm.test_call_link import LOAD, Peer, wait_for_messages

SILENCE_SECONDS = 8.0


@pytest.mark.parametrize("region, zone", [("r", "z"), ("r", "z2"), ("r2", "z")])
def test_a_frozen_vm_of_another_region_does_not_count_as_connected(region, zone):
    """Guards against VMs that count as live for as long as they are frozen.

    `Sidecar._live_vm_ids`, `StoreFollower._turn` and `RecordFetcher` rely on
    `is_connected`.
    """

    async def main():
        peer = Peer()
        address = await peer.start()
        link = CallLink(
            VmEntry("vm1", region, zone, address, "board", 1),
            lambda: VmEntry("own", "r", "z", "127.0.0.1:1", "board", 1),
            SystemClock(),
            on_entry=lambda found: None,
            on_hello=lambda vm_id, found: None,
            on_record_source=lambda source: None,
            on_records_part=lambda vm_id, part: None,
            on_rollout_message=lambda message: None,
        )
        link.open()
        await wait_for_messages(peer, call_messages.Hello)
        peer.streams[0].send(LoadChanged(LOAD))
        await asyncio.sleep(SILENCE_SECONDS)
        is_connected = link.is_connected
        link.close()
        peer.stop()
        assert not is_connected

    asyncio.run(main())
