"""Decides whether a request may be forwarded, and on behalf of which account."""

from collections.abc import Callable, Sequence

import attrs
from result import Err, Ok, Result

from lacewingstair.accounts.directory import (
    AccountDirectory,
    AuthenticationError,
    ClientAccount,
)

_NO_KEY = AuthenticationError("the request has no key, and its route is not public")


@attrs.frozen
class Authorization:
    """On whose behalf a call is made.

    Parameters
    ----------
    has_accounts : bool
        Whether the configuration has client accounts.
    account : ClientAccount or None
        Account of the caller; None if the request has no key.
    is_nested : bool
        Whether the backend server of this VM makes the call while it runs another one.
    """

    has_accounts: bool = False
    account: ClientAccount | None = None
    is_nested: bool = False

    @property
    def account_name(self) -> str:
        """Name of the account, or an empty text."""
        return "" if self.account is None else self.account.name

    @property
    def stated_account(self) -> str | None:
        """Name that backend servers get, None if there are no accounts at all."""
        return self.account_name if self.has_accounts else None

    @property
    def priority(self) -> int | None:
        """Rank of the calls of the account, None if the rank of the route counts."""
        return None if self.account is None else self.account.priority


@attrs.frozen
class ParentNotRunning:
    """A nested call without its parent, which a restarted VM no longer knows."""

    def __str__(self) -> str:
        return "the call for which this one is made is not running on this VM"


def authorize(
    accounts: AccountDirectory | None,
    credentials: Sequence[str],
    is_public: bool,
    parent_id: str,
    is_running: Callable[[str], bool],
) -> Result[Authorization, AuthenticationError | ParentNotRunning]:
    """Return on whose behalf a call is made, or why it is refused.

    Parameters
    ----------
    accounts : AccountDirectory or None
        Client accounts; None if callers need no key.
    credentials : sequence of str
        Fields of the request that hold a key.
    is_public : bool
        Whether the route needs no key. A key that is sent all the same has to be valid.
    parent_id : str
        Id of the call for which this one says it is made; empty for a first call.
    is_running : callable
        Returns whether the backend server of this VM runs the call with an id.
    """
    is_nested = bool(parent_id) and is_running(parent_id)
    if accounts is None:
        return Ok(Authorization(is_nested=is_nested))
    if credentials:
        return accounts.authenticate(credentials).map(
            lambda account: Authorization(True, account, is_nested)
        )
    if is_public or is_nested:
        return Ok(Authorization(True, None, is_nested))
    return Err(ParentNotRunning() if parent_id else _NO_KEY)
