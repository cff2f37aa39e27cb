"""Reports of a VM to the coordinators of its accounts; does no I/O."""

import itertools
from collections.abc import Iterator, Mapping

import attrs

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota import LocalQuota, QuotaAdmission
from lacewingstair.accounts.quota_messages import (
    MILLI,
    AccountUsage,
    QuotaGrant,
    QuotaReport,
)
from lacewingstair.accounts.quota_terms import (
    GROUPS,
    Reach,
    group_of,
    rendezvous_score,
)

REPORT_INTERVAL_SECONDS = 0.5
# Pause between reports that are due at once. Covers a round trip between regions.
EARLY_INTERVAL_SECONDS = 0.05
# A coordinator that has not answered several reports for so long is replaced, although
# its link seems to work; it is tried again later.
SILENCE_SECONDS = 1.2
MIN_UNANSWERED_REPORTS = 2
AVOIDED_SECONDS = 5.0
REMEMBERED_REPORTS = 8


@attrs.define(eq=False)
class _Peer:
    """A coordinator that has got reports.

    Parameters
    ----------
    sent_at : float
        When it got the newest one, monotonic seconds.
    sent_at_by_number : dict
        The same for the newest few.
    waiting_since : float or None
        When the first report without an answer was sent.
    unanswered : int
        Number of reports without an answer.
    is_followed : bool
        Whether it expects another report.
    """

    sent_at: float = float("-inf")
    sent_at_by_number: dict[int, float] = attrs.field(factory=dict)
    waiting_since: float | None = None
    unanswered: int = 0
    is_followed: bool = False

    def is_silent(self, now: float) -> bool:
        """Return whether the coordinator seems to be gone."""
        if self.waiting_since is None or self.unanswered < MIN_UNANSWERED_REPORTS:
            return False
        return now - self.waiting_since >= SILENCE_SECONDS


class QuotaReporter:
    """Decides when which coordinator gets which report.

    Parameters
    ----------
    vm_id : str
        This VM.
    incarnation : int
        Identifies this process.
    admission : QuotaAdmission
        Holds the counts and takes the shares.

    Attributes
    ----------
    has_pending : bool
        Whether a report is or will be due.
    """

    def __init__(self, vm_id: str, incarnation: int, admission: QuotaAdmission) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._admission = admission
        self._numbers = itertools.count(1)
        self._pending_by_group: dict[int, dict[str, LocalQuota]] = {}
        self._early_groups: set[int] = set()
        self._peers_by_vm_id: dict[str, _Peer] = {}
        self._avoided_until_by_vm_id: dict[str, float] = {}
        self._candidates: frozenset[str] = frozenset()
        self._coordinators: list[str] = [vm_id] * GROUPS
        self._masks_by_vm_id: dict[str, int] = {}
        self._is_alone = True

    @property
    def has_pending(self) -> bool:
        """Whether a report is or will be due."""
        return bool(self._pending_by_group) or any(
            peer.is_followed for peer in self._peers_by_vm_id.values()
        )

    def own_groups(self) -> Iterator[int]:
        """Yield the groups that this VM coordinates in its own view."""
        for group, vm_id in enumerate(self._coordinators):
            if vm_id == self._vm_id:
                yield group

    def coordinator_of(self, account_name: str) -> str:
        """Return the VM that coordinates an account in this VM's view."""
        return self._coordinators[group_of(account_name)]

    def note_pending(self, local: LocalQuota) -> None:
        """Take the news that calls of an account have to be reported."""
        group = group_of(local.account.name)
        pending = self._pending_by_group.setdefault(group, {})
        pending[local.account.name] = local
        if local.is_early:
            self._early_groups.add(group)

    def set_reach(self, reach: Reach, now: float) -> None:
        """Choose coordinators among the VMs that can be reached and that answer.

        A new coordinator gets a report at once, even without a call, so that it knows
        of whom it divides the quota.
        """
        self._is_alone = reach.is_alone
        for vm_id, peer in list(self._peers_by_vm_id.items()):
            if vm_id not in reach.connected:
                del self._peers_by_vm_id[vm_id]
            elif peer.is_silent(now):
                self._avoided_until_by_vm_id[vm_id] = now + AVOIDED_SECONDS
                del self._peers_by_vm_id[vm_id]
        for vm_id, until in list(self._avoided_until_by_vm_id.items()):
            if until <= now:
                del self._avoided_until_by_vm_id[vm_id]
        candidates = reach.connected - self._avoided_until_by_vm_id.keys()
        candidates |= {self._vm_id}
        if candidates == self._candidates:
            return
        self._candidates = candidates
        former = self._masks_by_vm_id
        self._coordinators = [
            max(candidates, key=lambda vm_id: rendezvous_score(vm_id, group))
            for group in range(GROUPS)
        ]
        self._masks_by_vm_id = {}
        for group, vm_id in enumerate(self._coordinators):
            mask = self._masks_by_vm_id.get(vm_id, 0) | 1 << group
            self._masks_by_vm_id[vm_id] = mask
        for vm_id, mask in self._masks_by_vm_id.items():
            if mask & ~former.get(vm_id, 0):
                self._peers_by_vm_id.setdefault(vm_id, _Peer()).is_followed = True

    def due(self, now: float) -> list[tuple[str, QuotaReport]]:
        """Return the reports that are due, each with the VM that gets it.

        A VM that is connected to no other coordinates nothing and keeps to its static
        share, since many such VMs would each admit calls beyond their part.
        """
        if self._is_alone:
            return []
        groups_by_vm_id: dict[str, list[int]] = {}
        for group in self._pending_by_group:
            vm_id = self._coordinators[group]
            groups_by_vm_id.setdefault(vm_id, []).append(group)
        for vm_id, peer in self._peers_by_vm_id.items():
            if peer.is_followed:
                groups_by_vm_id.setdefault(vm_id, [])
        reports = []
        for vm_id, groups in groups_by_vm_id.items():
            peer = self._peers_by_vm_id.setdefault(vm_id, _Peer())
            is_early = not self._early_groups.isdisjoint(groups)
            pause = EARLY_INTERVAL_SECONDS if is_early else REPORT_INTERVAL_SECONDS
            if now - peer.sent_at < pause:
                continue
            mask = self._masks_by_vm_id.get(vm_id, 0)
            report = self._report(peer, groups, mask, now)
            if report is not None:
                reports.append((vm_id, report))
        return reports

    def _report(
        self, peer: _Peer, groups: list[int], mask: int, now: float
    ) -> QuotaReport | None:
        waiting_ms = round(self._longest_wait(groups, now) * 1000)
        usages = tuple(self._usages(groups, now))
        if not usages and not peer.is_followed:
            return None
        number = next(self._numbers)
        peer.sent_at = peer.sent_at_by_number[number] = now
        peer.is_followed = bool(usages)
        if len(peer.sent_at_by_number) > REMEMBERED_REPORTS:
            del peer.sent_at_by_number[min(peer.sent_at_by_number)]
        if usages:
            peer.unanswered += 1
            if peer.waiting_since is None:
                peer.waiting_since = now
        return QuotaReport(
            self._vm_id,
            self._incarnation,
            number,
            usages,
            mask,
            peer.is_followed,
            waiting_ms,
        )

    def _longest_wait(self, groups: list[int], now: float) -> float:
        """Return the time since the first report without an answer."""
        return max(
            (
                now - local.waiting_since
                for group in groups
                for local in self._pending_by_group[group].values()
                if local.waiting_since is not None
            ),
            default=0.0,
        )

    def _usages(self, groups: list[int], now: float) -> Iterator[AccountUsage]:
        for group in groups:
            self._early_groups.discard(group)
            pending = self._pending_by_group[group]
            for name, local in list(pending.items()):
                is_answered = local.asked == local.answered_asked
                if is_answered and local.admitted == local.answered_admitted:
                    local.is_pending = local.is_early = False
                    del pending[name]
                    continue
                local.is_early = False
                local.set_early()
                if local.waiting_since is None:
                    local.waiting_since = now
                yield AccountUsage(
                    name,
                    local.asked,
                    local.admitted,
                    local.asked - local.answered_asked,
                    local.admitted - local.answered_admitted,
                    round(local.rate_per_second * MILLI),
                )
            if not pending:
                del self._pending_by_group[group]

    def retain(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Forget the accounts that are not among these or have no quota."""
        kept = {name for name, account in accounts.items() if account.has_quota}
        for group, pending in list(self._pending_by_group.items()):
            for name in pending.keys() - kept:
                del pending[name]
            if not pending:
                del self._pending_by_group[group]

    def take_grant(
        self, grant: QuotaGrant, accounts: Mapping[str, ClientAccount], now: float
    ) -> None:
        """Apply the shares of a grant, unless it is too old.

        Parameters
        ----------
        grant : QuotaGrant
            The grant.
        accounts : mapping
            Accounts of the configuration in force by name.
        now : float
            Monotonic seconds.
        """
        peer = self._peers_by_vm_id.get(grant.vm_id)
        is_own = grant.incarnation == self._incarnation and grant.number > 0
        based_at = now
        if is_own:
            sent_at = peer and peer.sent_at_by_number.get(grant.number)
            if sent_at is None:
                return
            based_at = min(now, sent_at + grant.age_ms / 1000)
            peer.waiting_since, peer.unanswered = None, 0
        for share in grant.shares:
            account = accounts.get(share.account)
            if account is None or not account.has_quota:
                continue
            if self.coordinator_of(share.account) != grant.vm_id:
                # An earlier coordinator, which no longer sees the demand.
                continue
            local = self._admission.local(account, now)
            if not is_own:
                share = share._replace(asked=-1)
            self._admission.take_share(local, share, based_at, now)
            local.waiting_since = None
