"""Addresses of the form ``ip:port``."""

MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``; brackets of IPv6 are removed.

    Raises
    ------
    ValueError
        If it has no host, or no port from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not host or not is_number or int(port) > MAX_PORT:
        raise ValueError(f"{address!r:.60} is not of the form ip:port")
    return host.removeprefix("[").removesuffix("]"), int(port)
