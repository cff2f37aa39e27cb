"""Calls at a VM that stops responding while it runs them."""

import asyncio
import random

import attrs

from lacewingstair.caller.calls.forwarding import ForwardedCall, Forwarder
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_link import SuspendedCall
from lacewingstair.vm.entries import MeshView
from tests.caller.calls.test_forwarding import (
    IDEMPOTENT,
    LOAD,
    ClosedGate,
    Link,
    Links,
    answer,
    entry,
    refused,
    rollouts_at,
)

# Number of calls that earns one retry.
WARM_UP_CALLS = 20


class UnresponsiveLink(Link):
    """Link to a VM that serves some calls, and accepts one more without a response."""

    def __init__(self, vm_id):
        super().__init__(vm_id, answer())

    async def run(self, call):
        if len(self.calls) < WARM_UP_CALLS:
            return await super().run(call)
        self.calls.append(call)
        self.is_connected = False
        late = asyncio.get_running_loop().create_future()
        return SuspendedCall(late, late.cancel)

    def is_usable(self, now):
        return self.is_connected


def forward_with_timeout(seconds, *links, calls):
    """Return the outcomes of calls; None for a call that reaches its deadline."""

    async def main():
        clock, view = VirtualClock(), MeshView("own")
        view.merge(attrs.evolve(entry("own"), service="other"))
        for link in links:
            view.merge(entry(link.vm_id))
        forwarder = Forwarder(
            lambda: view.get("own"),
            view,
            Links({link.vm_id: link for link in links}),
            ClosedGate(),
            rollouts_at(None),
            clock,
            random.Random(1),
        )
        found = []
        for number in range(calls):
            now = clock.monotonic()
            call = ForwardedCall(
                f"q{number}",
                "r",
                IDEMPOTENT,
                "board",
                "GET",
                "/a/",
                b"",
                b"",
                now + seconds / 2,
                now + seconds,
            )
            try:
                async with asyncio.timeout(seconds):
                    found.append(await forwarder.forward(call))
            except TimeoutError:
                found.append(None)
        return found

    return run_virtual(main())


def test_a_call_at_a_silent_vm_goes_to_a_third_one_when_the_second_refuses_it():
    """Guards against a call that waits for a silent VM while another VM is idle."""
    unresponsive, full, free = (
        UnresponsiveLink("a"),
        Link("b", refused()),
        Link("c", answer()),
    )
    # Service times that make the VMs chosen in this order.
    unresponsive.load = attrs.evolve(LOAD, service_ms=1.0)
    full.load = attrs.evolve(LOAD, service_ms=100.0)
    free.load = attrs.evolve(LOAD, service_ms=400.0)
    outcomes = forward_with_timeout(
        1.2, unresponsive, full, free, calls=WARM_UP_CALLS + 1
    )
    assert len(unresponsive.calls) == WARM_UP_CALLS + 1 and len(full.calls) == 1
    assert len(free.calls) == 1
    assert outcomes[-1] is not None and outcomes[-1].body == b"ok"


def test_a_failure_response_of_a_backend_server_is_forwarded_at_the_deadline():
    """Guards against a timeout that replaces the response of a backend server."""
    unresponsive, failing = UnresponsiveLink("a"), Link("b", answer(500))
    unresponsive.load = attrs.evolve(LOAD, service_ms=1.0)
    outcomes = forward_with_timeout(1.2, unresponsive, failing, calls=WARM_UP_CALLS + 1)
    assert len(failing.calls) == 1
    assert outcomes[-1] is not None and outcomes[-1].status == 500
