import asyncio

import attrs

from lacewingstair.vm import call_link, call_messages
from lacewingstair.vm.call_messages import LoadChanged
from tests.vm.test_call_link import LOAD, wait_for_messages, with_link


def test_a_vm_that_goes_silent_without_calls_no_longer_counts_as_a_reader(monkeypatch):
    """Guards against a region that relies on a frozen reader of the store.

    Most VMs have no calls in flight at the readers of their region, so that checks for
    silence that depend on calls in flight do not notice it.
    """
    monkeypatch.setattr(call_link, "PING_AFTER_SECONDS", 0.02)
    monkeypatch.setattr(call_link, "PONG_TIMEOUT_SECONDS", 0.1)

    async def check(link, peer, _):
        link.open()
        await wait_for_messages(peer, call_messages.Hello)
        peer.streams[0].send(LoadChanged(attrs.evolve(LOAD, reads_store=True)))
        async with asyncio.timeout(2):
            while not link.load.reads_store:  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.005)
        await asyncio.sleep(1.0)
        assert not (link.is_connected and link.load.reads_store)

    with_link(check)
