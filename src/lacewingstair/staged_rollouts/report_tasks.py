"""Writes reports on rollouts in the background, one of each order at a time."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Result

from lacewingstair import events
from lacewingstair.errors import StoreConflict, StoreUnavailable
from lacewingstair.staged_rollouts.policy import Order, Stage
from lacewingstair.staged_rollouts.rollout import Rollout

WriteReport = Callable[
    [Order, Stage], Awaitable[Result[Stage, StoreUnavailable | StoreConflict]]
]


class ReportTasks:
    """Starts reports; the store may take seconds for one, and may never answer.

    Parameters
    ----------
    write_report : callable
        Writes a report to the store unless it already holds a final one; returns the
        stage that the store holds afterwards.
    on_reported : callable
        Called with a rollout and the stage that the store holds.
    """

    def __init__(
        self,
        write_report: WriteReport,
        on_reported: Callable[[Rollout, Stage], None],
    ) -> None:
        self._write_report = write_report
        self._on_reported = on_reported
        self._tasks_by_order: dict[Order, asyncio.Task[None]] = {}

    def start(self, rollout: Rollout, stage: Stage) -> None:
        """Write a report unless one of the order is on its way."""
        if rollout.order in self._tasks_by_order:
            return
        task = asyncio.create_task(self._report(rollout, stage))
        # The order gets another position if it is read in a new era of the store.
        order = rollout.order
        self._tasks_by_order[order] = task
        task.add_done_callback(lambda done: self._ended(order, done))

    def cancel(self) -> None:
        """Cancel the reports that are on their way."""
        for task in self._tasks_by_order.values():
            task.cancel()

    async def _report(self, rollout: Rollout, stage: Stage) -> None:
        written = await self._write_report(rollout.order, stage)
        if isinstance(written, Err):
            events.warning(
                "rollout_not_reported",
                service=rollout.order.service,
                stage=stage.name.lower(),
                error=written.err_value,
            )
            return
        events.info(
            "rollout_reported",
            service=rollout.order.service,
            stage=written.ok_value.name.lower(),
        )
        self._on_reported(rollout, written.ok_value)

    def _ended(self, order: Order, task: asyncio.Task[None]) -> None:
        del self._tasks_by_order[order]
        if not task.cancelled() and task.exception() is not None:
            events.error("rollout_report_crashed", error=repr(task.exception()))
