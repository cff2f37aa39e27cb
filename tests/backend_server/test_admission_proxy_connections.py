import asyncio

from lacewingstair.vm.call_messages import CallAnswer, CallRefused
from tests.backend_server.harness import request, with_proxy


def test_one_refused_connection_does_not_close_the_gate_of_a_server_at_work():
    """Guards against calls in the queue that are refused while the server answers.

    A backend server resets connections beyond its bound, which is lower while its
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
