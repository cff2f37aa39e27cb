import asyncio

import pytest

from lacewingstair.platform.health import HEALTH_TIMEOUT_SECONDS, ask_health
from tests.memory import traced_peak
from tests.platform.upstream_standin import (
    ENDLESS_BODIES,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    UpstreamStandIn,
)

MAX_PEAK_BYTES = 8 << 20
# Whose head is whole, with the id of the backend server.
WITH_HEAD = {**ENDLESS_BODIES, **ENDLESS_FRAMING}


def ask_endless(behaviour, trickle_seconds=0.0):
    """Return the outcome of a health check and the peak of its memory."""

    async def main():
        upstream = UpstreamStandIn()
        upstream.behaviour = behaviour
        upstream.trickle_seconds = trickle_seconds
        await upstream.start()
        try:
            with traced_peak() as peak:
                async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS + 10.0):
                    answer = await ask_health(upstream.address, "/health")
                    while upstream.connections:  # noqa: ASYNC110 - it is plain state
                        await asyncio.sleep(0.01)
        finally:
            upstream.stop()
        return answer, peak.bytes

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("behaviour", "trickle_seconds"),
    [
        *((behaviour, 0.0) for behaviour in ENDLESS_HEADS),
        ("endless header line", 0.01),
    ],
)
def test_a_check_without_an_answer_fails_in_its_time(behaviour, trickle_seconds):
    """Guards against health checks that last for ever or open the gate."""
    answer, peak_bytes = ask_endless(behaviour, trickle_seconds)
    assert answer.is_err()
    assert peak_bytes < MAX_PEAK_BYTES


@pytest.mark.parametrize("behaviour", WITH_HEAD)
def test_the_body_of_a_check_is_not_read(behaviour):
    """Guards against health checks that read without end."""
    _, peak_bytes = ask_endless(behaviour)
    assert peak_bytes < MAX_PEAK_BYTES
