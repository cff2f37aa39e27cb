"""Settings of the daemon, read from an INI file and validated whole."""

import configparser
import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from lacewingstair.errors import Fault, SettingsError


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Parameters
    ----------
    mesh, vm_id, region, availability_zone : str
        Who and where the VM is.
    vm_address, caller_address, backend_server_address, operator_address : str
        ``ip:port`` of the four interfaces.
    log_url : str
        Base URL of the platform's log.
    log_retention_seconds : float
        How long the log keeps records; checkpoints are written well before.
    contacts : tuple of str
        VM addresses to start from.
    log_level : str
        Lowest level that is logged.
    """

    mesh: str
    vm_id: str
    region: str
    availability_zone: str
    vm_address: str
    caller_address: str
    backend_server_address: str
    operator_address: str
    log_url: str
    contacts: tuple[str, ...] = ()
    log_retention_seconds: float = 86_400.0
    log_level: str = "info"


@attrs.frozen
class Setting:
    """One setting: where it stands, how it is parsed, and its meaning.

    `parse` raises ValueError with what is allowed.
    """

    section: str
    key: str
    field: str
    parse: Callable[[str], Any]
    meaning: str


def _name(text: str) -> str:
    if not text or len(text) > 100 or any(c.isspace() for c in text):
        raise ValueError("allowed is a name of 1 to 100 characters without spaces")
    return text


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 1 <= int(port) <= 65535:
            raise ValueError
    except ValueError:
        raise ValueError("allowed is ip:port, as 10.0.0.1:7100") from None
    return text


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(_address(part) for part in text.replace(",", " ").split())


def _url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError("allowed is an http:// or https:// URL")
    return text


def _retention(text: str) -> float:
    hours = float(text) if re.fullmatch(r"\d{1,6}(\.\d{1,6})?", text) else 0.0
    if not 0.1 <= hours <= 100_000:
        raise ValueError("allowed are 0.1 to 100000 hours")
    return hours * 3600.0


def _level(text: str) -> str:
    if text not in ("debug", "info", "warning", "error"):
        raise ValueError("allowed are debug, info, warning, error")
    return text


SETTINGS = (
    Setting("vm", "mesh", "mesh", _name, "name of the mesh"),
    Setting("vm", "id", "vm_id", _name, "name of the VM, unique in the mesh"),
    Setting("vm", "region", "region", _name, "region of the VM"),
    Setting("vm", "availability_zone", "availability_zone", _name, "zone of the VM"),
    Setting("vm", "address", "vm_address", _address, "streams between VMs"),
    Setting("vm", "contacts", "contacts", _addresses, "VM addresses to start from"),
    Setting("caller", "address", "caller_address", _address, "HTTP for callers"),
    Setting(
        "backend_server",
        "address",
        "backend_server_address",
        _address,
        "HTTP for announcements",
    ),
    Setting("operator", "address", "operator_address", _address, "HTTP for operators"),
    Setting("platform", "log_url", "log_url", _url, "base URL of the log service"),
    Setting(
        "platform",
        "log_retention_hours",
        "log_retention_seconds",
        _retention,
        "time for which the log keeps records",
    ),
    Setting("log", "level", "log_level", _level, "lowest level that is logged"),
)


def load_settings(path: str) -> Result[Settings, SettingsError]:
    """Return the settings in a file, or every fault of them."""
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(path, (Fault("file", str(error)),)))
    return parse_settings(path, text)


def parse_settings(source: str, text: str) -> Result[Settings, SettingsError]:
    """Return the settings in an INI text, or every fault of them."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Err(SettingsError(source, (Fault("file", str(error)),)))
    faults = _unknown_faults(parser)
    values: dict[str, Any] = {}
    for setting in SETTINGS:
        outcome = _value(parser, setting)
        if isinstance(outcome, Err):
            faults.append(outcome.err_value)
        elif outcome.ok_value is not None:
            values[setting.field] = outcome.ok_value
    if faults:
        return Err(SettingsError(source, tuple(faults)))
    return Ok(Settings(**values))


def _value(parser: configparser.ConfigParser, setting: Setting) -> Result[Any, Fault]:
    place = f"[{setting.section}] {setting.key}"
    text = parser.get(setting.section, setting.key, fallback=None)
    if text is None:
        default = attrs.fields_dict(Settings)[setting.field].default
        if default is attrs.NOTHING:
            return Err(Fault(place, f"missing; it is the {setting.meaning}"))
        return Ok(None)
    try:
        return Ok(setting.parse(text.strip()))
    except ValueError as error:
        return Err(Fault(place, f"{text!r} is not valid; {error}"))


def _unknown_faults(parser: configparser.ConfigParser) -> list[Fault]:
    known = {(s.section, s.key) for s in SETTINGS}
    sections = {s.section for s in SETTINGS}
    faults: list[Fault] = []
    for section in parser.sections():
        if section not in sections:
            faults.append(Fault(f"[{section}]", "unknown section"))
            continue
        for key in parser[section]:
            if (section, key) not in known:
                faults.append(Fault(f"[{section}] {key}", "unknown setting"))
    return faults
