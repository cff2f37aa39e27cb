import asyncio

from lacewingstair.vm.call_messages import CallAnswer, CallRefused
from tests.backend_server.harness import request, with_proxy


def test_one_connection_reset_does_not_mark_a_working_server_unreachable():
    """Guards against refusing queued calls while the backend server responds.

    A backend server resets connections beyond its limit, which is lower while its
    queue is long.
    """

    async def check(proxy, upstream):
        unreachable = []
        proxy._on_unreachable = lambda: unreachable.append(True)
        upstream.seconds = 0.1
        running = asyncio.create_task(proxy.run(request("a")))
        while not upstream.runs:  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.005)

        async def refuse(address):
            raise ConnectionResetError("reset by the accept limit")

        proxy._pool._connect = refuse
        assert isinstance(await proxy.run(request("b")), CallRefused)
        assert isinstance(await running, CallAnswer)
        assert unreachable == []

    with_proxy(check)
