"""Health check of the backend server beside this process."""

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from lacewingstair.errors import ConnectError
from lacewingstair.platform import headers
from lacewingstair.vm.entries import MAX_SLOTS, is_valid_name

HEALTH_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class HealthAnswer:
    """What a healthy backend server says of itself.

    Parameters
    ----------
    upstream_id : str
        Its id.
    slots : int
        Calls that it runs at a time; 0 when it does not say.
    work_percent : int
        How long work takes on its machine, in percent of the usual; 0 when it does not
        say.
    """

    upstream_id: str
    slots: int
    work_percent: int = 0


async def ask_health(address: str, path: str) -> Result[HealthAnswer, ConnectError]:
    """Return what a backend server says, or why it is not healthy."""
    timeout = ClientTimeout(total=HEALTH_TIMEOUT_SECONDS)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}{path}") as answer,
        ):
            upstream_id = answer.headers.get(headers.UPSTREAM_ID, "")
            load = headers.upstream_load(answer.headers)
            if (
                answer.status != 200
                or not upstream_id
                or not is_valid_name(upstream_id)
            ):
                return Err(ConnectError(address, f"health status {answer.status}"))
            if load is None:
                return Ok(HealthAnswer(upstream_id, 0))
            slots = min(load.slots, MAX_SLOTS)
            return Ok(HealthAnswer(upstream_id, slots, load.work_percent))
    except (ClientError, TimeoutError, OSError) as error:
        return Err(ConnectError(address, str(error) or type(error).__name__))
