"""Exchanges reports and shares of quotas with the coordinators on other VMs."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota import LocalQuota, QuotaAdmission
from lacewingstair.accounts.quota_coordinator import QuotaCoordinator
from lacewingstair.accounts.quota_messages import QuotaGrant, QuotaReport
from lacewingstair.accounts.quota_reports import QuotaReporter
from lacewingstair.accounts.quota_terms import ASSUMED_VMS, QuotaBounds, Reach
from lacewingstair.runtime import Clock

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.25
REACH_SECONDS = 0.25


class QuotaExchange:
    """Admission, reports and coordination of one VM.

    Nothing runs and no message is sent before the first call of an account with a
    quota.

    Parameters
    ----------
    vm_id : str
        This VM.
    incarnation : int
        Identifies this process.
    bounds : QuotaBounds
        How exactly quotas are kept.
    accounts : callable
        Returns the accounts of the configuration in force by name, empty without any.
    reach : callable
        Returns the VMs that this one sees.
    send : callable
        Sends a message to a VM, or drops it.
    clock, rng
        Clock and random generator.

    Attributes
    ----------
    admission : QuotaAdmission
        Decides about calls.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: int,
        bounds: QuotaBounds,
        accounts: Callable[[], Mapping[str, ClientAccount]],
        reach: Callable[[], Reach],
        send: Callable[[str, Any], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._vm_id = vm_id
        self._accounts = accounts
        self._accounts_at_retain: Mapping[str, ClientAccount] = {}
        self._read_reach = reach
        self._reach = Reach(frozenset((vm_id,)), ASSUMED_VMS)
        self._reach_read_at = float("-inf")
        self._send = send
        self._clock = clock
        self._work = asyncio.Event()
        self.admission = QuotaAdmission(
            bounds, lambda: self._reach.size, rng, clock.monotonic(), self._note_pending
        )
        self._reporter = QuotaReporter(vm_id, incarnation, self.admission)
        self._coordinator = QuotaCoordinator(
            vm_id, bounds, accounts, lambda: self._reach
        )

    async def run(self) -> None:
        """Send what is due, until cancelled."""
        while True:
            await self._work.wait()
            has_due = self._reporter.has_pending or self._coordinator.has_announcements
            await self._clock.sleep(TICK_SECONDS if has_due else IDLE_TICK_SECONDS)
            self.tick()
            if not self._accounts():
                self._work.clear()

    def tick(self) -> None:
        """Send all messages that are due."""
        now = self._clock.monotonic()
        self._retain()
        if now - self._reach_read_at >= REACH_SECONDS:
            self._refresh_reach(now)
        for vm_id, report in self._reporter.due(now):
            if vm_id == self._vm_id:
                self.take_report(report)
            else:
                self._send(vm_id, report)
        for vm_id, grant in self._coordinator.due(now):
            self._pass_grant(vm_id, grant)

    def take(self, message: QuotaReport | QuotaGrant) -> None:
        """Take a message of another VM."""
        if isinstance(message, QuotaReport):
            self.take_report(message)
        else:
            self.take_grant(message)

    def take_report(self, report: QuotaReport) -> None:
        """Take a report of a VM, and answer it."""
        self._work.set()
        grant = self._coordinator.take_report(report, self._clock.monotonic())
        if grant is not None:
            self._pass_grant(report.vm_id, grant)

    def take_grant(self, grant: QuotaGrant) -> None:
        """Take the shares that a coordinator grants this VM."""
        self._reporter.take_grant(grant, self._accounts(), self._clock.monotonic())

    def status(self) -> Mapping[str, Any]:
        """Return the state of shares as a JSON object."""
        now = self._clock.monotonic()
        return {
            "vms": self._reach.size,
            "vms_connected": len(self._reach.connected),
            "shares": [
                {
                    "account": local.account.name,
                    "kind": local.kind.value,
                    "tokens": round(local.level, 2),
                    "rate_per_second": round(local.rate_per_second, 3),
                    "share_age_seconds": _age(now, local.based_at),
                    "coordinator": self._reporter.coordinator_of(local.account.name),
                    "asked": local.asked,
                    "admitted": local.admitted,
                }
                for local in self.admission
            ],
            "coordinated": self._coordinator.status(),
        }

    def _note_pending(self, local: LocalQuota) -> None:
        self._reporter.note_pending(local)
        self._work.set()

    def _pass_grant(self, vm_id: str, grant: QuotaGrant) -> None:
        if vm_id == self._vm_id:
            self.take_grant(grant)
        else:
            self._send(vm_id, grant)

    def _refresh_reach(self, now: float) -> None:
        self._reach_read_at = now
        self._reach = self._read_reach()
        if 2 * len(self._reach.connected) > self._reach.known:
            self.admission.note_connected(now)
        self._reporter.set_reach(self._reach, now)
        self._coordinator.set_groups(self._reporter.own_groups(), now)

    def _retain(self) -> None:
        accounts = self._accounts()
        if accounts is not self._accounts_at_retain:
            self._accounts_at_retain = accounts
            self.admission.retain(accounts)
            self._reporter.retain(accounts)


def _age(now: float, based_at: float) -> float | None:
    return None if based_at < 0 else round(now - based_at, 3)
