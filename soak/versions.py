"""What each configuration version allows, and which of them must be in force when.

The times are targets of the platform, not measured values.
"""

from collections.abc import Iterable, Mapping

import attrs

CONFIG_APPLY_SECONDS = 2.5
STABILITY_WINDOW_SECONDS = 3.0
# Added to `CONFIG_APPLY_SECONDS` while the store has only mild disturbances.
OUTER_SECONDS = 5.0
ROLLBACK_SLACK_SECONDS = 0.25
# Target of the disturbances of the store itself.
STORE = "store"


@attrs.frozen
class Effect:
    """What a call showed of the configuration that it was handled with.

    Parameters
    ----------
    route : str
        Name of the route that the path selects.
    service : str
        Service of the backend server that ran the call; empty if the call was answered
        that there is no such route.
    """

    route: str
    service: str = ""

    def __str__(self) -> str:
        outcome = f"run by {self.service}" if self.service else "404"
        return f"{outcome} on {self.route}"


@attrs.define
class Version:
    """A configuration that the operator wrote.

    Parameters
    ----------
    number : int
        Its version.
    services_by_route : mapping
        Services of each route.
    sent_at, acked_at : float
        Seconds since the start; infinite until the store has acknowledged it.
    """

    number: int
    services_by_route: Mapping[str, tuple[str, ...]]
    sent_at: float
    acked_at: float = float("inf")

    def allows(self, effect: Effect) -> bool:
        """Return whether a VM with this version may have this effect."""
        services = self.services_by_route.get(effect.route, ())
        return effect.service in services if effect.service else not services


@attrs.frozen
class Disturbance:
    """A time in which something acted on a VM or on the store.

    Parameters
    ----------
    target : str
        Name of the VM, or `STORE`.
    began_at, ended_at : float
        Seconds since the start.
    is_mild : bool
        Whether the store served all reads in time, so that bounds are only stretched.
    """

    target: str
    began_at: float
    ended_at: float = float("inf")
    is_mild: bool = False


@attrs.define
class Timeline:
    """Versions and disturbances of a run.

    Parameters
    ----------
    versions : list of Version
        In the order of their writing.
    disturbances : list of Disturbance
        Those of VMs and of the store.
    starts_by_vm : dict of str to list of float
        When the processes of each VM were started, in seconds since the start.
    """

    versions: list[Version] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    starts_by_vm: dict[str, list[float]] = attrs.field(factory=dict)

    def sent_until(self, until: float) -> list[Version]:
        """Return the versions that the operator had sent by a time."""
        return [version for version in self.versions if version.sent_at <= until]

    def applied_number(self, vm: str, now: float) -> int:
        """Return the version that a VM must have in force by now; 0 without one.

        A VM that is not in touch has no bound. The window of stability and the time to
        apply a version do not add up.
        """
        window_from = now - STABILITY_WINDOW_SECONDS
        if self.is_disturbed(vm, window_from, now):
            return 0
        if not self.is_disturbed(STORE, window_from, now):
            return self._newest_acked(now - CONFIG_APPLY_SECONDS)
        stretched = CONFIG_APPLY_SECONDS + OUTER_SECONDS
        number = self._newest_acked(now - stretched)
        acked_at = max(
            (v.acked_at for v in self.versions if v.number == number), default=now
        )
        if self.is_disturbed(STORE, min(acked_at, window_from), now, is_mild=False):
            return 0
        return number

    def is_disturbed(
        self, target: str, since: float, until: float, is_mild: bool = True
    ) -> bool:
        """Return whether a disturbance acted on a target.

        Parameters
        ----------
        target : str
            Name of a VM, or `STORE`.
        since, until : float
            Seconds since the start.
        is_mild : bool
            Whether mild disturbances count as well.
        """
        return any(
            found.target == target
            and found.began_at <= until
            and found.ended_at >= since
            and (is_mild or not found.is_mild)
            for found in self.disturbances
        )

    def life(self, vm: str, at: float) -> int:
        """Return the number of process starts of a VM until a time."""
        return sum(started_at <= at for started_at in self.starts_by_vm.get(vm, ()))

    def _newest_acked(self, until: float) -> int:
        numbers = (v.number for v in self.versions if v.acked_at < until)
        return max(numbers, default=0)


def is_only_allowed_before(
    number: int, effect: Effect, sent: Iterable[Version]
) -> bool:
    """Return whether only versions older than a number allow an effect."""
    allowing = [version.number for version in sent if version.allows(effect)]
    return bool(allowing) and max(allowing) < number
