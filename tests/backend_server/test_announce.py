import asyncio

import pytest
from aiohttp.test_utils import TestClient, TestServer

from lacewingstair.backend_server.announce import AnnouncementServer
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.directory import Endpoint, EndpointState

ADDRESS = "10.0.0.1:80"
READY = Endpoint("s", "v", ADDRESS)


class AnnouncementHarness:
    def __init__(self):
        self.published = []
        self.is_down = False
        self.server = AnnouncementServer(
            self.published.append, VirtualClock(), self.refuses
        )

    async def refuses(self, address):
        return self.is_down

    def states(self):
        return [endpoint.state for endpoint in self.published[-1]]


def test_drained_endpoint_stays_draining_until_restart_or_withdrawal():
    """Guards against new calls to a drained endpoint that is announced again."""

    async def main():
        for renew in ("withdraw", "starting"):
            harness = AnnouncementHarness()
            harness.server.announce(READY)
            assert harness.server.drain(ADDRESS)
            harness.server.announce(READY)
            assert harness.states() == [EndpointState.DRAINING]
            if renew == "withdraw":
                harness.server.withdraw(ADDRESS)
            else:
                starting = Endpoint("s", "v", ADDRESS, state=EndpointState.STARTING)
                harness.server.announce(starting)
            harness.server.announce(READY)
            assert harness.states() == [EndpointState.READY]
        assert not harness.server.drain("10.0.0.2:80")

    run_virtual(main())


def test_announcement_expires_without_renewal():
    """Guards against calls to a backend server that hangs."""

    async def main():
        harness = AnnouncementHarness()
        running = asyncio.create_task(harness.server.run())
        harness.server.announce(READY)
        await asyncio.sleep(8)
        harness.server.announce(READY)
        await asyncio.sleep(8)
        assert harness.states() == [EndpointState.READY]
        await asyncio.sleep(4)
        assert harness.states() == []
        running.cancel()

    run_virtual(main())


@pytest.mark.parametrize("is_lasting", [True, False])
def test_endpoint_is_withdrawn_only_after_two_refused_connections(is_lasting):
    """Guards against keeping a dead endpoint for its TTL, or dropping a live one."""

    async def main():
        harness = AnnouncementHarness()
        harness.server.announce(READY)
        harness.is_down = True
        harness.server.check_listening(ADDRESS)
        await asyncio.sleep(0.05)
        harness.is_down = is_lasting
        await asyncio.sleep(0.2)
        assert harness.states() == ([] if is_lasting else [EndpointState.READY])

    run_virtual(main())


@pytest.mark.parametrize(
    ("path", "document", "status"),
    [
        ("/v1/announce", {"service": "s", "version": "v", "address": ADDRESS}, 200),
        ("/v1/announce", {"service": "s", "version": "v", "address": "a:0"}, 400),
        ("/v1/announce", {"service": "s", "version": "v", "address": "::1:99999"}, 400),
        ("/v1/announce", {"service": "s", "address": ADDRESS}, 400),
        ("/v1/announce", [], 400),
        ("/v1/announce", None, 400),
        ("/v1/withdraw", {"address": ADDRESS}, 200),
        ("/v1/withdraw", {"address": 1}, 400),
        ("/v1/withdraw", [], 400),
        ("/v1/drain", {"address": ADDRESS}, 404),
        ("/v1/drain", {}, 400),
    ],
)
def test_announcement_requests_return_the_expected_status(path, document, status):
    """Guards against accepting invalid input or failing on it."""

    async def main():
        server = TestServer(AnnouncementHarness().server.application())
        async with TestClient(server) as client:
            response = await client.post(path, json=document)
            assert response.status == status
            assert ("error" in await response.json()) == (status != 200)

    asyncio.run(main())
