"""Coordinates the quotas of client accounts over all VMs; does no I/O.

Load pattern: VMs admit calls of an account at the same time, and none of them sees the
others. The coordinator of the account keeps its token bucket, charges it with what VMs
report, and divides rate and tokens among the VMs (`accounts.quota_shares`). It grants
only the part of the quota that belongs to VMs it hears from, so that the parts of a
partition together stay within the quota.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota_buckets import (
    OVERDUE_SECONDS,
    STEADY_SECONDS,
    TOTAL_SECONDS,
    Bucket,
    Member,
    VmUsage,
)
from lacewingstair.accounts.quota_messages import (
    BY_TOKENS,
    MILLI,
    UNLIMITED,
    AccountShare,
    AccountUsage,
    QuotaGrant,
    QuotaReport,
)
from lacewingstair.accounts.quota_shares import VmShare, divide
from lacewingstair.accounts.quota_terms import GROUPS, QuotaBounds, Reach, group_of

# Part of the calls beyond the quota of a window that a new coordinator starts with, so
# that small accounts are not limited after each change of coordinator.
FIRST_TOKENS_SHARE = 0.1
# An account is limited when its bucket may be used up before the next reports arrive.
LOOKAHEAD_SECONDS = 0.3
LIMITED_TOKENS_SHARE = 0.25
# The same for an account that is limited already, so that it does not alternate.
STILL_LIMITED_TOKENS_SHARE = 0.4
# A division is kept for so long, while the account is limited and otherwise.
LIMITED_DIVISION_SECONDS = 0.05
DIVISION_SECONDS = 0.2
# While an account is limited, each VM gets its share at least so often.
REFRESH_SECONDS = 0.5
# A new coordinator grants no more than its VMs hold already, since an earlier one may
# still be granting the rest.
TAKEOVER_SECONDS = 3.0
# Without reports for so long, a bucket is full again.
FORGET_SECONDS = 10.0


class QuotaCoordinator:
    """Coordinates the accounts for which VMs report to this one.

    Parameters
    ----------
    vm_id : str
        This VM.
    bounds : QuotaBounds
        How exactly quotas are kept.
    accounts : callable
        Returns the accounts of the configuration in force by name.
    reach : callable
        Returns the VMs that this one sees.
    """

    def __init__(
        self,
        vm_id: str,
        bounds: QuotaBounds,
        accounts: Callable[[], Mapping[str, ClientAccount]],
        reach: Callable[[], Reach],
    ) -> None:
        self._vm_id = vm_id
        self._bounds = bounds
        self._accounts = accounts
        self._reach = reach
        self._buckets_by_account: dict[str, Bucket] = {}
        self._members_by_vm_id: dict[str, Member] = {}
        self._since_by_group: dict[int, float] = {}
        self._reported_at_by_group: list[dict[str, float]] = [{} for _ in range(GROUPS)]
        self._announced: set[str] = set()

    @property
    def has_announcements(self) -> bool:
        """Whether VMs have to be told of an account that is or was limited."""
        return bool(self._announced)

    def set_groups(self, groups: Iterable[int], now: float) -> None:
        """Take the groups of accounts that this VM coordinates in its own view."""
        groups = set(groups)
        for group in self._since_by_group.keys() - groups:
            del self._since_by_group[group]
        gained = groups - self._since_by_group.keys()
        for group in gained:
            self._since_by_group[group] = now
        for name, bucket in list(self._buckets_by_account.items()):
            # What was admitted since the last report is unknown.
            is_outdated = now - bucket.reported_at >= OVERDUE_SECONDS
            group = group_of(name)
            if is_outdated and (group in gained or group not in groups):
                self._forget(name)

    def take_report(self, report: QuotaReport, now: float) -> QuotaGrant | None:
        """Charge what a VM has admitted; return its shares, None if it asks for none.

        Parameters
        ----------
        report : QuotaReport
            The report.
        now : float
            Monotonic seconds.
        """
        member = self._members_by_vm_id.get(report.vm_id)
        if member is not None and member.incarnation == report.incarnation:
            if report.number <= member.number:
                return None
            member.number, member.received_at = report.number, now
            member.is_followed = report.is_followed
        else:
            self._members_by_vm_id[report.vm_id] = Member(
                report.incarnation, report.number, now, report.is_followed
            )
        for group in range(GROUPS):
            if report.groups >> group & 1:
                self._reported_at_by_group[group][report.vm_id] = now
        if not report.usages:
            return None
        accounts = self._accounts()
        shares = []
        for usage in report.usages:
            account = accounts.get(usage.account)
            if account is None or not account.has_quota:
                continue
            bucket = self._bucket(account, now)
            self._charge(bucket, report, usage, now)
            shares.append(self._share(account, bucket, report.vm_id, now))
        return QuotaGrant(
            self._vm_id, report.incarnation, report.number, tuple(shares), 0
        )

    def due(self, now: float) -> list[tuple[str, QuotaGrant]]:
        """Return the shares of limited accounts that VMs have to get now."""
        self._sweep(now)
        grants = []
        if not self._announced:
            return grants
        for vm_id in self._reach().connected:
            shares = tuple(self._outdated_shares(vm_id, now))
            if not shares:
                continue
            member = self._members_by_vm_id.get(vm_id)
            if member is None:
                grants.append((vm_id, QuotaGrant(self._vm_id, 0, 0, shares)))
                continue
            age_ms = round((now - member.received_at) * 1000)
            grant = QuotaGrant(
                self._vm_id, member.incarnation, member.number, shares, age_ms
            )
            grants.append((vm_id, grant))
        self._announced = {
            name
            for name in self._announced
            if self._buckets_by_account[name].is_limited
        }
        return grants

    def _outdated_shares(self, vm_id: str, now: float) -> Iterable[AccountShare]:
        accounts = self._accounts()
        for name in list(self._announced):
            account, bucket = accounts.get(name), self._buckets_by_account[name]
            if group_of(name) not in self._since_by_group:
                continue
            granted_at = bucket.granted_at_by_vm_id.get(vm_id, -math.inf)
            latest = bucket.changed_at
            if bucket.is_limited:
                latest = max(latest, now - REFRESH_SECONDS)
            if account is not None and granted_at <= latest:
                yield self._share(account, bucket, vm_id, now)

    def _sweep(self, now: float) -> None:
        accounts = self._accounts()
        for name, bucket in list(self._buckets_by_account.items()):
            account = accounts.get(name)
            is_unused = now - bucket.reported_at >= FORGET_SECONDS
            if account is None or not account.has_quota or is_unused:
                self._forget(name)
            elif bucket.is_limited:
                self._update(account, bucket, now)
        for vm_id, member in list(self._members_by_vm_id.items()):
            if now - member.received_at >= FORGET_SECONDS:
                del self._members_by_vm_id[vm_id]
                for reported_at_by_vm_id in self._reported_at_by_group:
                    reported_at_by_vm_id.pop(vm_id, None)

    def _forget(self, name: str) -> None:
        del self._buckets_by_account[name]
        self._announced.discard(name)

    def _bucket(self, account: ClientAccount, now: float) -> Bucket:
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            # An earlier coordinator may have granted all that it had. What was refilled
            # since then is unused, as no VM has reported a call.
            since = self._since_by_group.get(group_of(account.name), now)
            part = self._part(now)
            tokens = (now - since) * account.rate_per_second
            tokens += FIRST_TOKENS_SHARE * self._bounds.extra_calls(account)
            tokens = part * min(tokens, self._bounds.capacity(account))
            bucket = Bucket(tokens, now, since, now, capacity=tokens)
            self._buckets_by_account[account.name] = bucket
        bucket.reported_at = now
        return bucket

    def _charge(
        self, bucket: Bucket, report: QuotaReport, usage: AccountUsage, now: float
    ) -> None:
        """Charge the calls that were admitted since the last report."""
        known = bucket.usages_by_vm_id.get(report.vm_id)
        bucket.recent_asked = bucket.recent_at(now)
        bucket.counted_at = now
        asked, admitted = usage.new_asked, usage.new_admitted
        if known is not None and known.incarnation == report.incarnation:
            # Other coordinators may have charged calls meanwhile. Fewer calls than
            # before have been admitted if some have not run for lack of capacity.
            asked = min(asked, usage.asked - known.asked)
            admitted = min(admitted, usage.admitted - known.admitted)
        else:
            # While no coordinator answered, the VM has used the share that it holds.
            used = usage.milli_rate / MILLI * report.waiting_ms / 1000
            admitted = max(admitted - used, min(admitted, 0.0))
        demand = asked / STEADY_SECONDS
        if known is not None:
            demand = known.demand_after(asked, now)
        bucket.recent_asked += asked
        bucket.tokens -= admitted
        if known is not None:
            bucket.tokens += known.withheld
        bucket.usages_by_vm_id[report.vm_id] = VmUsage(
            report.incarnation,
            usage.asked,
            usage.admitted,
            demand,
            now,
            usage.milli_rate / MILLI,
        )

    def _update(self, account: ClientAccount, bucket: Bucket, now: float) -> None:
        """Refill the bucket, and divide it again if the division is outdated."""
        elapsed, bucket.refilled_at = now - bucket.refilled_at, now
        bucket.tokens = min(bucket.tokens + elapsed * bucket.rate, bucket.capacity)
        keep = LIMITED_DIVISION_SECONDS if bucket.is_limited else DIVISION_SECONDS
        if bucket.division is not None and now - bucket.divided_at < keep:
            self._set_limited(account, bucket, now)
            return
        demands = self._demands(bucket, now)
        part = self._part(now)
        size = self._reach().size
        bucket.rate = account.rate_per_second * part
        if now - bucket.since < TAKEOVER_SECONDS:
            equal = account.rate_per_second / size
            bucket.rate = min(bucket.rate, self._held(account, bucket, equal, now))
        bucket.capacity = self._bounds.capacity(account) * part
        bucket.tokens = min(bucket.tokens, bucket.capacity)
        total = bucket.recent_at(now) / TOTAL_SECONDS
        bucket.demand = max(sum(demands.values()), total)
        bucket.division = divide(
            demands,
            bucket.demand,
            max(1, round(part * size)),
            bucket.rate,
            bucket.tokens,
        )
        bucket.divided_at = now
        self._set_limited(account, bucket, now)

    def _demands(self, bucket: Bucket, now: float) -> dict[str, float]:
        """Return the demand of each VM that is heard from.

        A VM that falls silent still uses its share. Until it is known to be out of
        reach, its share is not given to others, and its part of the refill is withheld
        until it reports again.
        """
        demands = {}
        elapsed = now - max(bucket.divided_at, bucket.since)
        for vm_id, usage in list(bucket.usages_by_vm_id.items()):
            member = self._members_by_vm_id.get(vm_id)
            if member is None or now - usage.updated_at >= FORGET_SECONDS:
                del bucket.usages_by_vm_id[vm_id]
                continue
            if member.is_overdue(now):
                continue
            known_until = member.received_at if member.is_followed else now
            demands[vm_id] = usage.demand_at(known_until)
            is_silent = member.is_followed and now - known_until >= STEADY_SECONDS
            if is_silent and bucket.division is not None:
                amount = bucket.division.of(vm_id).part * bucket.rate * elapsed
                usage.withheld += amount
                bucket.tokens -= amount
        return demands

    def _held(
        self, account: ClientAccount, bucket: Bucket, equal: float, now: float
    ) -> float:
        """Return the rate that those VMs hold that take this one as coordinator."""
        total = 0.0
        reporters = self._reported_at_by_group[group_of(account.name)]
        for vm_id, reported_at in reporters.items():
            if reported_at >= bucket.since and self._is_heard(vm_id, now):
                usage = bucket.usages_by_vm_id.get(vm_id)
                total += equal if usage is None else max(equal, usage.held_rate)
        return total

    def _set_limited(self, account: ClientAccount, bucket: Bucket, now: float) -> None:
        share = (
            STILL_LIMITED_TOKENS_SHARE if bucket.is_limited else LIMITED_TOKENS_SHARE
        )
        excess = max(0.0, bucket.demand - bucket.rate)
        least = share * bucket.capacity + LOOKAHEAD_SECONDS * excess
        was_limited = bucket.is_limited
        bucket.is_limited = bucket.tokens < min(least, bucket.capacity)
        if bucket.is_limited != was_limited:
            bucket.changed_at = now
        if bucket.is_limited or bucket.changed_at == now:
            self._announced.add(account.name)

    def _part(self, now: float) -> float:
        """Return the part of all VMs that this one hears from."""
        reach = self._reach()
        heard = sum(self._is_heard(vm_id, now) for vm_id in reach.connected)
        return max(heard, 1) / reach.size

    def _is_heard(self, vm_id: str, now: float) -> bool:
        member = self._members_by_vm_id.get(vm_id)
        return member is None or not member.is_overdue(now)

    def _share(
        self, account: ClientAccount, bucket: Bucket, vm_id: str, now: float
    ) -> AccountShare:
        self._update(account, bucket, now)
        found = bucket.division.of(vm_id)
        usage = bucket.usages_by_vm_id.get(vm_id)
        bucket.granted_at_by_vm_id[vm_id] = now
        return AccountShare(
            account.name,
            -1 if usage is None else usage.asked,
            -1 if usage is None else usage.admitted,
            round(found.part * bucket.tokens * MILLI),
            round(found.part * bucket.capacity * MILLI),
            round(found.part * bucket.rate * MILLI),
            _permille(found, bucket.is_limited),
        )

    def status(self) -> list[Mapping[str, Any]]:
        """Return the state of each account that this VM coordinates."""
        return [
            {
                "account": name,
                "tokens": round(bucket.tokens, 1),
                "rate_per_second": round(bucket.rate, 2),
                "demand_per_second": round(bucket.demand, 2),
                "is_limited": bucket.is_limited,
                "vms": len(bucket.usages_by_vm_id),
            }
            for name, bucket in sorted(self._buckets_by_account.items())
        ]


def _permille(share: VmShare, is_limited: bool) -> int:
    if not is_limited:
        return UNLIMITED
    if share.chance is None:
        return BY_TOKENS
    return round(share.chance * MILLI)
