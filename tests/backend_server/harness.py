import asyncio

from lacewingstair.backend_server.admission_proxy import (
    AdmissionProxy,
    UpstreamIdentity,
)
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_messages import CallRequest
from lacewingstair.vm.entries import UpstreamState
from tests.platform.upstream_standin import UpstreamStandIn


def request(request_id="a", remaining_ms=1000.0, **values):
    call = {
        "call_id": 1,
        "request_id": request_id,
        "service": "board",
        "version": "",
        "route": "r",
        "method": "GET",
        "target": "/x",
        "header_lines": f"Request-Id: {request_id}\r\n".encode(),
        "body": b"",
        "remaining_ms": remaining_ms,
        "target_ms": remaining_ms,
        "priority": 1,
        "allows_repeat": False,
    }
    return CallRequest(**{**call, **values})


def identity(upstream_id="i-1", slots=2, state=UpstreamState.READY):
    return UpstreamIdentity(upstream_id, "v1", slots, state)


def with_proxy(check, slots=2, **options):
    async def main():
        upstream = UpstreamStandIn()
        await upstream.start()
        proxy = AdmissionProxy("board", upstream.address, SystemClock(), **options)
        proxy.set_identity(identity(slots=slots))
        try:
            await check(proxy, upstream)
        finally:
            proxy.close()
            upstream.stop()

    asyncio.run(main())
