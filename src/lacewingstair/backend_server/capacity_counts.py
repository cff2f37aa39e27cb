"""Counts and logs, by account, how calls fared at the admission to a backend server."""

from collections import Counter

from lacewingstair import events
from lacewingstair.backend_server.scheduled_call import Refusal
from lacewingstair.vm.call_messages import CallRequest, LoadReport

ADMITTED = "admitted"
# Further accounts are counted together under an empty name.
MAX_ACCOUNTS = 1000
MAX_LOGGED_ACCOUNTS = 20


class CapacityCounts:
    """Calls of accounts, and nested calls, by account and by their admission.

    Attributes
    ----------
    calls_by_labels : Counter
        Calls since the start by account and outcome: `ADMITTED`, or the reason of the
        refusal in lower case. The account is empty for nested calls.
    """

    def __init__(self) -> None:
        self.calls_by_labels: Counter[tuple[str, str]] = Counter()
        self._accounts: set[str] = set()

    def record_admitted(self, call: CallRequest) -> None:
        """Count a call that starts."""
        self.calls_by_labels[self._label_of(call.account), ADMITTED] += 1

    def record_refused(
        self, call: CallRequest, refusal: Refusal, load: LoadReport
    ) -> None:
        """Count and log a call that is refused."""
        reason = refusal.reason.name.lower()
        self.calls_by_labels[self._label_of(call.account), reason] += 1
        events.call_line(
            "call_not_admitted",
            is_failure=True,
            call=call.request_id,
            account=call.account,
            is_nested=call.is_nested,
            priority=call.priority,
            reason=reason,
            running=load.running,
            waiting=load.waiting,
            retry_after_ms=round(refusal.retry_after_ms),
        )

    def log(self, service: str) -> None:
        """Log the number of refused calls, and the accounts with most of them."""
        refused: Counter[str] = Counter()
        for (account, outcome), count in self.calls_by_labels.items():
            if outcome != ADMITTED:
                refused[account] += count
        if not refused:
            return
        accounts = " ".join(
            f"{account or '-'}:{count}"
            for account, count in refused.most_common(MAX_LOGGED_ACCOUNTS)
        )
        events.info(
            "capacity_refusals_total",
            service=service,
            refused=refused.total(),
            accounts=accounts,
        )

    def _label_of(self, account: str) -> str:
        if account in self._accounts:
            return account
        if len(self._accounts) >= MAX_ACCOUNTS:
            return ""
        self._accounts.add(account)
        return account
