"""Selects addresses to contact outside the overlay."""

import random
from collections import deque
from collections.abc import Callable, Iterable

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory, VmRecord
from lacewingstair.vm.links import Target, WantedLink

MAX_CONCURRENT_CONTACTS = 3
ISOLATED_ROTATION_SECONDS = 3.0
CONTACT_INTERVAL_SECONDS = (20.0, 60.0)
CONTACT_DURATION_SECONDS = 6.0
# A VM at its connection limit refers the peer to this many other VMs, so that VMs that
# start in large numbers spread over the mesh.
MAX_REFERRALS = 4
MAX_REFERRED_ADDRESSES = 32


class Discovery:
    """Selects contacts: constantly while isolated, at random intervals otherwise.

    Parts of the mesh that formed separately, or that declared each other dead, have no
    link to each other. An occasional connection to an address that belongs to no known
    live VM merges them.

    Parameters
    ----------
    own : VmRecord
        This VM.
    contacts : iterable of str
        Configured addresses of other VMs.
    directory : Directory
        Records of the known VMs.
    dead_addresses : callable
        Returns the addresses of VMs of the own zone that are declared dead.
    clock, rng
        Source of time and of random numbers.
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
        self._contacts = [address for address in contacts if address != own.address]
        self._own = own
        self._directory = directory
        self._dead_addresses = dead_addresses
        self._clock = clock
        self._rng = rng
        self._referred: deque[str] = deque(maxlen=MAX_REFERRED_ADDRESSES)
        self._current_contacts: list[str] = []
        self._contacts_until = float("-inf")
        self._next_contact_at = clock.monotonic() + rng.uniform(
            *CONTACT_INTERVAL_SECONDS
        )

    @property
    def has_contacts(self) -> bool:
        """Whether addresses of other VMs are configured."""
        return bool(self._contacts)

    def wanted_links(self, is_isolated: bool) -> list[WantedLink]:
        """Return the links to contacts, which are wanted besides the overlay links."""
        now = self._clock.monotonic()
        if is_isolated and now >= self._contacts_until:
            candidates = sorted({*self._contacts, *self._referred})
            count = min(MAX_CONCURRENT_CONTACTS, len(candidates))
            self._set_contacts(self._rng.sample(candidates, count), now)
            self._contacts_until = now + ISOLATED_ROTATION_SECONDS
        elif not is_isolated and now >= self._next_contact_at:
            self._next_contact_at = now + self._rng.uniform(*CONTACT_INTERVAL_SECONDS)
            candidates = self._candidate_addresses()
            if candidates:
                self._set_contacts([self._rng.choice(candidates)], now)
        if now >= self._contacts_until:
            return []
        return [
            WantedLink(f"contact {address}", (Target("", address),), False)
            for address in self._current_contacts
        ]

    def add_referrals(self, addresses: Iterable[str]) -> None:
        """Add addresses from a Full message as candidates."""
        self._referred.extend(
            address for address in addresses if address != self._own.address
        )

    def referrals(self) -> tuple[str, ...]:
        """Return the addresses of the live VMs in a random sample."""
        records = list(self._directory)
        chosen = self._rng.sample(records, min(MAX_REFERRALS, len(records)))
        return tuple(record.address for record in chosen if record.is_live)

    def _set_contacts(self, addresses: list[str], now: float) -> None:
        self._current_contacts = addresses
        self._contacts_until = now + CONTACT_DURATION_SECONDS

    def _candidate_addresses(self) -> list[str]:
        live = {record.address for record in self._directory.live()}
        known = {*live, self._own.address}
        candidates = {*self._contacts, *self._dead_addresses()} - known
        return sorted(candidates)
