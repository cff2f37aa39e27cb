"""Options of sockets that let the kernel detect a peer that has gone silent."""

import socket
from typing import Any

# The time of these is also the longest time for which a dead connection looks alive.
PROBE_AFTER_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2000


def detect_silence(sock: Any) -> None:
    """Let the kernel close a connection whose peer does not answer any more."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", PROBE_AFTER_SECONDS),
        ("TCP_KEEPINTVL", PROBE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", PROBES),
        ("TCP_USER_TIMEOUT", UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


def keep_alive_socket(family: int, kind: int, protocol: int) -> socket.socket:
    """Return a new socket, not connected, that detects a silent peer."""
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    detect_silence(sock)
    return sock
