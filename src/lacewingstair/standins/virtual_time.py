"""Event loop and clock in virtual time, so that many VMs run in one process.

The loop jumps to the next timer when nothing is ready. Nothing in it may wait for real
input or output.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

START_WALL_SECONDS = 1_700_000_000.0


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that advances the loop's time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only when every task waits."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return virtual seconds since the start of the loop."""
        return self._jumping_selector.now


class VirtualClock:
    """Clock of the running `VirtualTimeLoop`."""

    def monotonic(self) -> float:
        """Return virtual seconds since the start of the loop."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual seconds since the Unix epoch."""
        return START_WALL_SECONDS + self.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task in virtual time."""
        await asyncio.sleep(seconds)


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
