"""Messages between VMs about the quotas of client accounts.

Counts are totals since the start of the sending process, so that the next message makes
up for a lost one. Times of day never occur, since the clocks of VMs differ.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import attrs

MILLI = 1000
MAX_NAME_CHARACTERS = 255
MAX_COUNT = 1 << 53


class AccountUsage(NamedTuple):
    """Calls of one account on a VM.

    Parameters
    ----------
    account : str
        Name of the account.
    asked, admitted : int
        Calls since the start of the process.
    new_asked, new_admitted : int
        Those of them that no coordinator has answered for.
    milli_rate : int
        Share of the rate that the VM holds, thousandths of calls per second.
    """

    account: str
    asked: int
    admitted: int
    new_asked: int
    new_admitted: int
    milli_rate: int


class AccountShare(NamedTuple):
    """Share of the quota of one account.

    Parameters
    ----------
    account : str
        Name of the account.
    asked, admitted : int
        Totals of the VM that the share takes into account; -1 if none are known.
    milli_tokens, milli_capacity : int
        Part of the token bucket, thousandths of calls; tokens are negative while more
        was admitted than the quota allows.
    milli_rate : int
        Part of the rate, thousandths of calls per second.
    permille : int
        Probability with which a call is admitted by a VM whose share is too small to
        count single calls, thousandths; `UNLIMITED` while the account is far below its
        quota, and `BY_TOKENS` if tokens alone decide.
    """

    account: str
    asked: int
    admitted: int
    milli_tokens: int
    milli_capacity: int
    milli_rate: int
    permille: int


UNLIMITED = -1
BY_TOKENS = -2


@attrs.frozen
class QuotaReport:
    """What a VM has admitted, for the coordinator of these accounts.

    Parameters
    ----------
    vm_id : str
        The reporting VM.
    incarnation : int
        Identifies its process, whose totals began at zero.
    number : int
        Rises with each report of the process.
    usages : tuple of AccountUsage
        Accounts whose totals have changed since the last answer.
    groups : int
        Groups of accounts that the receiver coordinates in the view of the sender, one
        bit each.
    is_followed : bool
        Whether another report follows within a second.
    waiting_ms : int
        Time since the first report without an answer, for one of these accounts.
    """

    vm_id: str
    incarnation: int
    number: int
    usages: tuple[AccountUsage, ...]
    groups: int = 0
    is_followed: bool = True
    waiting_ms: int = 0


@attrs.frozen
class QuotaGrant:
    """Shares of quotas, as an answer to a report or while an account is limited.

    Parameters
    ----------
    vm_id : str
        The coordinator.
    incarnation : int
        Process that the number refers to.
    number : int
        Newest report of the receiver that the shares take into account, 0 for none.
    shares : tuple of AccountShare
        Shares of the receiver.
    age_ms : int
        Time from the receipt of that report to the sending of the grant.
    """

    vm_id: str
    incarnation: int
    number: int
    shares: tuple[AccountShare, ...]
    age_ms: int = 0


def usages_from_values(values: Iterable[Any]) -> tuple[AccountUsage, ...]:
    """Return usages from a decoded message; raise ValueError if one is invalid."""
    return tuple(AccountUsage(*_checked(fields, -MAX_COUNT)) for fields in values)


def shares_from_values(values: Iterable[Any]) -> tuple[AccountShare, ...]:
    """Return shares from a decoded message; raise ValueError if one is invalid."""
    return tuple(AccountShare(*_checked(fields, -MAX_COUNT)) for fields in values)


def _checked(fields: Any, minimum: int) -> Any:
    name, *numbers = fields
    if type(name) is not str or len(name) > MAX_NAME_CHARACTERS:
        raise ValueError("an account name has the wrong type or is too long")
    for number in numbers:
        if type(number) is not int or not minimum <= number <= MAX_COUNT:
            raise ValueError("a figure has the wrong type or is out of range")
    return fields
