"""Bounds that the platform states for a deployment."""

import attrs
from result import Err, Ok, Result

from lacewingstair.accounts.quota_terms import QuotaBounds
from lacewingstair.errors import Fault
from lacewingstair.platform.durations import parse_duration
from lacewingstair.routing.limits import RetryAllowance
from lacewingstair.staged_rollouts.policy import TrialAllowance


@attrs.frozen
class Bounds:
    """Bounds in the product's terms.

    Parameters
    ----------
    stop_ms : float
        Time from the stop signal until the process is killed.
    repeat_share, extra_repeats, repeat_window_ms : float
        Repeats of all VMs together in a window, as a share of the calls of a service
        and beyond that share.
    trial_share, extra_trial_calls : float
        Calls of a service that a bad version may get, as a share of all and beyond
        that share.
    quota_window_ms, quota_overage, quota_slack : float
        Window in which the calls of a client account are counted, and how many may run
        in it beyond the quota: as a share of the quota, and beyond that share.
    """

    stop_ms: float = 6000.0
    repeat_share: float = 0.2
    extra_repeats: float = 60.0
    repeat_window_ms: float = 10_000.0
    trial_share: float = 0.1
    extra_trial_calls: float = 50.0
    quota_window_ms: float = 5000.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0

    @property
    def repeats(self) -> RetryAllowance:
        """Repeats of a service that all VMs together may make."""
        return RetryAllowance(
            self.repeat_share, self.extra_repeats, self.repeat_window_ms / 1000
        )

    @property
    def trial(self) -> TrialAllowance:
        """Calls that a version may get before it is trusted."""
        return TrialAllowance(self.trial_share, self.extra_trial_calls)

    @property
    def quotas(self) -> QuotaBounds:
        """How exactly the quotas of client accounts are kept."""
        return QuotaBounds(
            self.quota_window_ms / 1000, self.quota_overage, self.quota_slack
        )


_DURATIONS_BY_NAME = {
    "grace": "stop_ms",
    "budget_window": "repeat_window_ms",
    "quota_window": "quota_window_ms",
}
_NUMBERS_BY_NAME = {
    "retry_budget_ratio": "repeat_share",
    "budget_slack": "extra_repeats",
    "canary_share": "trial_share",
    "canary_slack": "extra_trial_calls",
    "quota_overage": "quota_overage",
    "quota_slack": "quota_slack",
}


def parse_bounds(text: str) -> Result[Bounds, Fault]:
    """Return the bounds in ``name=value`` pairs divided by commas; others are ignored.

    Parameters
    ----------
    text : str
        Such as ``grace=6s,retry_budget_ratio=0.2``.
    """
    values: dict[str, float] = {}
    for pair in filter(None, (part.strip() for part in text.split(","))):
        name, _, value = pair.partition("=")
        if name in _DURATIONS_BY_NAME:
            parsed = parse_duration(name, value)
            if isinstance(parsed, Err):
                return parsed
            values[_DURATIONS_BY_NAME[name]] = parsed.ok_value
        elif name in _NUMBERS_BY_NAME:
            try:
                values[_NUMBERS_BY_NAME[name]] = float(value)
            except ValueError:
                return Err(Fault(name, f"{value!r:.40} is not a number"))
    return Ok(Bounds(**values))
