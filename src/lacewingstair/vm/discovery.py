"""Choice of addresses to contact outside the overlay."""

import random
from collections import deque
from collections.abc import Callable, Iterable

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory, VmRecord
from lacewingstair.vm.links import Dial, Target

CONTACTS_AT_ONCE = 3
ALONE_ROTATION_SECONDS = 3.0
CONTACT_INTERVAL_SECONDS = (20.0, 60.0)
CONTACT_SECONDS = 6.0
# A contact that has no room names this many of the VMs that it knows, so that VMs that
# start in large numbers spread over the mesh.
REFERRALS = 4
MAX_REFERRED = 32


class Discovery:
    """Chooses contacts: while alone at all times, afterwards now and then.

    Parts of the mesh that formed separately, or that declared each other dead, have no
    link to each other. An occasional connection to an address that is not that of a
    live VM joins them.

    Parameters
    ----------
    own : VmRecord
        This VM.
    contacts : iterable of str
        Addresses from the settings.
    directory : Directory
        Known VMs.
    dead_addresses : callable
        Returns addresses of VMs of the zone that are held as dead.
    clock, rng
        Time and randomness.
    """

    def __init__(
        self,
        own: VmRecord,
        contacts: Iterable[str],
        directory: Directory,
        dead_addresses: Callable[[], list[str]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._contacts = [c for c in contacts if c != own.address]
        self._own = own
        self._directory = directory
        self._dead_addresses = dead_addresses
        self._clock = clock
        self._rng = rng
        self._referred: deque[str] = deque(maxlen=MAX_REFERRED)
        self._chosen: list[str] = []
        self._until = float("-inf")
        self._next_at = clock.monotonic() + rng.uniform(*CONTACT_INTERVAL_SECONDS)

    @property
    def has_contacts(self) -> bool:
        """Whether there is another VM to start from."""
        return bool(self._contacts)

    def dials(self, is_alone: bool) -> list[Dial]:
        """Return the connections that are wanted now besides the overlay's."""
        now = self._clock.monotonic()
        if is_alone and now >= self._until:
            candidates = sorted({*self._contacts, *self._referred})
            count = min(CONTACTS_AT_ONCE, len(candidates))
            self._choose(self._rng.sample(candidates, count), now)
            self._until = now + ALONE_ROTATION_SECONDS
        elif not is_alone and now >= self._next_at:
            self._next_at = now + self._rng.uniform(*CONTACT_INTERVAL_SECONDS)
            candidates = self._unknown_addresses()
            if candidates:
                self._choose([self._rng.choice(candidates)], now)
        if now >= self._until:
            return []
        return [
            Dial(f"contact {address}", (Target("", address),), False)
            for address in self._chosen
        ]

    def add_referrals(self, addresses: Iterable[str]) -> None:
        """Note addresses that a VM without room has named."""
        self._referred.extend(a for a in addresses if a != self._own.address)

    def referrals(self) -> tuple[str, ...]:
        """Return addresses of some live VMs."""
        records = list(self._directory)
        chosen = self._rng.sample(records, min(REFERRALS, len(records)))
        return tuple(record.address for record in chosen if record.is_live)

    def _choose(self, addresses: list[str], now: float) -> None:
        self._chosen = addresses
        self._until = now + CONTACT_SECONDS

    def _unknown_addresses(self) -> list[str]:
        live = {record.address for record in self._directory.live()}
        known = {*live, self._own.address}
        candidates = {*self._contacts, *self._dead_addresses()} - known
        return sorted(candidates)
