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

# Far beyond what the checks wait for, so that the end of the call does not help.
LONG_MS = 60_000.0
SOON_SECONDS = 5.0
# Buffers of the kernel on both sides are within it.
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
def test_endless_bytes_that_are_no_answer_end_the_call_at_once(behaviour):
    """Guards against calls that read for their whole time what never is an answer."""

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
def test_endless_bytes_beyond_an_answer_are_in_no_answer(behaviour):
    """Guards against an answer extended by bytes that belong to no call."""

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
def test_endless_bytes_that_trickle_in_end_with_the_time_of_the_call(behaviour):
    """Guards against calls and connections that a slow trickle keeps for ever."""

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
def test_calls_that_failed_keep_no_bytes(behaviour, without_collections):
    """Guards against memory that grows with each call until a rare collection."""

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


def test_some_interim_answers_come_before_the_final_one():
    """Guards against a bound that refuses good answers."""

    async def check(proxy, upstream):
        upstream.behaviour = "interim"
        outcome = await proxy.run(request())
        assert isinstance(outcome, CallAnswer)
        assert outcome.body == b"answer of a"

    with_proxy(check)


def test_an_answer_of_many_small_chunks_arrives_whole():
    """Guards against framing that is taken for an endless answer."""

    async def check(proxy, upstream):
        upstream.behaviour = "small chunks"
        outcome = await proxy.run(request(remaining_ms=LONG_MS))
        assert isinstance(outcome, CallAnswer)
        assert outcome.body == b"answer of a" * 30_000

    with_proxy(check)
