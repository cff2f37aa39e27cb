"""Fleets that start, see different links, or have a source that does not send."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.call_messages import LoadReport, RecordsPart
from tests.metadata.test_follower_fleet import (
    CONFIG_APPLY_SECONDS,
    Fleet,
    longest_seconds,
)

VMS = 18


@pytest.mark.parametrize("age_seconds", [0.3, 0.9, 1.2, 1.6, 1.95])
def test_a_version_soon_after_all_vms_have_started_is_in_force_in_time(age_seconds):
    """Guards against a start during which nobody checks the store."""

    async def main():
        async with Fleet(VMS, 2) as fleet:
            await asyncio.sleep(age_seconds)
            fleet.store.write(loses_waiting_answers=True)
            written_at = fleet.clock.monotonic()
            await asyncio.sleep(8)
            taken = [vm.taken_at.get(1, 1e9) - written_at for vm in fleet.vms]
            assert max(taken) < CONFIG_APPLY_SECONDS

    run_virtual(main())


def test_a_checker_that_does_not_send_records_delays_no_version():
    """Guards against a first VM that checks the store and is frozen for transfers."""

    async def main():
        async with Fleet(VMS, 3) as fleet:
            sent = fleet.send

            def send(sender, receiver, message):
                if sender.number or not isinstance(message, RecordsPart):
                    sent(sender, receiver, message)

            fleet.send = send
            longest = await longest_seconds(fleet, fleet.vms)
            assert longest < CONFIG_APPLY_SECONDS

    run_virtual(main())


class SomeLinks:
    """Links of one VM to some of the others."""

    def __init__(self, vm, linked):
        self._vm = vm
        self.linked = linked

    def __iter__(self):
        for other in self._vm.fleet.vms:
            if other.number in self.linked:
                reads = other.follower.operator_reading.is_reading
                load = LoadReport(reads_store=reads)
                yield SimpleNamespace(is_connected=True, entry=other.entry, load=load)


@pytest.mark.parametrize("share", [0.2, 0.5, 0.9])
@pytest.mark.parametrize("seed", [1, 2])
def test_vms_with_different_links_have_versions_in_time(share, seed):
    """Guards against ranks that differ between VMs."""

    async def main():
        fleet = Fleet(VMS, seed)
        rng = random.Random(seed)
        linked_by_vm = {}
        for vm in fleet.vms:
            others = [n for n in range(VMS) if n != vm.number]
            linked = {n for n in others if rng.random() < share}
            linked_by_vm[vm.number] = linked
            links = SomeLinks(vm, linked)
            vm.follower._links = links
            vm.follower.operator_reading._links = links
        sent = fleet.send

        def send(sender, receiver, message):
            # Messages of a VM arrive on the receiver's own link to it, and answers and
            # requests go the other way on the same link.
            is_request = type(message).__name__ == "RecordsRequest"
            owner, peer = (sender, receiver) if is_request else (receiver, sender)
            if peer.number in linked_by_vm[owner.number]:
                sent(sender, receiver, message)

        fleet.send = send
        async with fleet:
            longest = await longest_seconds(fleet, fleet.vms)
            assert longest < CONFIG_APPLY_SECONDS

    run_virtual(main())


@pytest.mark.parametrize("late_seconds", [0.9, 1.9])
def test_messages_that_arrive_in_bursts_delay_no_version(late_seconds):
    """Guards against a first VM that is alive but pauses its messages.

    It is silent for some time, then its messages of that time arrive together.
    """

    async def main():
        async with Fleet(VMS, 5) as fleet:
            sent = fleet.send
            loop = asyncio.get_running_loop()

            def send(sender, receiver, message):
                if sender.number:
                    sent(sender, receiver, message)
                    return
                wait = late_seconds - loop.time() % late_seconds
                loop.call_later(wait, receiver.hear, sender, message)

            fleet.send = send
            longest = await longest_seconds(fleet, fleet.vms[1:])
            assert longest < CONFIG_APPLY_SECONDS

    run_virtual(main())
