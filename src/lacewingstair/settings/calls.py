"""Settings of calls: retries and limits on clients."""

import attrs

from lacewingstair.caller.connections.client_limits import (
    DEFAULT_LIMITS,
    MAX_APPLICATION_CONNECTIONS,
    ClientLimits,
)
from lacewingstair.settings.fields import count, optional, seconds
from lacewingstair.settings.values import Number


@attrs.frozen
class CallSettings:
    """Calls: retries and limits on requests."""

    retry_share: float = optional(
        "caller",
        "retry_share",
        Number("ratio", 0, 1),
        0.2,
        "share of the calls of a service that may be sent again",
    )
    retry_minimum_per_second: float = optional(
        "caller",
        "retry_minimum_per_second",
        Number("1/s", 0, 1000),
        3.0,
        "retries of a service that all VMs together are always allowed",
    )
    max_connections: int = count(
        "caller",
        "max_connections",
        4096,
        1,
        100_000,
        "connections of callers that are open at a time; further ones are answered 503",
    )
    buffer_bytes: int = count(
        "caller",
        "buffer_bytes",
        64 << 10,
        4 << 10,
        1 << 20,
        "bytes buffered for each direction of a call",
        "bytes",
    )
    max_header_bytes: int = count(
        "caller",
        "max_header_bytes",
        16 << 10,
        1 << 10,
        1 << 20,
        "longest request line or header field",
        "bytes",
    )
    max_head_bytes: int = count(
        "caller",
        "max_head_bytes",
        DEFAULT_LIMITS.max_head_bytes,
        1 << 10,
        1 << 20,
        "request line and header fields together; a larger head is answered 431, at"
        " every address",
        "bytes",
    )
    head_seconds: float = seconds(
        "caller",
        "head_seconds",
        DEFAULT_LIMITS.head_seconds,
        0.1,
        600,
        "longest time from the first byte of a head to its end; then it is answered"
        " 408, at every address",
    )
    max_empty_line_bytes: int = count(
        "caller",
        "max_empty_line_bytes",
        DEFAULT_LIMITS.max_empty_line_bytes,
        2,
        1 << 20,
        "empty lines before a request; more are answered 400, at every address",
        "bytes",
    )
    max_framing_bytes: int = count(
        "caller",
        "max_framing_bytes",
        DEFAULT_LIMITS.max_framing_bytes,
        1 << 10,
        16 << 20,
        "chunk sizes, chunk extensions and trailers of a body, beyond 16 times the"
        " body; more are answered 400, at every address",
        "bytes",
    )
    answer_seconds: float = seconds(
        "caller",
        "answer_seconds",
        DEFAULT_LIMITS.answer_seconds,
        0.1,
        3600,
        "time for which a client may stop taking its answer; then its connection is"
        " closed, at every address",
    )
    min_answer_rate: float = optional(
        "caller",
        "min_answer_rate",
        Number("bytes/s", 1, 1e9),
        DEFAULT_LIMITS.min_answer_rate,
        "rate at which a client has to take its answers; a slower one uses up"
        " answer_seconds",
    )
    max_held_bytes: int = count(
        "caller",
        "max_held_bytes",
        DEFAULT_LIMITS.max_held_bytes,
        1 << 20,
        1 << 30,
        "bytes that clients at all addresses make the process hold: heads, bodies and"
        " answers; beyond it unfinished requests are refused or closed first, and"
        " answers that their clients read last; a single body may have 1.75 times as"
        " many; on machines with less than some 300 MB, a quarter of what exceeds 100"
        " MB",
        "bytes",
    )
    idle_seconds: float = seconds(
        "caller",
        "idle_seconds",
        DEFAULT_LIMITS.idle_seconds,
        1,
        600,
        "time without a call after which a connection makes room for a new one, once"
        " max_connections are open",
    )
    max_other_connections: int = count(
        "caller",
        "max_other_connections",
        MAX_APPLICATION_CONNECTIONS,
        1,
        10_000,
        "connections that are open at a time at each address that is not for callers",
    )

    @property
    def client_limits(self) -> ClientLimits:
        """Limits on the clients of all addresses."""
        names = (field.name for field in attrs.fields(ClientLimits))
        return ClientLimits(**{name: getattr(self, name) for name in names})
