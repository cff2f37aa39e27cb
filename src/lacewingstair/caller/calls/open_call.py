"""Calls of callers that have no response yet."""

import asyncio

import attrs
from aiohttp import web

from lacewingstair import events
from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.platform import headers

STOPPED_REASON = "the VM stopped before the answer came"
PARENT_LOST_REASON = "the call for which this one was made has ended"


@attrs.define(eq=False)
class OpenCall:
    """Call that has no response yet.

    Parameters
    ----------
    request : web.BaseRequest
        HTTP request of the call.
    started_at : float
        When the head of the request arrived, monotonic seconds.
    task : asyncio.Task
        Task that handles the request.
    route : str
        Name of the route; empty until the route is known.
    deadline_at : float or None
        Deadline, monotonic seconds; None until the route is known.
    is_forwarded : bool
        Whether a backend server may have got the call.
    is_aborted : bool
        Whether this process ended the call before its response.
    abort_reason : str
        Why this process ended it.
    has_failed : bool
        Whether backend servers refused the call or failed to run it.
    is_not_run : bool
        Whether this process refused the call, so that it has not run.
    account : ClientAccount or None
        Account whose quota the call is counted in, once it has been admitted.
    """

    request: web.BaseRequest
    started_at: float
    task: asyncio.Task
    route: str = ""
    deadline_at: float | None = None
    is_forwarded: bool = False
    is_aborted: bool = False
    abort_reason: str = STOPPED_REASON
    has_failed: bool = False
    is_not_run: bool = False
    account: ClientAccount | None = None

    @property
    def request_id(self) -> str:
        """Request id from the caller, or an empty string."""
        return self.request.headers.get(headers.REQUEST_ID, "")

    def abort(self, reason: str) -> None:
        """End the call; its answer says whether it may have run."""
        self.is_aborted = True
        self.abort_reason = reason
        self.task.cancel()

    def log_unanswered(self, now: float) -> None:
        """Log whether the caller or this process ended the call before its response."""
        waited_ms = round((now - self.started_at) * 1000)
        if not self.is_aborted:
            events.call_line(
                "call_left",
                is_failure=True,
                call=self.request_id,
                route=self.route,
                waited_ms=waited_ms,
                asked_ms=headers.deadline_ms(self.request.headers),
            )
            return
        left_ms = (
            None if self.deadline_at is None else round((self.deadline_at - now) * 1000)
        )
        events.call_line(
            "call_cut",
            is_failure=True,
            call=self.request_id,
            route=self.route,
            reason=self.abort_reason,
            waited_ms=waited_ms,
            left_ms=left_ms,
        )


class NestedCalls:
    """Open nested calls by the id of the call for which they are made."""

    def __init__(self) -> None:
        self._calls_by_parent_id: dict[str, set[OpenCall]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._calls_by_parent_id.values()))

    def add(self, call: OpenCall) -> None:
        """Add a call."""
        parent_id = headers.parent_id(call.request_id)
        self._calls_by_parent_id.setdefault(parent_id, set()).add(call)

    def discard(self, call: OpenCall) -> None:
        """Remove a call that has ended, if it is one of them."""
        parent_id = headers.parent_id(call.request_id)
        calls = self._calls_by_parent_id.get(parent_id)
        if calls is None:
            return
        calls.discard(call)
        if not calls:
            del self._calls_by_parent_id[parent_id]

    def abort(self, parent_id: str) -> None:
        """End the calls whose parent is lost, since nobody needs their responses."""
        for call in self._calls_by_parent_id.pop(parent_id, ()):
            call.abort(PARENT_LOST_REASON)
