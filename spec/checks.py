"""Runs the model checker on the specifications."""

from types import ModuleType
from typing import Any

import attrs
from minicheck import check_liveness, check_safety

from spec import lease, rollout, tickets

SPECIFICATIONS: dict[str, ModuleType] = {
    "tickets": tickets,
    "lease": lease,
    "rollout": rollout,
}
LIVENESS_PROPERTY = "liveness"


@attrs.frozen
class CheckResult:
    """Outcome for one property.

    Parameters
    ----------
    property_name : str
        What was checked.
    holds : bool or None
        None when the checker could not decide.
    states : int
        States that were reached.
    trace : tuple of str
        Transitions of the shortest counterexample of a safety property.
    """

    property_name: str
    holds: bool | None
    states: int
    trace: tuple[str, ...] = ()

    def describe(self) -> str:
        """Return the outcome as one line."""
        verdicts = {True: "holds", False: "is violated", None: "is undecided"}
        line = f"{verdicts[self.holds]} states={self.states}"
        return f"{line} trace={','.join(self.trace)}" if self.trace else line


def check_whole(module: ModuleType) -> list[CheckResult]:
    """Check every property of a specification."""
    found = check_safety(module.protocol())
    results = [_safety_result(found, name) for name in module.INVARIANTS]
    if module.LIVENESS is not None:
        results.append(_liveness_result(module, module.LIVENESS))
    return results


def check_variant(module: ModuleType, variant: Any, property_name: str) -> CheckResult:
    """Check one property of a variant."""
    if property_name == LIVENESS_PROPERTY:
        return _liveness_result(module, variant)
    return _safety_result(check_safety(module.protocol(variant)), property_name)


def _safety_result(found: dict[str, Any], property_name: str) -> CheckResult:
    entry = found["properties"][property_name]
    steps = entry.get("counterexample") or ()
    trace = tuple(step["label"] for step in steps if step["label"])
    return CheckResult(property_name, entry["holds"], found["reachable_states"], trace)


def _liveness_result(module: ModuleType, variant: Any) -> CheckResult:
    found = check_liveness(module.protocol(variant))
    states = found.get("reachable_states", 0)
    return CheckResult(LIVENESS_PROPERTY, found["holds"], states)
