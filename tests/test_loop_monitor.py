import asyncio
import time

from loguru import logger

from lacewingstair.events import parse_event
from lacewingstair.loop_monitor import CHECK_SECONDS, LoopMonitor
from lacewingstair.runtime import SystemClock


def test_a_blocked_event_loop_is_logged_with_its_delay():
    """Guards against slow answers whose cause, a busy process, does not show."""
    lines, lags = [], []

    async def main():
        monitor = asyncio.create_task(LoopMonitor(SystemClock(), lags.append).run())
        await asyncio.sleep(0.1 * CHECK_SECONDS)
        time.sleep(CHECK_SECONDS + 0.5)  # noqa: ASYNC251 - blocks the loop on purpose
        await asyncio.sleep(0.05)
        monitor.cancel()

    sink = logger.add(lambda message: lines.append(str(message)))
    try:
        asyncio.run(main())
    finally:
        logger.remove(sink)
    stalls = [parse_event(line) for line in lines if "event=loop_stalled" in line]
    assert stalls[0]["lag_ms"] >= 400
    assert max(lags) >= 0.4
