"""Divides the quota of an account among VMs by their demand; does no I/O."""

from collections.abc import Mapping

import attrs

# A VM with fewer calls per second sees too few of them for its demand to be estimated.
# Such VMs get equal shares.
MIN_KNOWN_DEMAND = 4.0
# Part of the demand of all VMs that is assumed of the VMs that have shown none, so that
# a VM where demand begins has a share.
IDLE_DEMAND_SHARE = 0.05
# Time in which tokens that are left are used up, and in which a debt is paid back.
TOKENS_SECONDS = 0.7


@attrs.frozen
class VmShare:
    """Share of one VM.

    Parameters
    ----------
    part : float
        Part of the rate and of the tokens, 0 to 1.
    chance : float or None
        Probability with which a call is admitted; None if tokens alone decide.
    """

    part: float
    chance: float | None


@attrs.frozen
class Division:
    """Division of a quota.

    Parameters
    ----------
    shares_by_vm_id : dict
        Shares of VMs whose demand is known.
    other : VmShare
        Share of each other VM.
    """

    shares_by_vm_id: dict[str, VmShare]
    other: VmShare

    def of(self, vm_id: str) -> VmShare:
        """Return the share of a VM."""
        return self.shares_by_vm_id.get(vm_id, self.other)


def divide(
    demand_by_vm_id: Mapping[str, float],
    total_demand: float,
    vms: int,
    rate_per_second: float,
    tokens: float,
) -> Division:
    """Return the shares of all VMs.

    VMs with much demand share by water filling. The others get equal parts and admit
    calls at random, since their parts are less than a call for most of the time.

    Parameters
    ----------
    demand_by_vm_id : mapping
        Calls per second that each VM was asked for.
    total_demand : float
        Calls per second of all VMs, not less than the sum of those.
    vms : int
        Number of VMs among which the quota is divided.
    rate_per_second : float
        Rate to divide.
    tokens : float
        Tokens in the bucket; negative after too many calls.
    """
    known = {
        vm_id: demand
        for vm_id, demand in demand_by_vm_id.items()
        if demand >= MIN_KNOWN_DEMAND
    }
    total = total_demand
    others = max(1, vms - len(known))
    known_total = sum(known.values())
    idle = IDLE_DEMAND_SHARE * max(total, 1.0) * others / max(1, vms)
    others_total = total - known_total + idle
    spendable = max(0.0, rate_per_second + tokens / TOKENS_SECONDS)
    others_part = others_total / (others_total + known_total)
    chance = min(1.0, spendable / max(total, 1e-9))
    level = water_level(sorted(known.values()), (1 - others_part) * rate_per_second)
    filled = {vm_id: min(demand, level) for vm_id, demand in known.items()}
    scale = (1 - others_part) / (sum(filled.values()) or 1.0)
    shares = {}
    for vm_id, amount in filled.items():
        part = amount * scale
        is_counted = chance < 1.0 and part * rate_per_second >= MIN_KNOWN_DEMAND
        share_chance = min(1.0, part * spendable / known[vm_id])
        shares[vm_id] = VmShare(part, None if is_counted else share_chance)
    return Division(shares, VmShare(others_part / others, chance))


def water_level(ascending: list[float], amount: float) -> float:
    """Return the cap at which the demands, each cut off at it, add up to `amount`."""
    remaining = amount
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand >= level:
            return level
        remaining -= demand
    return ascending[-1] if ascending else 0.0
