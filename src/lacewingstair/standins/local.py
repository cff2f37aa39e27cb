"""Meshes on loopback addresses for the demo and the tests."""

import configparser
import contextlib
import io
import socket
from collections.abc import Sequence

from lacewingstair.settings.declarations import Settings

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now, all different."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            found = stack.enter_context(socket.socket())
            found.bind((LOOPBACK, 0))
            ports.append(found.getsockname()[1])
        return ports


def local_settings(
    vm_id: str, region: str, availability_zone: str, log_url: str, ports: Sequence[int]
) -> Settings:
    """Return the settings of one VM that listens on four ports.

    The ports are those for VMs, callers, backend servers and operators.
    """
    vm, caller, backend_server, operator = (f"{LOOPBACK}:{port}" for port in ports)
    return Settings(
        mesh="local",
        vm_id=vm_id,
        region=region,
        availability_zone=availability_zone,
        vm_address=vm,
        caller_address=caller,
        backend_server_address=backend_server,
        operator_address=operator,
        log_url=log_url,
    )


def settings_text(settings: Settings) -> str:
    """Return the INI text of settings whose groups have their defaults."""
    text_by_key_by_section = {
        "vm": {
            "mesh": settings.mesh,
            "id": settings.vm_id,
            "region": settings.region,
            "availability_zone": settings.availability_zone,
            "address": settings.vm_address,
            "contacts": " ".join(settings.contacts),
        },
        "caller": {"address": settings.caller_address},
        "backend_server": {"address": settings.backend_server_address},
        "operator": {"address": settings.operator_address},
        "platform": {"log_url": settings.log_url},
    }
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(text_by_key_by_section)
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()
