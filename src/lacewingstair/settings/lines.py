"""Line numbers of an INI text, which configparser does not give."""

import re
from collections.abc import Mapping

import attrs

from lacewingstair.errors import Fault

_SECTION = re.compile(r"\[(?P<name>.+)\]")
_KEY = re.compile(r"(?P<key>[^\s=:][^=:]*?)\s*[=:]")


@attrs.frozen
class Lines:
    """Where the settings of a text stand.

    Parameters
    ----------
    number_by_place : mapping of (section, key) to int
        Line numbers from 1; the key is empty for a section.
    faults : tuple of Fault
        Lines that are neither section, setting nor comment, and repeated settings.
    """

    number_by_place: Mapping[tuple[str, str], int]
    faults: tuple[Fault, ...]

    def place(self, section: str, key: str) -> str:
        """Return section, key and line number for an error message."""
        shown = f"[{section}] {key}".rstrip()
        number = self.number_by_place.get((section, key))
        return shown if number is None else f"line {number}: {shown}"


def scan_lines(text: str) -> Lines:
    """Return the places of the settings in an INI text."""
    number_by_place: dict[tuple[str, str], int] = {}
    faults: list[Fault] = []
    section = None
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        is_continuation = line[:1].isspace() and section is not None
        if not stripped or stripped[0] in "#;" or is_continuation:
            continue
        header = _SECTION.match(stripped)
        if header:
            section = header["name"]
            number_by_place.setdefault((section, ""), number)
            continue
        key = _KEY.match(stripped)
        if section is None or key is None:
            reason = f"{stripped!r} is not valid; allowed: [section] or key = value"
            faults.append(Fault(f"line {number}", reason))
            continue
        place = (section, key["key"].lower())
        if place in number_by_place:
            reason = f"already set in line {number_by_place[place]}"
            faults.append(Fault(f"line {number}: [{section}] {place[1]}", reason))
            continue
        number_by_place[place] = number
    return Lines(number_by_place, tuple(faults))
