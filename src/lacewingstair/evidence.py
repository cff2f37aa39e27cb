"""Counters of calls by version, on which a rollout is judged."""

from collections.abc import Callable
from typing import Protocol

import attrs

from lacewingstair.marks import RolloutKey


@attrs.frozen
class EvidenceCounter:
    """Totals of one version on one route within one stage of a rollout.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    route, version : str
        Names in the configuration.
    stage : int
        Stage during which the calls were made.
    calls, failures : int
        Attempts that ended OK or FAILED, and those that FAILED.
    timed, slow : int
        Attempts counted for latency, and those slower than the reference.
    """

    key: RolloutKey
    route: str
    version: str
    stage: int
    calls: int
    failures: int
    timed: int
    slow: int


@attrs.frozen
class EvidenceReport:
    """Totals of a subtree of one VM, or of a whole availability zone.

    A report replaces the earlier ones of the same source, so that a lost or repeated
    report does no harm.

    Parameters
    ----------
    source : str
        VM id, or the zone's name for the totals of a zone.
    is_zone_total : bool
        Whether it covers a zone.
    sequence : int
        Raised by the source with each report.
    counters : tuple of EvidenceCounter
        Totals.
    """

    source: str
    is_zone_total: bool
    sequence: int
    counters: tuple[EvidenceCounter, ...]


class EvidenceTransport(Protocol):
    """Carries evidence between VMs."""

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a subtree report to the parent in the first tree of the zone.

        A zone total goes to the relays of the other zones instead.
        """
        ...

    def is_zone_root(self) -> bool:
        """Return whether this VM is the root of the zone's first tree."""
        ...

    def on_evidence(self, listener: Callable[[EvidenceReport], None]) -> None:
        """Call `listener` with each report that arrives."""
        ...

    def on_child_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the VM id of each child whose link has closed."""
        ...
