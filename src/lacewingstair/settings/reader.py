"""Reads settings from an INI file and validates them whole."""

import configparser
import itertools
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from lacewingstair.addresses import split_address
from lacewingstair.errors import Fault, SettingsError
from lacewingstair.platform.bounds import parse_bounds
from lacewingstair.settings.declarations import (
    METADATA_STORE,
    LinkSettings,
    Settings,
    all_settings,
    groups,
)
from lacewingstair.settings.fields import Setting, declared
from lacewingstair.settings.lines import Lines, scan_lines

# configparser copies its default section into all others; no file can name this one.
_NO_DEFAULT_SECTION = "\0"


def load_settings(path: str) -> Result[Settings, SettingsError]:
    """Return the settings in a file, or every fault of them."""
    try:
        text = Path(path).read_text("utf-8")
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
        return Err(SettingsError(path, (Fault("file", reason),)))
    except UnicodeDecodeError as error:
        return Err(SettingsError(path, (Fault("file", f"is not UTF-8: {error}"),)))
    return parse_settings(path, text)


def parse_settings(source: str, text: str) -> Result[Settings, SettingsError]:
    """Return the settings in an INI text, or every fault of them."""
    lines = scan_lines(text)
    faults = list(lines.faults)
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        inline_comment_prefixes=("#", ";"),
        default_section=_NO_DEFAULT_SECTION,
    )
    try:
        parser.read_string(text, source)
    except configparser.MissingSectionHeaderError:
        return Err(SettingsError(source, tuple(faults)))
    except configparser.ParsingError:
        # The lines at fault are listed in `lines`; the others have been read.
        pass
    faults.extend(_unknown_faults(parser, lines))
    reader = _Reader(parser, lines, faults)
    values = reader.read(Settings)
    if "vm_address" in values:
        values.setdefault("vm_id", values["vm_address"])
    read_groups = {name: cls(**reader.read(cls)) for name, cls in groups()}
    faults.extend(_cross_faults({**values, **read_groups}, lines))
    if faults:
        return Err(SettingsError(source, tuple(faults)))
    return Ok(Settings(**values, **read_groups))


@attrs.frozen
class _Reader:
    """Reads the settings of a class and collects faults."""

    parser: configparser.ConfigParser
    lines: Lines
    faults: list[Fault]

    def read(self, cls: type) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for name, setting in declared(cls):
            text = self.parser.get(setting.section, setting.key, fallback=None)
            if text is not None:
                self._parse(values, name, setting, text.strip())
            elif setting.is_required:
                reason = f"missing; it is the {setting.meaning}"
                self.faults.append(Fault(setting.place, reason))
        return values

    def _parse(
        self, values: dict[str, Any], name: str, setting: Setting, text: str
    ) -> None:
        try:
            values[name] = setting.kind.parse(text)
        except ValueError:
            place = self.lines.place(setting.section, setting.key)
            reason = f"{text!r} is not valid; allowed: {setting.kind.allowed}"
            self.faults.append(Fault(place, reason))


def _unknown_faults(parser: configparser.ConfigParser, lines: Lines) -> list[Fault]:
    known = {(s.section, s.key) for s in all_settings()}
    sections = {section for section, _ in known}
    faults: list[Fault] = []
    for section in parser.sections():
        if section not in sections:
            reason = f"unknown section; known: {', '.join(sorted(sections))}"
            faults.append(Fault(lines.place(section, ""), reason))
            continue
        for key in parser[section]:
            if (section, key) not in known:
                keys = ", ".join(sorted(k for s, k in known if s == section))
                reason = f"unknown setting; known in this section: {keys}"
                faults.append(Fault(lines.place(section, key), reason))
    return faults


_ADDRESS_SECTIONS = {
    "vm_address": "vm",
    "caller_address": "caller",
    "backend_server_address": "backend_server",
    "operator_address": "operator",
}


def _cross_faults(values: dict[str, Any], lines: Lines) -> Iterator[Fault]:
    addresses = [(name, values[name]) for name in _ADDRESS_SECTIONS if name in values]
    for (name, first), (other, second) in itertools.combinations(addresses, 2):
        if first == second:
            place = lines.place(_ADDRESS_SECTIONS[other], "address")
            taken = _ADDRESS_SECTIONS[name]
            yield Fault(place, f"{second!r} is also the address of [{taken}]")
    vm_address = values.get("vm_address")
    if vm_address and split_address(vm_address)[0] in ("0.0.0.0", "::"):
        reason = f"{vm_address!r} is not valid; other VMs connect to this address"
        yield Fault(lines.place("vm", "address"), reason)
    yield from _interface_faults(values, lines)
    links = values["links"]
    # A heartbeat that is a little late must not look like a silent link.
    yield from _order_faults(links, 2, "heartbeat_seconds", "silence_seconds", lines)
    yield from _order_faults(
        links, 1, "reconnect_base_seconds", "reconnect_cap_seconds", lines
    )


def _interface_faults(values: dict[str, Any], lines: Lines) -> Iterator[Fault]:
    if values["platform"].interface != METADATA_STORE:
        return
    for name in ("own_address", "own_service"):
        if not getattr(values["backend_servers"], name):
            reason = f"missing; needed with the interface {METADATA_STORE}"
            yield Fault(lines.place("backend_server", name), reason)
    bounds = parse_bounds(values["platform"].bounds)
    if isinstance(bounds, Err):
        yield Fault(lines.place("platform", "bounds"), str(bounds.err_value))


def _order_faults(
    links: LinkSettings, times: int, low: str, high: str, lines: Lines
) -> Iterator[Fault]:
    least = times * getattr(links, low)
    if getattr(links, high) < least:
        shown = f"{times} times {low}" if times > 1 else low
        reason = (
            f"{getattr(links, high)} is not valid; allowed: at least {shown}, {least}"
        )
        yield Fault(lines.place("vm", high), reason)
