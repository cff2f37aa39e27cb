"""Two daemons, one of which takes the requests of clients that keep to no limit.

Each test checks only that both processes live, that their memory and descriptors stay
under a bound, and that ordinary requests are answered during the crowd and afterwards.
"""

import asyncio
import contextlib
import json
import socket

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from tests.hostile_requests import FORMS_BY_NAME, SILENT, crowd
from tests.platform.store_standin import StoreStandIn
from tests.platform.test_configuration import document
from tests.platform.upstream_standin import UpstreamStandIn
from tests.processes import LIMIT_SECONDS, Processes
from tests.test_sidecar import ROUTES, Vm
from tests.test_sidecar_hostile_clients import descriptors, resident_kb
from tests.test_sidecar_stop import until_ready

CROWD_SECONDS = 4.0
DOWNLOAD_BYTES = 1 << 20
UPLOAD = b"x" * 4000
# Growth of the largest resident size over that of the process before the crowd.
MAX_GROWTH_KB = 48 << 10
MAX_DESCRIPTORS = 320
MAX_BODY_BYTES = 64 << 20
# Memory of a machine of ordinary size.
MACHINE_KB = 300 * 1000
CALLER_LIMITS = """
[caller]
max_header_bytes = 8192
max_head_bytes = 1048576
buffer_bytes = 65536
max_connections = 256
max_held_bytes = 8388608
"""
FEW_CONNECTIONS = CALLER_LIMITS.replace(
    "max_connections = 256", "max_connections = 64\nmax_other_connections = 64"
)
# Segments and a window as on a network; the kernel takes 4 MB at once with those of
# loopback, so that nothing of a download would wait in the process.
SEGMENT_BYTES = 1460
WINDOW_BYTES = 16 << 10
READ_BYTES_PER_SECOND = 2 << 20


class LargeUpstream(UpstreamStandIn):
    """Answers calls of downloads at length."""

    def _write(self, writer, request_id):
        line = self.heads[-1][0]
        # The stand-in keeps what it was sent; here that would be memory of the test.
        self.heads.clear()
        self.runs.clear()
        if "/view/large" not in line:
            return super()._write(writer, request_id)
        writer.write(
            f"HTTP/1.1 200 X\r\nResponse-Signature: s\r\nRequest-Id: {request_id}\r\n"
            f"Content-Length: {DOWNLOAD_BYTES}\r\n\r\n".encode()
        )
        writer.write(bytes(DOWNLOAD_BYTES))
        return True


def wide_configuration(timeout):
    found = document(1, [[*route[:4], timeout, *route[5:]] for route in ROUTES])
    found["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    return found


class Site:
    """A daemon that takes calls, and one beside the backend server that runs them."""

    def __init__(self, processes, folder):
        self._processes = processes
        self._folder = folder
        self.limits = CALLER_LIMITS
        self.timeout = "2s"
        self.vms = []
        self.daemons = []

    @contextlib.asynccontextmanager
    async def started(self):
        store = StoreStandIn()
        server = TestServer(store.application())
        await server.start_server()
        found = json.dumps(wide_configuration(self.timeout)).encode()
        await store.put("keyed.op", "config", found)
        url = str(server.make_url("")).rstrip("/")
        async with aiohttp.ClientSession() as session:
            self.session = session
            try:
                for name, service in (("a", "book"), ("b", "board")):
                    await self._start(Vm(name, service, url))
                for vm in self.vms:
                    await until_ready(vm, session)
                # The first call waits until the daemons know each other.
                await self.until_served()
                yield self
            finally:
                for vm in self.vms:
                    vm.upstream.stop()
                await server.close()

    async def _start(self, vm):
        vm.upstream = LargeUpstream(f"i-{vm.name}")
        await vm.upstream.start()
        file = self._folder / f"{vm.name}.ini"
        file.write_text(vm.settings_text().replace("[caller]", self.limits.strip()))
        self.vms.append(vm)
        self.daemons.append(self._processes.start("lacewingstair.entry", file))

    def check_alive(self):
        for daemon in self.daemons:
            log = self._processes.log_of(daemon)[-2000:]
            assert daemon.poll() is None, log

    async def report(self):
        for vm in self.vms:
            await vm.report(self.session)

    async def until_served(self):
        """Make ordinary requests until each kind is served."""
        async with asyncio.timeout(LIMIT_SECONDS):
            for ask in (self.get, self.post, self.download):
                while True:
                    await self.report()
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        if await ask():
                            break
                    await asyncio.sleep(0.1)

    async def get(self):
        return await self.ask("GET", "/view/1") == b"answer of ordinary"

    async def post(self):
        answer = await self.ask("POST", "/load/1", UPLOAD)
        return answer == b"answer of ordinary"

    async def ask(self, method, path, body=None, headers=()):
        vm = self.vms[0]
        url = f"http://{vm.host}:7101{path}"
        fields = {"Host": "a.example", "Request-Id": "ordinary", **dict(headers)}
        async with self.session.request(
            method, url, headers=fields, data=body
        ) as answer:
            text = await answer.read()
            if answer.status != 200:
                print(method, path, answer.status, text[:200])
            return text if answer.status == 200 else None

    async def download(self):
        """Download slowly; return whether the whole answer came."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setblocking(False)
        with contextlib.closing(sock):
            await loop.sock_connect(sock, (self.vms[0].host, 7101))
            request = (
                "GET /view/large HTTP/1.1\r\nHost: a.example\r\n"
                "Request-Id: ordinary\r\nConnection: close\r\n\r\n"
            )
            await loop.sock_sendall(sock, request.encode())
            received = bytearray()
            while data := await loop.sock_recv(sock, 16 << 10):
                received += data
                await asyncio.sleep(len(data) / READ_BYTES_PER_SECOND)
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        is_whole = head.startswith(b"HTTP/1.1 200 ") and len(body) == DOWNLOAD_BYTES
        if not is_whole:
            print("download", head[:200], len(body))
        return is_whole


@pytest.fixture
def site(tmp_path):
    processes = Processes(tmp_path)
    yield Site(processes, tmp_path)
    processes.end()


@pytest.mark.parametrize("name", FORMS_BY_NAME)
def test_ordinary_requests_are_served_beside(site, name):
    """Guards against clients that take the memory, or the answers of others."""
    check_service(site, FORMS_BY_NAME[name])


def test_ordinary_requests_are_served_beside_connections_without_a_request(site):
    """Guards against clients that take all connections and send nothing."""
    site.limits = FEW_CONNECTIONS
    check_service(site, SILENT)


@pytest.mark.parametrize("port", [7102, 7103, 7104])
def test_other_addresses_answer_beside_connections_without_a_request(site, port):
    """Guards against a VM that is taken for one that has failed."""
    site.limits = FEW_CONNECTIONS

    async def main():
        async with site.started():
            vm = site.vms[0]
            async with crowd(vm.host, port, SILENT):
                await asyncio.sleep(CROWD_SECONDS / 2)
                async with aiohttp.ClientSession() as session:
                    if port == 7102:
                        assert await vm.report(session) == 200
                    path = {7103: "status", 7104: "ready"}.get(port, "none")
                    url = f"http://{vm.host}:{port}/{path}"
                    async with session.get(url) as answer:
                        assert answer.status == (404 if port == 7102 else 200)
                site.check_alive()

    asyncio.run(main())


def check_service(site, form):
    """Check a site while a crowd sends a form of request, and afterwards."""

    async def main():
        async with site.started():
            before_kb = [resident_kb(daemon, "VmRSS") for daemon in site.daemons]
            most_descriptors = 0
            served = {}
            async with crowd(site.vms[0].host, 7101, form) as sent:
                for step in range(int(CROWD_SECONDS / 0.1)):
                    await asyncio.sleep(0.1)
                    site.check_alive()
                    most_descriptors = max(
                        most_descriptors, *map(descriptors, site.daemons)
                    )
                    if step == int(CROWD_SECONDS / 0.2):
                        await site.report()
                        for ask in (site.get, site.post, site.download):
                            served[ask.__name__] = await ask()
            await site.until_served()
            site.check_alive()
            growth_kb = [
                resident_kb(daemon, "VmHWM") - before
                for daemon, before in zip(site.daemons, before_kb, strict=True)
            ]
            print(f"grew by {growth_kb} kB, {most_descriptors} descriptors")
            print(f"{sent[0]} connections, served {served}")
            assert max(growth_kb) < MAX_GROWTH_KB
            assert most_descriptors < MAX_DESCRIPTORS
            assert served == {"get": True, "post": True, "download": True}

    asyncio.run(main())


def test_a_request_with_many_short_lines_is_served(site):
    """Guards against a limit on header lines below that on their bytes."""
    lines = {f"X-Part-{number}": f"v{number}" for number in range(600)}

    async def main():
        async with site.started():
            assert await site.ask("GET", "/view/1", headers=lines)

    asyncio.run(main())


def test_an_upload_of_the_largest_size_is_served_in_calm(site):
    """Guards against a request inside the limits that no process ever takes."""
    site.limits, site.timeout = "[caller]", "30s"

    async def main():
        async with site.started():
            assert await site.ask("POST", "/load/1", bytes(MAX_BODY_BYTES))
            site.check_alive()
            sizes_kb = [resident_kb(daemon, "VmHWM") for daemon in site.daemons]
            print(f"at most {sizes_kb} kB")
            assert max(sizes_kb) < MACHINE_KB

    asyncio.run(main())
