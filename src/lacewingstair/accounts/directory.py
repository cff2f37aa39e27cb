"""Client accounts of a configuration, and the keys that identify them; does no I/O."""

from collections.abc import Iterable, Mapping, Sequence

import attrs
from result import Err, Ok, Result

MAX_KEY_CHARACTERS = 256
_SCHEME = "bearer"


@attrs.frozen
class ClientAccount:
    """Account on whose behalf callers make calls.

    Parameters
    ----------
    name : str
        Unique name, which backend servers get with each call.
    keys : tuple of str
        Keys of its callers.
    priority : int or None
        Rank of its calls, 0 is the highest; None if the rank of the route counts.
    rate_per_second : float
        Calls per second that it may make over all VMs; 0 for no limit.
    burst : float
        Calls that it may make beyond the rate at once.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the number of its calls is limited."""
        return self.rate_per_second > 0


@attrs.frozen
class AuthenticationError:
    """A request names no account. Its caller has to send one valid key.

    Parameters
    ----------
    reason : str
        What is wrong; it never contains a key.
    """

    reason: str

    def __str__(self) -> str:
        return self.reason


class AccountDirectory:
    """Immutable set of accounts, indexed by key.

    A key that several accounts hold identifies none of them.

    Parameters
    ----------
    accounts : iterable of ClientAccount
        Accounts with different names.

    Attributes
    ----------
    accounts_by_name : mapping
        All accounts.
    shared_keys : frozenset of str
        Keys that several accounts hold.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self.accounts_by_name: Mapping[str, ClientAccount] = {
            account.name: account for account in accounts
        }
        self._accounts_by_key: dict[str, ClientAccount] = {}
        shared: set[str] = set()
        for account in self.accounts_by_name.values():
            for key in set(account.keys):
                if key in self._accounts_by_key:
                    shared.add(key)
                self._accounts_by_key[key] = account
        for key in shared:
            del self._accounts_by_key[key]
        self.shared_keys = frozenset(shared)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, AccountDirectory):
            return NotImplemented
        return self.accounts_by_name == other.accounts_by_name

    __hash__ = None

    def authenticate(
        self, credentials: Sequence[str]
    ) -> Result[ClientAccount, AuthenticationError]:
        """Return the account that the credentials of a request identify.

        Parameters
        ----------
        credentials : sequence of str
            Values of all its fields with credentials, each as ``Bearer KEY``.
        """
        if not credentials:
            return Err(AuthenticationError("the request has no key"))
        if len(credentials) > 1:
            reason = (
                f"the request has {len(credentials)} fields with keys, allowed is 1"
            )
            return Err(AuthenticationError(reason))
        scheme, _, key = credentials[0].strip().partition(" ")
        key = key.strip()
        if scheme.lower() != _SCHEME or not key:
            return Err(AuthenticationError("the credentials are not a bearer key"))
        if len(key) > MAX_KEY_CHARACTERS:
            reason = f"the key has over {MAX_KEY_CHARACTERS} characters"
            return Err(AuthenticationError(reason))
        account = self._accounts_by_key.get(key)
        if account is None:
            return Err(AuthenticationError("the key is unknown"))
        return Ok(account)
