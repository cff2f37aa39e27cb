import random
from collections import Counter

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota import QuotaAdmission
from lacewingstair.accounts.quota_terms import QuotaBounds, Reach
from lacewingstair.caller.calls.account_calls import AccountCalls
from lacewingstair.caller.calls.authorization import Authorization
from lacewingstair.platform.bounds import parse_bounds

LIMITED = ClientAccount("acme", (), None, 2.0, 2.0)
UNLIMITED = ClientAccount("free", ())


class FixedClock:
    now = 100.0

    def monotonic(self):
        return self.now


def account_calls():
    counts, clock = Counter(), FixedClock()
    quota = QuotaAdmission(
        QuotaBounds(), lambda: Reach(frozenset(("vm0",)), 1), random.Random(1), 100.0
    )
    return AccountCalls(quota, counts, clock, random.Random(1)), counts


def test_calls_over_the_quota_are_refused_with_the_inputs_of_the_decision():
    calls, counts = account_calls()
    refusal = calls.admit(Authorization(True, LIMITED))
    assert 0.1 <= refusal.retry_after_seconds <= 3.0
    fields = refusal.log_fields()
    assert fields["account"] == "acme"
    assert fields["share_kind"] == "static"
    assert fields["share_per_second"] == 2.0
    assert counts == {("acme", "asked"): 1, ("acme", "refused_quota"): 1}


def test_nested_calls_and_accounts_without_a_quota_are_not_limited():
    """Guards against a running call that fails since its account is over its quota."""
    calls, counts = account_calls()
    for _ in range(50):
        assert calls.admit(Authorization(True, LIMITED, is_nested=True)) is None
        assert calls.admit(Authorization(True, UNLIMITED)) is None
        assert calls.admit(Authorization(True, None)) is None
    assert counts == {("free", "asked"): 50, ("free", "admitted"): 50}


def test_waits_of_refused_calls_are_spread():
    """Guards against callers that all come back at the same moment."""
    calls, _ = account_calls()
    waits = {
        round(calls.admit(Authorization(True, LIMITED)).retry_after_seconds, 3)
        for _ in range(20)
    }
    assert len(waits) > 10


def test_the_platform_states_how_exactly_quotas_are_kept():
    text = "quota_window=2s,quota_overage=0.2,quota_slack=7,other=1"
    assert parse_bounds(text).unwrap().quotas == QuotaBounds(2.0, 0.2, 7.0)
    assert parse_bounds("").unwrap().quotas == QuotaBounds()
    assert parse_bounds("quota_slack=x").is_err()
