"""Figures of quotas that local admission and coordinators share; does no I/O."""

import zlib

import attrs

from lacewingstair.accounts.directory import ClientAccount

# Accounts are divided into this many groups with one coordinator each, so that a VM
# sends at most so many reports at a time, however many accounts and VMs there are.
GROUPS = 16
# A share is valid for so long after the report that it answers was sent. Twice the
# longest time between reports, so that one lost message changes nothing.
LEASE_SECONDS = 2.5
# Number of VMs that is assumed until the entries of VMs have been read.
ASSUMED_VMS = 100
# Part of the calls beyond the quota that a window allows. Coordinators grant it as
# additional burst; the rest covers calls that are admitted and not reported yet.
EXTRA_BURST_SHARE = 0.3


@attrs.frozen
class QuotaBounds:
    """How exactly quotas are kept.

    Parameters
    ----------
    window_seconds : float
        Length of the sliding window in which calls are counted.
    overage : float
        Calls beyond the quota of a window that may run, as a share of the quota.
    slack : float
        Calls beyond the quota and that share that may run in a window.
    """

    window_seconds: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def extra_calls(self, account: ClientAccount) -> float:
        """Return the calls beyond its quota that an account may make in a window."""
        quota = account.rate_per_second * self.window_seconds + account.burst
        return quota * self.overage + self.slack

    def capacity(self, account: ClientAccount) -> float:
        """Return the size of the token bucket of an account, calls."""
        return account.burst + EXTRA_BURST_SHARE * self.extra_calls(account)


@attrs.frozen
class Reach:
    """VMs as one VM sees them.

    Parameters
    ----------
    connected : frozenset of str
        VMs with a working link, and this one.
    known : int
        Number of all VMs that may admit calls, including this one.
    """

    connected: frozenset[str]
    known: int

    @property
    def size(self) -> int:
        """Number of VMs among which a quota is divided; at least 1."""
        return max(self.known, len(self.connected), 1)


def group_of(account_name: str) -> int:
    """Return the group of an account."""
    return zlib.crc32(account_name.encode()) % GROUPS


def rendezvous_score(vm_id: str, group: int) -> int:
    """Return the rank of a VM for a group; the highest one coordinates it."""
    return zlib.crc32(f"{group}/{vm_id}".encode())
