"""A call, its attempts at upstreams, and how an attempt ends."""

import asyncio

import attrs
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.caller import headers
from lacewingstair.caller.body import Body
from lacewingstair.errors import InvariantError
from lacewingstair.routing.balancing import Upstream, UpstreamGroup

REFUSAL_STATUSES = (429, 503)


@attrs.define
class Call:
    """One call, ready for dispatch.

    Parameters
    ----------
    method, target : str
        As sent to the upstream.
    header_lines : bytes
        End-to-end header lines.
    body : Body
        Request body.
    has_body : bool
        Whether the request announced a body, if only an empty one.
    route, service, kind : str
        Names in the configuration.
    worth : float
        Worth of its kind.
    customer : str
        Whom the call is for.
    allows_repeat : bool
        Whether it may run twice.
    allows_retry : bool
        False when an outer layer has already repeated it.
    deadline : float
        When its answer is of no use any more, in monotonic seconds.
    not_run_statuses : tuple of int
        Statuses by which the service says that the call did not run.
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
    """One attempt at an upstream; it holds a slot until it is settled.

    `is_given_up` tells that a repeat takes its place, which the budget has allowed.
    """

    call: Call
    group: UpstreamGroup
    upstream: Upstream
    started_at: float
    connection: UpstreamConnection | None = None
    writer: asyncio.Task[None] | None = None
    latency_seconds: float = 0.0
    is_repeat: bool = False
    was_reused: bool = False
    idle_seconds: float = 0.0
    is_settled: bool = False
    is_given_up: bool = False

    def open_connection(self) -> UpstreamConnection:
        """Return the connection, which an attempt has from its sending to its end."""
        if self.connection is None:
            raise InvariantError(f"attempt at {self.upstream.address!r} is not open")
        return self.connection


@attrs.frozen
class Answer:
    """Head of an upstream's answer, and its body to be streamed."""

    attempt: Attempt
    message: RawResponseMessage
    payload: StreamReader
    is_final: bool = True

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.message.code

    @property
    def is_refusal(self) -> bool:
        """Whether the backend server says that the call did not run."""
        is_vouched = self.status in self.attempt.call.not_run_statuses
        if not is_vouched and self.status not in REFUSAL_STATUSES:
            return False
        outcome = self.message.headers.get(headers.OUTCOME)
        if outcome is None:
            return is_vouched
        # A backend server that calls others may pass on that a call may have run.
        return outcome.lower() == headers.OUTCOME_NOT_RUN

    @property
    def forbids_retry(self) -> bool:
        """Whether an inner layer says that repeating is of no use."""
        value = self.message.headers.get(headers.RETRY, "")
        return value.lower() == headers.RETRY_NO


@attrs.frozen
class Failure:
    """An attempt without an answer.

    Parameters
    ----------
    reason : str
        What happened.
    is_sent : bool
        Whether any byte of the call was written; if not, it did not run.
    is_timeout, is_stale, is_busy : bool
        The time ran out; a kept-alive connection was closed while idle; the share of
        connections is used up.
    has_budget : bool
        Whether the attempt was given up for a repeat that the budget has allowed.
    status : int
        Status for the caller when nothing better comes.
    """

    reason: str
    is_sent: bool
    is_timeout: bool = False
    is_stale: bool = False
    is_busy: bool = False
    status: int = 502
    has_budget: bool = False


def fault_of(message: RawResponseMessage, method: str) -> str:
    """Return what makes an answer unusable, or nothing."""
    status, fields = message.code, message.headers
    if status == 101:
        return "the upstream switched protocols"
    has_length = "Content-Length" in fields
    if "Transfer-Encoding" in fields:
        coding = fields.getall("Transfer-Encoding")
        if has_length:
            return "the answer has both Transfer-Encoding and Content-Length"
        if len(coding) != 1 or coding[0].strip().lower() != "chunked":
            return f"the answer has Transfer-Encoding {coding}"
        return ""
    if has_length or method == "HEAD" or status in (204, 304):
        return ""
    return "the answer has no length, so that a truncated one would look whole"
