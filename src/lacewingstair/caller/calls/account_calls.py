"""Counts the calls of client accounts and keeps them within their quotas."""

import random
from collections import Counter
from typing import Any

import attrs

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota import QuotaAdmission, QuotaDecision
from lacewingstair.caller.calls.authorization import Authorization
from lacewingstair.runtime import Clock

ASKED, ADMITTED = "asked", "admitted"
REFUSED_FOR_QUOTA, REFUSED_FOR_CAPACITY = "refused_quota", "refused_capacity"
# Largest random addition to a wait, as a share of it; spreads retries of callers that
# were refused together.
WAIT_JITTER = 0.5


@attrs.frozen
class QuotaRefusal:
    """A call beyond the quota of its account.

    Parameters
    ----------
    account : ClientAccount
        The account.
    decision : QuotaDecision
        The decision, with its inputs.
    retry_after_seconds : float
        When the caller should try again, seconds from now.
    """

    account: ClientAccount
    decision: QuotaDecision
    retry_after_seconds: float

    def __str__(self) -> str:
        rate = self.account.rate_per_second
        return f"account {self.account.name!r} is over its quota of {rate:g} calls/s"

    def log_fields(self) -> dict[str, Any]:
        """Return the inputs of the decision for the log."""
        decision = self.decision
        return {
            "account": self.account.name,
            "tokens": round(decision.tokens, 3),
            "share_per_second": round(decision.rate_per_second, 3),
            "share_kind": decision.kind.value,
            "share_age_ms": _milliseconds(decision.share_age_seconds),
        }


class AccountCalls:
    """Admits first calls of client accounts.

    Parameters
    ----------
    quota : QuotaAdmission
        Decides about accounts with a quota.
    counts : Counter
        Calls by account and outcome.
    clock, rng
        Sources of time and randomness.
    """

    def __init__(
        self,
        quota: QuotaAdmission,
        counts: Counter[tuple[str, str]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._quota = quota
        self._counts = counts
        self._clock = clock
        self._rng = rng

    def admit(self, authorization: Authorization) -> QuotaRefusal | None:
        """Count a first call against its quota; return a refusal if it exceeds it.

        Nested calls are not counted, as their first call was.
        """
        account = authorization.account
        if account is None or authorization.is_nested:
            return None
        self._counts[account.name, ASKED] += 1
        if account.has_quota:
            decision = self._quota.admit(account, self._clock.monotonic())
            if not decision.is_admitted:
                self._counts[account.name, REFUSED_FOR_QUOTA] += 1
                seconds = decision.wait_seconds
                seconds *= 1.0 + WAIT_JITTER * self._rng.random()
                return QuotaRefusal(account, decision, seconds)
        self._counts[account.name, ADMITTED] += 1
        return None

    def note_not_run(self, account: ClientAccount) -> None:
        """Take back an admission: the call was refused for lack of capacity."""
        self._counts[account.name, REFUSED_FOR_CAPACITY] += 1
        if account.has_quota:
            self._quota.give_back(account, self._clock.monotonic())


def _milliseconds(seconds: float) -> int | None:
    return round(seconds * 1000) if seconds < float("inf") else None
