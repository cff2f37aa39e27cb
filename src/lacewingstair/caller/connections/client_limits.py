"""Limits on what a client makes the process hold, and the reasons for a close."""

import enum

import attrs


class CloseReason(enum.Enum):
    """Why a client was refused, or its connection closed."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TOO_SLOW = "head_too_slow"
    EMPTY_LINES = "empty_lines"
    FRAMING = "framing"
    MALFORMED = "malformed"
    ANSWER_NOT_TAKEN = "answer_not_taken"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    IDLE = "idle"


STATUS_BY_REASON = {
    CloseReason.HEAD_TOO_LARGE: 431,
    CloseReason.HEAD_TOO_SLOW: 408,
    CloseReason.EMPTY_LINES: 400,
    CloseReason.FRAMING: 400,
}


# Memory of a process without clients, on a large mesh.
PROCESS_BYTES = 100_000_000
MEMORY_PER_HELD_BYTE = 4
MIN_HELD_BYTES = 1 << 20


@attrs.frozen
class ClientLimits:
    """Limits on each connection, and on all of a process together.

    Parameters
    ----------
    max_head_bytes : int
        Largest request line and header fields together.
    head_seconds : float
        Longest time from the first byte of a head to its end.
    max_empty_line_bytes : int
        Largest size of the empty lines before a request.
    max_framing_bytes : int
        Largest size of chunk sizes, chunk extensions and trailers of a body, beyond
        `FRAMING_PER_BODY_BYTE` times the body.
    answer_seconds : float
        Longest time for which a client may stop taking its answer.
    min_answer_rate : float
        Bytes per second that a client has to take in the long run.
    max_held_bytes : int
        Bytes that all clients together make the process hold: heads, bodies and
        answers.
    idle_seconds : float
        Connections without a call for longer make room for new ones.
    """

    max_head_bytes: int = 40 << 10
    head_seconds: float = 5.0
    max_empty_line_bytes: int = 1 << 10
    max_framing_bytes: int = 64 << 10
    answer_seconds: float = 15.0
    min_answer_rate: float = 4096.0
    max_held_bytes: int = 48 << 20
    idle_seconds: float = 15.0


def fit_to_memory(limits: ClientLimits, memory_bytes: int) -> ClientLimits:
    """Return limits whose clients hold no more than a machine's memory bears.

    The process has a part of the memory to itself. What a client holds takes more than
    its bytes while it is passed on.

    Parameters
    ----------
    limits : ClientLimits
        Limits of the settings.
    memory_bytes : int
        Memory of the machine.
    """
    rest = max(0, memory_bytes - PROCESS_BYTES) // MEMORY_PER_HELD_BYTE
    most = max(MIN_HELD_BYTES, min(limits.max_held_bytes, rest))
    return attrs.evolve(limits, max_held_bytes=most)


# A chunk of one byte has five bytes of framing, and clients pad sizes with zeros.
FRAMING_PER_BODY_BYTE = 16
DEFAULT_LIMITS = ClientLimits()
# Announcements, operators and readiness checks use a few connections each.
MAX_APPLICATION_CONNECTIONS = 128
