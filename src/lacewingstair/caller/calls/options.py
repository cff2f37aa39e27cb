"""Limits and tunables of call handling."""

import attrs

from lacewingstair.backend_server.connection import BUFFER_BYTES
from lacewingstair.http_server import MAX_CONNECTIONS
from lacewingstair.routing.balancing import SLOW_START_SECONDS
from lacewingstair.routing.limits import RETRY_MIN_PER_SECOND, RETRY_SHARE


@attrs.frozen
class CallOptions:
    """Limits of calls, and tunables of load balancing.

    Parameters
    ----------
    retry_share : float
        Largest ratio of retries to calls of a service.
    retry_minimum_per_second : float
        Retries per second of a service that are always allowed, over all VMs together.
    slow_start_seconds : float
        Time over which the load of a new endpoint ramps up to its full share.
    idle_reuse_seconds : float
        Longest idle time of a kept-alive connection that is reused for a non-idempotent
        call. Backend servers close idle connections, and such a call cannot be retried
        when it meets the close. Connections used within the last second are rarely
        closed.
    buffer_bytes : int
        Size of the buffer for each direction of a call.
    max_connections : int
        Largest number of open connections from callers.
    """

    retry_share: float = RETRY_SHARE
    retry_minimum_per_second: float = RETRY_MIN_PER_SECOND
    slow_start_seconds: float = SLOW_START_SECONDS
    idle_reuse_seconds: float = 1.0
    buffer_bytes: int = BUFFER_BYTES
    max_connections: int = MAX_CONNECTIONS


DEFAULT_OPTIONS = CallOptions()
