"""Reads the whole body of a request, within its limits and its time."""

import asyncio

import attrs
from aiohttp import ClientError, web
from result import Err, Ok, Result

from lacewingstair.caller.messages.body_budget import BodyReservation
from lacewingstair.caller.messages.body_refusal import BodyRefusedError

BODY_MEMORY_FULL_RETRY_AFTER_SECONDS = 0.5


@attrs.frozen
class BodyFault:
    """Reason why a body was not read.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    reason : str
        Message for the caller.
    retry_after_seconds : float or None
        Delay after which a retry may succeed; None if it will not.
    """

    status: int
    reason: str
    retry_after_seconds: float | None = None


async def read_body(
    request: web.BaseRequest,
    limit: int,
    timeout_seconds: float,
    reservation: BodyReservation,
) -> Result[bytes, BodyFault]:
    """Return the body of a request, or why it was not read.

    Parameters
    ----------
    request : web.BaseRequest
        Request whose body is read.
    limit : int
        Largest allowed body, in bytes.
    timeout_seconds : float
        Time in which the body has to arrive.
    reservation : BodyReservation
        Share of the memory for bodies that this call holds.
    """
    if not request.can_read_body:
        return Ok(b"")
    length = request.content_length or 0
    if length > limit:
        return Err(_too_long(limit))
    if not reservation.budget.may_begin(length):
        return Err(_full(reservation))
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(timeout_seconds):
            while True:
                parts.append(await request.content.readany())
                if not parts[-1]:
                    break
                request.kept_body_bytes += len(parts[-1])
                if request.kept_body_bytes > limit:
                    return Err(_too_long(limit))
                if not reservation.grow_to(request.kept_body_bytes):
                    return Err(_full(reservation))
        reservation.complete()
        return Ok(b"".join(parts))
    except TimeoutError:
        size = request.kept_body_bytes
        reason = f"the body was incomplete at the deadline: {size} bytes had arrived"
        return Err(BodyFault(408, reason))
    except BodyRefusedError as error:
        error.__traceback__ = None
        return Err(_full(reservation))
    except (ClientError, ValueError, OSError) as error:
        return Err(BodyFault(400, f"the body is malformed: {error}"))
    finally:
        # The request keeps an exception, and its traceback this frame.
        parts.clear()


def _too_long(limit: int) -> BodyFault:
    return BodyFault(413, f"the body has over the allowed {limit} bytes")


def _full(reservation: BodyReservation) -> BodyFault:
    held = reservation.budget.held_bytes
    reason = f"memory for request bodies is full: open calls hold {held} bytes"
    return BodyFault(503, reason, BODY_MEMORY_FULL_RETRY_AFTER_SECONDS)
