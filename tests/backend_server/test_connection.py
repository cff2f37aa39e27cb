import asyncio
import gc

import pytest

from lacewingstair.vm.call_messages import CallAnswer, CallFailed
from tests.backend_server.harness import request, with_proxy
from tests.memory import traced_peak
from tests.platform.upstream_standin import (
    ENDLESS_EXCESS,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
)

# Far longer than the tests wait, so that no call ends by its deadline.
LONG_MS = 60_000.0
SOON_SECONDS = 5.0
# Includes the socket buffers of the kernel on both sides.
MAX_WRITTEN_BYTES = 32 << 20
MAX_PEAK_BYTES = 2 << 20


async def closed(upstream):
    while upstream.connections:  # noqa: ASYNC110 - it is plain state
        await asyncio.sleep(0.01)


def endless(behaviours):
    return pytest.mark.parametrize("behaviour", behaviours)


async def assert_later_calls_work(proxy, upstream):
    upstream.behaviour = "ok"
    upstream.trickle_seconds = 0.0
    assert isinstance(await proxy.run(request("later")), CallAnswer)


@endless([*ENDLESS_HEADS, *ENDLESS_FRAMING])
def test_endless_bytes_outside_a_body_fail_the_call_early(behaviour):
    """Guards against calls that read useless bytes until their deadline."""

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        with traced_peak() as peak:
            async with asyncio.timeout(SOON_SECONDS):
                outcome = await proxy.run(request(remaining_ms=LONG_MS))
                await closed(upstream)
        assert isinstance(outcome, CallFailed) and not outcome.is_timeout
        assert upstream.endless_bytes < MAX_WRITTEN_BYTES
        assert peak.bytes < MAX_PEAK_BYTES
        await assert_later_calls_work(proxy, upstream)

    with_proxy(check)


@endless(ENDLESS_EXCESS)
def test_endless_bytes_after_a_response_are_not_part_of_it(behaviour):
    """Guards against a response body that includes bytes which belong to no call."""

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        async with asyncio.timeout(SOON_SECONDS):
            outcome = await proxy.run(request(remaining_ms=LONG_MS))
            await closed(upstream)
        assert isinstance(outcome, CallFailed) or outcome.body == b"ok"
        assert upstream.endless_bytes < MAX_WRITTEN_BYTES
        await assert_later_calls_work(proxy, upstream)

    with_proxy(check)


@endless(
    [
        "endless status line",
        "endless blank lines",
        "endless header line",
        "endless interim answers",
        "endless chunk extension",
        "endless chunked body",
        "endless body without a length",
    ]
)
def test_endless_trickle_of_bytes_ends_at_the_deadline(behaviour):
    """Guards against calls and connections kept alive by a slow trickle of bytes."""

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        upstream.trickle_seconds = 0.01
        async with asyncio.timeout(SOON_SECONDS):
            outcome = await proxy.run(request(remaining_ms=150.0))
            await closed(upstream)
        assert isinstance(outcome, CallFailed) and outcome.is_timeout
        await assert_later_calls_work(proxy, upstream)

    with_proxy(check)


@pytest.fixture
def without_collections():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


FAILED_CALLS = 30
MAX_KEPT_BYTES = 1 << 20


@endless(
    [
        "endless bytes that are no HTTP",
        "endless bytes that are no chunk",
        "endless chunk extension",
        "endless chunked body",
    ]
)
def test_failed_calls_release_received_bytes(behaviour, without_collections):
    """Guards against memory that grows with each failed call.

    Reference cycles from tracebacks would be freed only by the garbage collector.
    """

    async def check(proxy, upstream):
        upstream.behaviour = behaviour
        with traced_peak() as peak:
            for number in range(FAILED_CALLS):
                outcome = await proxy.run(request(f"c{number}", LONG_MS))
                assert isinstance(outcome, CallFailed)
                await closed(upstream)
            await asyncio.sleep(0.01)
        assert peak.kept_bytes < MAX_KEPT_BYTES

    with_proxy(check, max_buffered_bytes=1 << 20)


def test_interim_responses_before_the_final_one_are_skipped():
    """Guards against limits that reject valid responses."""

    async def check(proxy, upstream):
        upstream.behaviour = "interim"
        outcome = await proxy.run(request())
        assert isinstance(outcome, CallAnswer)
        assert outcome.body == b"answer of a"

    with_proxy(check)


def test_response_of_many_small_chunks_is_complete():
    """Guards against taking chunk framing for an endless response."""

    async def check(proxy, upstream):
        upstream.behaviour = "small chunks"
        outcome = await proxy.run(request(remaining_ms=LONG_MS))
        assert isinstance(outcome, CallAnswer)
        assert outcome.body == b"answer of a" * 30_000

    with_proxy(check)
