"""Options of calls."""

import attrs

from lacewingstair.backend_server.connection import BUFFER_BYTES
from lacewingstair.http_server import MAX_CONNECTIONS
from lacewingstair.routing.balancing import SLOW_START_SECONDS
from lacewingstair.routing.limits import RETRY_MIN_PER_SECOND, RETRY_SHARE


@attrs.frozen
class CallOptions:
    """Bounds of calls and of the choice of upstreams.

    Parameters
    ----------
    retry_share : float
        Share of the calls of a service that may be sent again.
    retry_minimum_per_second : float
        Retries of a service that all VMs together are always allowed.
    slow_start_seconds : float
        Time in which a new endpoint's share of the calls grows to its full size.
    idle_reuse_seconds : float
        Longest idle time after which a connection is used for a call that must not run
        twice. A backend server closes connections that were idle for long; one used
        within the last second has not met that limit, so such a call rarely fails.
    buffer_bytes : int
        Bytes buffered for each direction of a call.
    max_connections : int
        Connections of callers that are open at a time.
    """

    retry_share: float = RETRY_SHARE
    retry_minimum_per_second: float = RETRY_MIN_PER_SECOND
    slow_start_seconds: float = SLOW_START_SECONDS
    idle_reuse_seconds: float = 1.0
    buffer_bytes: int = BUFFER_BYTES
    max_connections: int = MAX_CONNECTIONS


DEFAULT_OPTIONS = CallOptions()
