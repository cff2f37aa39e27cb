import pytest

from lacewingstair.standins.memory_server import Fault
from lacewingstair.standins.virtual_time import run_virtual
from tests.caller.harness import Mesh

# More than half of the 2 s timeout of a call.
SLOW_SECONDS = 1.2


@pytest.mark.parametrize("servers", [1, 3])
def test_a_call_that_cannot_be_retried_keeps_its_full_timeout(servers):
    """Guards against a 504 at half the timeout while the backend server still works.

    No retry is possible without another backend server, or without retry budget.
    """

    async def main():
        mesh = Mesh(*([Fault.NONE] for _ in range(servers)))
        for server in mesh.servers.values():
            server.seconds = SLOW_SECONDS
        mesh.dispatcher._budget("board").try_acquire = lambda: False
        status, body, _ = await mesh.send(mesh.call("/1", "GET"))
        assert (status, body) == (200, b"/1")
        assert mesh.runs["/1"] == 1

    run_virtual(main())
