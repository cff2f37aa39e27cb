"""Kinds of settings: how a text is read and what is allowed."""

import ipaddress
import math
import re
from typing import Any, Protocol
from urllib.parse import urlsplit

import attrs

from lacewingstair.addresses import split_address

MAX_NAME_CHARACTERS = 100

# Names, IPv4 and IPv6 addresses; the latter contain colons.
_HOST = re.compile(r"[0-9A-Za-z:][0-9A-Za-z.:_-]*")


class Kind(Protocol):
    """How the text of a setting is read.

    Attributes
    ----------
    type_name, unit, allowed : str
        For the page of the settings and for error messages.
    """

    type_name: str
    unit: str
    allowed: str

    def parse(self, text: str) -> Any:
        """Return the value; raise ValueError when the text is not allowed."""
        ...


@attrs.frozen
class Name:
    """A name without spaces."""

    type_name = "name"
    unit = ""
    allowed = f"1 to {MAX_NAME_CHARACTERS} characters without spaces"

    def parse(self, text: str) -> str:
        """Return the name."""
        if not text or len(text) > MAX_NAME_CHARACTERS or len(text.split()) != 1:
            raise ValueError(text)
        return text


@attrs.frozen
class OptionalName(Name):
    """A name without spaces, or nothing."""

    allowed = f"empty, or {Name.allowed}"

    def parse(self, text: str) -> str:
        """Return the name."""
        return super().parse(text) if text else ""


@attrs.frozen
class IpAddress:
    """An IP address with a port."""

    type_name = "address"
    unit = ""
    allowed = "ip:port with a port of 1 to 65535, as 10.0.0.1:7100 or [fd00::1]:7100"

    def parse(self, text: str) -> str:
        """Return the address as it was given."""
        host, port = split_address(text)
        is_bracketed = text.startswith("[")
        if is_bracketed != (ipaddress.ip_address(host).version == 6):
            raise ValueError(text)
        if not 1 <= port <= 65535:
            raise ValueError(text)
        return text


@attrs.frozen
class OptionalAddress(IpAddress):
    """An IP address with a port, or nothing."""

    allowed = f"empty, or {IpAddress.allowed}"

    def parse(self, text: str) -> str:
        """Return the address as it was given."""
        return super().parse(text) if text else ""


@attrs.frozen
class Text:
    """Any text on one line."""

    type_name = "text"
    unit = ""
    allowed = "any text"

    def parse(self, text: str) -> str:
        """Return the text."""
        return text


@attrs.frozen
class Addresses:
    """IP addresses with ports, divided by commas or spaces."""

    type_name = "addresses"
    unit = ""
    allowed = "addresses ip:port, divided by commas or spaces; may be empty"

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the addresses."""
        kind = IpAddress()
        return tuple(kind.parse(part) for part in text.replace(",", " ").split())


@attrs.frozen
class Url:
    """A base URL."""

    type_name = "URL"
    unit = ""
    allowed = "an http:// or https:// URL with a host, without query"

    def parse(self, text: str) -> str:
        """Return the URL."""
        parts = urlsplit(text)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError(text)
        if not _HOST.fullmatch(parts.hostname):
            raise ValueError(text)
        if parts.query or parts.fragment or any(c.isspace() for c in text):
            raise ValueError(text)
        # Reading the port raises ValueError when it is not a port number.
        _ = parts.port
        return text


@attrs.frozen
class Choice:
    """One of a few words."""

    words: tuple[str, ...]
    type_name = "word"
    unit = ""

    @property
    def allowed(self) -> str:
        """The words."""
        return ", ".join(self.words)

    def parse(self, text: str) -> str:
        """Return the word."""
        if text not in self.words:
            raise ValueError(text)
        return text


@attrs.frozen
class Number:
    """A number within a range, bounds included."""

    unit: str
    low: float
    high: float
    is_integer: bool = False

    @property
    def type_name(self) -> str:
        """Type for the page of the settings."""
        return "integer" if self.is_integer else "number"

    @property
    def allowed(self) -> str:
        """The range."""
        article = "an integer" if self.is_integer else "a number"
        return f"{article} from {self.low:.10g} to {self.high:.10g}"

    def parse(self, text: str) -> float | int:
        """Return the number."""
        value = int(text) if self.is_integer else float(text)
        if not math.isfinite(value) or not self.low <= value <= self.high:
            raise ValueError(text)
        return value
