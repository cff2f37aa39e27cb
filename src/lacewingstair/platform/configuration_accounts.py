"""Decodes the client accounts of a configuration, each on its own."""

import math
import re
from collections.abc import Mapping
from typing import Any

from lacewingstair.accounts.directory import (
    MAX_KEY_CHARACTERS,
    AccountDirectory,
    ClientAccount,
)
from lacewingstair.errors import Fault
from lacewingstair.platform.configuration_rows import (
    DECODING_ERRORS,
    describe,
    text,
    values_by_column,
    whole,
)

_SECTION = "tenants"
# The name becomes a field of each request, and a key is compared with one.
_NAME = re.compile(r"[\x21-\x7e]+")


def accounts_of(
    section: Mapping[str, Any] | None,
) -> tuple[AccountDirectory | None, list[Fault]]:
    """Return the accounts of a configuration, None if it has no such section.

    An unreadable row is left out, so that its keys identify nobody.

    Raises
    ------
    ValueError
        If no row is readable, and all callers would be refused.
    """
    if section is None:
        return None, []
    columns = tuple(section["columns"])
    accounts_by_name: dict[str, ClientAccount] = {}
    faults: list[Fault] = []
    for place, row in enumerate(section["rows"]):
        try:
            account = _account(values_by_column(columns, row))
            if account.name in accounts_by_name:
                raise ValueError(f"account {account.name!r} is listed twice")
        except DECODING_ERRORS as error:
            faults.append(Fault(f"{_SECTION} row {place}", describe(error)))
            continue
        accounts_by_name[account.name] = account
    if faults and not accounts_by_name:
        raise ValueError(f"no account is readable: {faults[0]}")
    directory = AccountDirectory(accounts_by_name.values())
    if directory.shared_keys:
        reason = f"{len(directory.shared_keys)} keys are held by several accounts"
        faults.append(Fault(_SECTION, reason))
    return directory, faults


def _account(row: Mapping[str, Any]) -> ClientAccount:
    name = text("name", row["name"])
    if not _NAME.fullmatch(name):
        raise ValueError(f"name {name!r:.40} has characters other than visible ASCII")
    priority = row.get("priority")
    return ClientAccount(
        name,
        _keys(row.get("api_keys")),
        None if priority is None else whole("priority", priority),
        _amount("rate_per_s", row.get("rate_per_s")),
        _amount("burst", row.get("burst")),
    )


def _keys(value: Any) -> tuple[str, ...]:
    """Return the keys of an account. Errors must not show a key."""
    if value is None:
        return ()
    if not isinstance(value, list):
        raise ValueError("api_keys are not a list")
    if not all(isinstance(key, str) and _NAME.fullmatch(key) for key in value):
        raise ValueError("a key has characters other than visible ASCII")
    if any(len(key) > MAX_KEY_CHARACTERS for key in value):
        raise ValueError(f"a key has over {MAX_KEY_CHARACTERS} characters")
    return tuple(value)


def _amount(place: str, value: Any) -> float:
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{place} {value!r:.40} is not a number")
    if not 0 <= value < math.inf:
        raise ValueError(f"{place} {value!r:.40} is negative or not finite")
    return float(value)
