"""Listening sockets that are opened before the program is loaded.

Loading takes a good part of a second after a restart. A caller whose connection is
refused in that time has failed, while one whose connection waits in the queue of a
socket is served as soon as the program runs. Only the standard library is used here, as
the rest is not loaded yet.
"""

import configparser
import contextlib
import socket
from collections.abc import Iterator

# Connections that wait to be accepted; all callers of a VM may come back at once.
BACKLOG = 1024
# Addresses for callers, the own backend server and the readiness check, by section.
_ADDRESS_SETTINGS = (
    ("caller", "address"),
    ("backend_server", "address"),
    ("operator", "ready_address"),
)

SocketsByAddress = dict[str, socket.socket]


def open_sockets(path: str) -> SocketsByAddress:
    """Return listening sockets for addresses of a settings file.

    What cannot be read or opened is left out: the program reads the settings again and
    tells what is wrong.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        parser.read(path, encoding="utf-8")
    except (configparser.Error, OSError, ValueError):
        return {}
    sockets_by_address: SocketsByAddress = {}
    for address in _addresses(parser):
        with contextlib.suppress(OSError, ValueError, OverflowError):
            sockets_by_address[address] = _listen(address)
    return sockets_by_address


def _addresses(parser: configparser.ConfigParser) -> Iterator[str]:
    for section, name in _ADDRESS_SETTINGS:
        address = parser.get(section, name, fallback="").strip()
        if address:
            yield address


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except BaseException:
        opened.close()
        raise
    return opened
