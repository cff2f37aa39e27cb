"""Kept connections to the backend server that have gone silent; new ones work."""

import asyncio

from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_messages import CallAnswer
from soak.proxy import FaultProxy
from tests.backend_server.harness import identity, request
from tests.platform.upstream_standin import UpstreamStandIn

CONNECTIONS = 6


class SilencingProxy(FaultProxy):
    """Makes all connections that are open now silent for good."""

    def __init__(self, target):
        super().__init__(target)
        self._lost = []

    async def _pass_on(self, reader, writer, lost, *, is_request):
        self._lost.append(lost)
        await super()._pass_on(reader, writer, lost, is_request=is_request)

    def silence_open_connections(self):
        for lost in self._lost:
            lost.set()


def test_silent_kept_connections_cost_one_call():
    """Guards against calls that are lost one after the other on old connections.

    After a call without an answer, the other idle connections are as likely silent.
    """

    async def main():
        upstream = UpstreamStandIn()
        await upstream.start()
        between = SilencingProxy(upstream.address)
        await between.start()
        proxy = AdmissionProxy("board", between.address, SystemClock())
        proxy.set_identity(identity(slots=CONNECTIONS))
        upstream.seconds = 0.1
        calls = [proxy.run(request(f"w{n}", 2000.0)) for n in range(CONNECTIONS)]
        warm = await asyncio.gather(*calls)
        assert all(isinstance(outcome, CallAnswer) for outcome in warm)
        between.silence_open_connections()
        outcomes = []
        for number in range(CONNECTIONS):
            outcomes.append(await proxy.run(request(f"c{number}", 300.0)))
        lost = sum(not isinstance(outcome, CallAnswer) for outcome in outcomes)
        proxy.close()
        await between.stop()
        upstream.stop()
        assert lost <= 1

    asyncio.run(main())
