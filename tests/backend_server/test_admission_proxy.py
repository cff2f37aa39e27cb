import asyncio

import pytest

from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallFailed,
    CallRefused,
    RefusalReason,
    SendOrigin,
)
from lacewingstair.vm.entries import UpstreamState
from tests.backend_server.harness import identity, request, with_proxy
from tests.memory import traced_peak
from tests.platform.upstream_standin import ENDLESS_BODIES


def test_response_is_complete_and_request_names_its_target_instance():
    async def check(proxy, upstream):
        outcome = await proxy.run(request(method="POST", body=b"load"))
        assert isinstance(outcome, CallAnswer)
        assert (outcome.status, outcome.body) == (200, b"answer of a")
        assert b"Response-Signature: s" in outcome.header_lines
        line, fields, body = upstream.heads[0]
        assert (line, body) == ("POST /x HTTP/1.1", b"load")
        assert fields["Target-Instance"] == "i-1"
        assert 0 < int(fields["Timeout-Ms"]) <= 1000

    with_proxy(check)


@pytest.mark.parametrize(
    "behaviour", ["truncate", "reset", "unframed reset", "unsigned"]
)
def test_call_with_incomplete_response_may_have_run(behaviour):
    """Guards against taking a truncated response for a complete one."""

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        assert isinstance(await proxy.run(request()), CallFailed)
        assert upstream.runs == ["a"]

    with_proxy(check)


def test_response_without_length_ends_with_its_connection():
    async def check(proxy, upstream):
        upstream.behaviour = "unframed"
        outcome = await proxy.run(request())
        assert outcome.body == b"answer of a"

    with_proxy(check)


@pytest.mark.parametrize("behaviour", ["extra", "late extra"])
def test_unexpected_second_response_is_dropped(behaviour):
    """Guards against passing a response to another caller."""

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        for number in range(6):
            outcome = await proxy.run(request(f"c{number}"))
            assert isinstance(outcome, CallAnswer)
            assert outcome.body == f"answer of c{number}".encode()
            await asyncio.sleep(0.03 * (number % 3))

    with_proxy(check)


def test_call_refused_by_the_upstream_is_reported_as_not_run():
    async def check(proxy, upstream):
        upstream.behaviour = "shed"
        outcome = await proxy.run(request())
        assert isinstance(outcome, CallRefused) and outcome.was_sent
        proxy.set_identity(identity("i-2"))
        outcome = await proxy.run(request())
        assert isinstance(outcome, CallRefused) and outcome.was_sent
        assert upstream.runs == []

    with_proxy(check)


def test_running_calls_are_limited_by_slots():
    async def check(proxy, upstream):
        upstream.seconds = 0.05
        calls = [proxy.run(request(f"c{n}", 2000.0)) for n in range(6)]
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(0.02)
        assert len(upstream.runs) == 2
        outcomes = await asyncio.gather(*tasks)
        assert all(isinstance(outcome, CallAnswer) for outcome in outcomes)
        assert proxy.admission.running == 0

    with_proxy(check)


def test_cancelled_call_is_cancelled_upstream_and_releases_its_slot():
    """Guards against running calls whose caller has disconnected."""

    async def check(proxy, upstream):
        upstream.seconds = 0.5
        tasks = [asyncio.create_task(proxy.run(request(f"c{n}"))) for n in range(3)]
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.05)
        assert sorted(upstream.cancelled) == ["c0", "c1"]
        assert (proxy.admission.running, proxy.admission.waiting) == (0, 0)

    with_proxy(check)


def test_draining_upstream_gets_no_queued_call():
    """Guards against calls to a backend server that was acknowledged as draining."""

    async def check(proxy, upstream):
        upstream.seconds = 0.1
        tasks = [asyncio.create_task(proxy.run(request(f"c{n}"))) for n in range(4)]
        await asyncio.sleep(0.02)
        proxy.set_identity(identity(state=UpstreamState.DRAINING))
        outcomes = await asyncio.gather(*tasks)
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds == [CallAnswer, CallAnswer, CallRefused, CallRefused]
        assert outcomes[3].reason is RefusalReason.CLOSED
        assert sorted(upstream.runs) == ["c0", "c1"]

    with_proxy(check)


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ({"service": "other"}, RefusalReason.WRONG_SERVICE),
        ({"version": "v2"}, RefusalReason.VERSION),
        ({"remaining_ms": 1.0}, RefusalReason.NO_TIME),
    ],
)
def test_inadmissible_call_is_not_sent(values, reason):
    async def check(proxy, upstream):
        outcome = await proxy.run(request(**values))
        assert isinstance(outcome, CallRefused)
        assert (outcome.reason, outcome.was_sent) == (reason, False)
        assert upstream.heads == []

    with_proxy(check)


def test_call_to_unresponsive_upstream_times_out_at_its_deadline():
    async def check(proxy, upstream):
        upstream.behaviour = "silent"
        outcome = await proxy.run(request(remaining_ms=100.0))
        assert isinstance(outcome, CallFailed) and outcome.is_timeout

    with_proxy(check)


def test_upstream_that_refuses_connections_is_reported_unreachable():
    unreachable = []

    async def check(proxy, upstream):
        upstream.stop()
        proxy._on_unreachable = lambda: unreachable.append(True)
        outcome = await proxy.run(request())
        assert isinstance(outcome, CallRefused)
        assert outcome.reason is RefusalReason.UNREACHABLE
        assert unreachable == [True]

    with_proxy(check)


def test_outcome_tells_whether_a_nested_call_was_not_served():
    """Guards against blaming a version for nested calls that were not served."""

    async def check(proxy, upstream):
        outcomes = []
        proxy._on_outcome = lambda *outcome: outcomes.append(outcome)
        upstream.seconds = 0.1
        running = asyncio.create_task(proxy.run(request("a")))
        while not proxy.is_running("a"):  # noqa: ASYNC110 - it is plain state
            await asyncio.sleep(0.01)
        proxy.note_unserved_call("a", has_failed=False)
        proxy.note_unserved_call("unknown", has_failed=True)
        assert not (await running).has_failed_nested_call
        await proxy.run(request("b"))
        assert not proxy.is_running("a")
        assert [(o[1], o[3]) for o in outcomes] == [(200, True), (200, False)]

    with_proxy(check)


def test_response_tells_whether_a_nested_call_failed():
    """Guards against retrying a call whose nested calls were already retried."""

    async def check(proxy, upstream):
        upstream.seconds = 0.1
        running = asyncio.create_task(proxy.run(request("a")))
        while not proxy.is_running("a"):  # noqa: ASYNC110 - it is plain state
            await asyncio.sleep(0.01)
        assert not proxy.is_retry("a")
        proxy.note_unserved_call("a", has_failed=True)
        proxy.note_unserved_call("a", has_failed=False)
        assert (await running).has_failed_nested_call
        assert not (await proxy.run(request("b"))).has_failed_nested_call

    with_proxy(check)


ENDLESS_CALLS = 12
MAX_BUFFERED_BYTES = 8 << 20
# Buffers and copies of the event loop and the stand-in server, per connection.
CONNECTION_BYTES = 1 << 20


@pytest.mark.parametrize("behaviour", ENDLESS_BODIES)
def test_endless_bodies_of_many_calls_use_bounded_memory(behaviour):
    """Guards against running out of memory on endless response bodies."""

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        with traced_peak() as peak:
            async with asyncio.timeout(20.0):
                calls = [
                    proxy.run(request(f"c{n}", 60_000.0)) for n in range(ENDLESS_CALLS)
                ]
                outcomes = await asyncio.gather(*calls)
                while upstream.connections:  # noqa: ASYNC110 - it is plain state
                    await asyncio.sleep(0.01)
        assert all(isinstance(outcome, CallFailed) for outcome in outcomes)
        assert not any(outcome.is_timeout for outcome in outcomes)
        assert peak.bytes < MAX_BUFFERED_BYTES + ENDLESS_CALLS * CONNECTION_BYTES
        assert proxy._response_memory.buffered_bytes == 0
        upstream.behaviour = "ok"
        assert isinstance(await proxy.run(request("later")), CallAnswer)

    with_proxy(check, ENDLESS_CALLS, max_buffered_bytes=MAX_BUFFERED_BYTES)


def test_valid_response_completes_while_endless_bodies_use_up_the_memory():
    """Guards against failing a call because of the response bodies of others."""

    async def check(proxy, upstream):
        upstream.behaviour = "endless chunked body"
        endless = [
            asyncio.create_task(proxy.run(request(f"e{n}", 60_000.0)))
            for n in range(ENDLESS_CALLS)
        ]
        async with asyncio.timeout(20.0):
            while not any(call.done() for call in endless):  # noqa: ASYNC110 - state
                await asyncio.sleep(0)
            upstream.behaviour = "small chunks"
            outcome = await proxy.run(request("good", 60_000.0))
            await asyncio.gather(*endless)
        assert isinstance(outcome, CallAnswer)
        assert outcome.body == b"answer of good" * 30_000

    with_proxy(check, ENDLESS_CALLS + 1, max_buffered_bytes=MAX_BUFFERED_BYTES)


def test_arrivals_are_counted_by_origin():
    """Guards against retries that multiply unnoticed."""

    async def check(proxy, upstream):
        await proxy.run(request("a"))
        await proxy.run(request("b", origin=SendOrigin.AFTER_ERROR))
        await proxy.run(request("c", origin=SendOrigin.AFTER_ERROR))
        assert proxy.arrivals_by_origin == {
            SendOrigin.FIRST: 1,
            SendOrigin.AFTER_ERROR: 2,
        }

    with_proxy(check)


def test_run_whose_caller_gives_up_is_counted_with_its_duration():
    """Guards against slow runs that leave no trace because their callers give up."""

    async def check(proxy, upstream):
        abandoned = []
        proxy._on_abandoned = lambda *run: abandoned.append(run)
        upstream.seconds = 5.0
        running = asyncio.create_task(proxy.run(request("a")))
        await asyncio.sleep(0.2)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        ((route, ms),) = abandoned
        assert route == request("a").route
        assert ms >= 100.0

    with_proxy(check)
