"""Calls, attempts at upstreams, and outcomes of attempts."""

import asyncio

import attrs
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.caller.messages import headers
from lacewingstair.caller.messages.body import Body
from lacewingstair.errors import InvariantError
from lacewingstair.final_responses import FaultKind, ResponseFault, find_head_fault
from lacewingstair.routing.balancing import Upstream, UpstreamGroup

REFUSAL_STATUSES = (429, 503)
FIRST_REDIRECTION_STATUS = 300
_SINGLE_FIELDS = (headers.OUTCOME, headers.RETRY)


@attrs.define
class Call:
    """Validated call that is ready to be dispatched.

    Parameters
    ----------
    method, target : str
        Request line, as sent to the upstream.
    header_lines : bytes
        End-to-end header lines.
    body : Body
        Body of the request.
    has_body : bool
        Whether the request declared a body, which may be empty.
    route, service, kind : str
        Names of the route, the service and the kind of call in the configuration.
    worth : float
        Priority weight of the kind, used when capacity is short.
    customer : str
        Customer that the caller names in its request.
    allows_repeat : bool
        Whether the call is safe to run more than once.
    allows_retry : bool
        False when an outer layer has already retried the call.
    deadline : float
        Time after which a response is useless, in monotonic seconds.
    not_run_statuses : tuple of int
        Statuses by which the service states that it did not run the call.
    """

    method: str
    target: str
    header_lines: bytes
    body: Body
    has_body: bool
    route: str
    service: str
    kind: str
    worth: float
    customer: str
    allows_repeat: bool
    allows_retry: bool
    deadline: float
    not_run_statuses: tuple[int, ...] = ()


@attrs.define(eq=False)
class Attempt:
    """Attempt at an upstream, which holds a concurrency slot until it is settled.

    `is_superseded` is set when a retry replaces the attempt and a token of the retry
    budget has been taken for it.
    """

    call: Call
    group: UpstreamGroup
    upstream: Upstream
    started_at: float
    connection: UpstreamConnection | None = None
    writer: asyncio.Task[None] | None = None
    latency_seconds: float = 0.0
    is_retry: bool = False
    was_reused: bool = False
    idle_seconds: float = 0.0
    is_settled: bool = False
    is_superseded: bool = False

    def require_connection(self) -> UpstreamConnection:
        """Return the connection, which is set from sending until the attempt ends."""
        if self.connection is None:
            raise InvariantError(
                f"attempt at {self.upstream.address!r} has no connection"
            )
        return self.connection


@attrs.frozen
class UpstreamResponse:
    """Head of the response of an upstream, with its body as a stream."""

    attempt: Attempt
    message: RawResponseMessage
    payload: StreamReader
    is_final: bool = True

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.message.code

    @property
    def is_refusal(self) -> bool:
        """Whether the backend server states that it did not run the call."""
        is_configured = self.status in self.attempt.call.not_run_statuses
        if not is_configured and self.status not in REFUSAL_STATUSES:
            return False
        outcome = self.message.headers.get(headers.OUTCOME)
        if outcome is None:
            return is_configured
        # A backend server that calls other services may relay an "unknown" outcome.
        return outcome.lower() == headers.OUTCOME_NOT_RUN

    @property
    def forbids_retry(self) -> bool:
        """Whether an inner layer states that a retry is pointless."""
        value = self.message.headers.get(headers.RETRY, "")
        return value.lower() == headers.RETRY_NO


@attrs.frozen
class AttemptFailure:
    """Outcome of an attempt that got no usable response.

    Parameters
    ----------
    reason : str
        Description of the failure.
    is_sent : bool
        Whether any byte of the call was written; if not, the call did not run.
    is_timeout, is_stale, is_busy : bool
        Whether the time ran out, a kept-alive connection was closed while idle, or the
        connection limit of the upstream was reached.
    status : int
        Status for the caller if no later attempt succeeds.
    has_retry_token : bool
        Whether a token of the retry budget was already taken for the next attempt.
    """

    reason: str
    is_sent: bool
    is_timeout: bool = False
    is_stale: bool = False
    is_busy: bool = False
    status: int = 502
    has_retry_token: bool = False


def find_response_fault(
    message: RawResponseMessage, method: str
) -> ResponseFault | None:
    """Return why a response is unusable, or None."""
    fault = find_head_fault(message, _SINGLE_FIELDS)
    if fault is not None:
        return fault
    status, fields = message.code, message.headers
    outcome = fields.get(headers.OUTCOME, "").lower()
    if status < FIRST_REDIRECTION_STATUS and outcome == headers.OUTCOME_NOT_RUN:
        reason = f"status {status} of a call that is stated not to have run"
        return ResponseFault(FaultKind.CONTRADICTION, reason)
    is_framed = "Content-Length" in fields or "Transfer-Encoding" in fields
    if is_framed or method == "HEAD" or status in (204, 304):
        return None
    reason = "the response has no length, so that a truncated one would look whole"
    return ResponseFault(FaultKind.FRAMING, reason)
