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


def test_a_drained_endpoint_stays_draining_until_it_starts_or_is_withdrawn():
    """Guards against new calls because the announcement was repeated."""

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


def test_an_announcement_that_is_not_repeated_lapses():
    """Guards against calls to a backend server that has hung."""

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
def test_only_an_endpoint_that_refuses_twice_is_withdrawn(is_lasting):
    """Guards against a dead endpoint kept for its TTL, and one lost to a restart."""

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
def test_each_announcement_call_answers_with_a_clear_status(path, document, status):
    """Guards against bad input that is taken or that breaks the interface."""

    async def main():
        server = TestServer(AnnouncementHarness().server.application())
        async with TestClient(server) as client:
            answer = await client.post(path, json=document)
            assert answer.status == status
            assert ("error" in await answer.json()) == (status != 200)

    asyncio.run(main())
