import asyncio

from lacewingstair.vm.call_messages import CallAnswer, CallFailed, CallRefused
from tests.backend_server.harness import request, with_proxy


async def wait_for_runs(upstream, calls):
    while len(upstream.runs) < calls:  # noqa: ASYNC110 - it is plain state
        await asyncio.sleep(0.005)


async def reset(address):
    raise ConnectionResetError("reset by the accept limit")


async def refuse(address):
    raise ConnectionRefusedError


def count_unreachable(proxy):
    unreachable = []
    proxy._on_unreachable = lambda: unreachable.append(True)
    return unreachable


def test_queued_calls_run_on_established_connections():
    """Guards against refusing all queued calls one by one while connects fail.

    Each call that fails to connect frees its slot; the next call must not be started
    in that slot only to fail as well.
    """

    async def check(proxy, upstream):
        unreachable = count_unreachable(proxy)
        upstream.seconds = 0.1
        first = [
            asyncio.create_task(proxy.run(request(f"r{n}", 3000.0))) for n in range(2)
        ]
        await wait_for_runs(upstream, 2)
        connect, proxy._pool._connect = proxy._pool._connect, reset
        assert isinstance(await proxy.run(request("refused", 3000.0)), CallRefused)
        outcomes = await asyncio.gather(
            *(proxy.run(request(f"w{n}", 3000.0)) for n in range(6)), *first
        )
        assert all(isinstance(outcome, CallAnswer) for outcome in outcomes)
        assert unreachable == []
        proxy._pool._connect = connect
        await asyncio.sleep(1.1)
        upstream.runs.clear()
        later = [
            asyncio.create_task(proxy.run(request(f"l{n}", 3000.0))) for n in range(4)
        ]
        await asyncio.sleep(0.05)
        assert len(upstream.runs) == 4
        await asyncio.gather(*later)

    with_proxy(check, slots=4)


def test_backend_server_that_exits_while_running_calls_is_reported_unreachable():
    """Guards against sending calls to a backend server whose process has ended."""

    async def check(proxy, upstream):
        unreachable = count_unreachable(proxy)
        upstream.seconds = 5.0
        tasks = [
            asyncio.create_task(proxy.run(request(f"c{n}", 9000.0))) for n in range(4)
        ]
        await wait_for_runs(upstream, 2)
        proxy._pool._connect = refuse
        upstream.stop()
        async with asyncio.timeout(1.0):
            outcomes = await asyncio.gather(*tasks)
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds == [CallFailed, CallFailed, CallRefused, CallRefused]
        assert unreachable

    with_proxy(check)


def test_connect_reset_while_nothing_runs_is_retried():
    """Guards against closing the proxy after a single reset."""

    async def check(proxy, upstream):
        unreachable = count_unreachable(proxy)
        connect = proxy._pool._connect

        async def reset_once(address):
            proxy._pool._connect = connect
            await reset(address)

        proxy._pool._connect = reset_once
        assert isinstance(await proxy.run(request("a")), CallAnswer)
        assert unreachable == []

    with_proxy(check)


def test_persistent_connect_failures_while_nothing_runs_are_reported_unreachable():
    """Guards against an open proxy in front of a server that accepts no connection."""

    async def check(proxy, upstream):
        unreachable = count_unreachable(proxy)
        proxy._pool._connect = reset
        for number in range(20):
            outcome = await proxy.run(request(f"c{number}"))
            assert isinstance(outcome, CallRefused) and not outcome.was_sent
            if unreachable:
                break
        assert unreachable == [True]
        assert upstream.runs == []

    with_proxy(check)


def test_queued_calls_are_not_sent_on_connections_reset_on_accept():
    """Guards against failing queued calls on connections beyond the accept limit.

    The kernel accepts these connections before the backend server resets them, so a
    call on such a connection may have run.
    """

    async def check(proxy, upstream):
        def reset_on_accept(reader, writer):
            writer.transport.abort()

        beyond = await asyncio.start_server(reset_on_accept, "127.0.0.1", 0)
        host, port = beyond.sockets[0].getsockname()
        upstream.seconds = 0.1
        first = [
            asyncio.create_task(proxy.run(request(f"r{n}", 3000.0))) for n in range(2)
        ]
        await wait_for_runs(upstream, 2)
        connect = proxy._pool._connect
        proxy._pool._connect = lambda address: connect(f"{host}:{port}")
        tasks = [
            asyncio.create_task(proxy.run(request(f"w{n}", 3000.0))) for n in range(6)
        ]
        outcomes = await asyncio.gather(*first, *tasks)
        served = sum(isinstance(outcome, CallAnswer) for outcome in outcomes)
        # Only the two calls that found a free slot ran into the accept limit.
        assert served == len(outcomes) - 2
        beyond.close()

    with_proxy(check, slots=4)
