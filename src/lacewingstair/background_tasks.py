"""Runs that have to go on for as long as the process does."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lacewingstair import events
from lacewingstair.runtime import Clock

# Pause before a failed run is started again, so that an input that always makes it fail
# does not flood the store or the log.
RESTART_SECONDS = 0.5

Run = Callable[[], Coroutine[Any, Any, None]]


async def keep_running(name: str, run: Run, clock: Clock) -> None:
    """Start a run again after each failure, until cancelled or until it returns.

    Parameters
    ----------
    name : str
        Name of the run in the log.
    run : callable
        Returns the coroutine of one run.
    clock : Clock
        Source of time.
    """
    while True:
        try:
            await run()
            return
        except asyncio.CancelledError as error:
            if _is_being_cancelled():
                raise
            # A task that the run waits for was cancelled, not the run itself.
            failure: BaseException = error
        except Exception as error:
            failure = error
        events.error("background_task_crashed", task=name, error=repr(failure))
        await clock.sleep(RESTART_SECONDS)


def _is_being_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
