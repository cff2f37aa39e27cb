"""Page and example file of the settings, derived from the declarations."""

import textwrap
from typing import Any

from lacewingstair.settings.declarations import all_settings
from lacewingstair.settings.fields import Setting

_HEADER = """\
# Settings

<!-- Written by `lacewingstair settings-page`;
change src/lacewingstair/settings/declarations.py. -->

`lacewingstaird SETTINGS_FILE` reads one INI file. It is validated whole: every fault is
reported with its line, the value and what is allowed, and the daemon does not start.
`lacewingstair check FILE` does the same offline. Comments start with `#` or `;`.
`examples/lacewingstaird.ini` lists all settings.
"""

_CHECKS = """\
## Checks across settings

* The four addresses differ, and the address in `[vm]` is one that other VMs can reach.
* `silence_seconds` is at least 2 times `heartbeat_seconds`.
* `reconnect_cap_seconds` is at least `reconnect_base_seconds`.
"""

_EXAMPLE_HEADER = """\
# Settings of lacewingstaird. Written by `lacewingstair settings-page --example`.
# Settings without a default have to be given; the others show their default.
"""


def settings_page() -> str:
    """Return the page ``docs/settings.md``."""
    parts = [_HEADER]
    for section in _sections():
        parts.append(f"## `[{section}]`\n")
        parts.append("| key | type | unit | default | allowed | meaning |")
        parts.append("| --- | --- | --- | --- | --- | --- |")
        parts.extend(_row(s) for s in all_settings() if s.section == section)
        parts.append("")
    parts.append(_CHECKS)
    return "\n".join(parts)


def example_file() -> str:
    """Return the example file ``examples/lacewingstaird.ini``."""
    parts = [_EXAMPLE_HEADER]
    for section in _sections():
        parts.append(f"[{section}]")
        for setting in all_settings():
            if setting.section == section:
                parts.extend(_example(setting))
        parts.append("")
    return "\n".join(parts)


def _sections() -> list[str]:
    return list(dict.fromkeys(setting.section for setting in all_settings()))


def _row(setting: Setting) -> str:
    default = "none, required" if setting.is_required else _code(_text(setting.default))
    kind = setting.kind
    cells = (
        f"`{setting.key}`",
        kind.type_name,
        kind.unit,
        default,
        kind.allowed,
        setting.meaning,
    )
    return "| " + " | ".join(cells) + " |"


def _example(setting: Setting) -> list[str]:
    unit = f", {setting.kind.unit}" if setting.kind.unit else ""
    comment = f"{setting.meaning}. Allowed: {setting.kind.allowed}{unit}."
    comment = comment[0].upper() + comment[1:]
    wrapped = textwrap.wrap(comment, 84, initial_indent="# ", subsequent_indent="# ")
    if setting.is_required:
        return [*wrapped, f"{setting.key} = {setting.example}"]
    return [*wrapped, f"#{setting.key} = {_text(setting.default)}".rstrip()]


def _text(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, float):
        return f"{value:.10g}"
    return str(value)


def _code(text: str) -> str:
    return f"`{text}`" if text else "empty"
