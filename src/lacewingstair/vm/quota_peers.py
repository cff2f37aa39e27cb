"""What quotas need to know of accounts and other VMs, and messages to these."""

from collections.abc import Callable, Mapping

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota_messages import QuotaGrant, QuotaReport
from lacewingstair.accounts.quota_terms import ASSUMED_VMS, Reach
from lacewingstair.metadata.configuration import ConfigurationStore
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.entries import MeshView


class QuotaPeers:
    """Accounts in force and the VMs among which their quotas are divided.

    Parameters
    ----------
    configurations : ConfigurationStore
        Configuration in force.
    view : MeshView
        Entries of all VMs.
    links : callable
        Returns the links to other VMs.
    live_vm_ids : callable
        Returns the ids of the VMs with a working link, and of this one.
    has_read_entries : callable
        Returns whether the entries of VMs have been read since the start.
    """

    def __init__(
        self,
        configurations: ConfigurationStore,
        view: MeshView,
        links: Callable[[], CallLinks],
        live_vm_ids: Callable[[], list[str]],
        has_read_entries: Callable[[], bool],
    ) -> None:
        self._configurations = configurations
        self._view = view
        self._links = links
        self._live_vm_ids = live_vm_ids
        self._has_read_entries = has_read_entries

    def accounts(self) -> Mapping[str, ClientAccount]:
        """Return the accounts in force by name; none if callers need no key."""
        accounts = self._configurations.current.accounts
        return {} if accounts is None else accounts.accounts_by_name

    def reach(self) -> Reach:
        """Return the VMs as this one sees them."""
        known = sum(not entry.is_leaving for entry in self._view)
        if not self._has_read_entries():
            known = max(known, ASSUMED_VMS)
        return Reach(frozenset(self._live_vm_ids()), known)

    def send(self, vm_id: str, message: QuotaReport | QuotaGrant) -> None:
        """Send a message to another VM, if there is a link to it."""
        link = self._links().get(vm_id)
        if link is not None:
            link.send(message)
