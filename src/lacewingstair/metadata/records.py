"""Takes what the store holds: configurations, orders and entries of VMs."""

from collections.abc import Iterable

from result import Err

from lacewingstair import events
from lacewingstair.metadata.configuration import ConfigurationStore
from lacewingstair.metadata.tail import Record
from lacewingstair.platform import rollouts as platform_rollouts
from lacewingstair.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.vm.call_messages import ConfigurationDocument
from lacewingstair.vm.entries import MeshView, decode_entry
from lacewingstair.vm.registration import Registration


class StoreRecords:
    """Decodes records and gives them to the parts that keep what they say.

    What cannot be read is logged and passed over; the other records count.

    Parameters
    ----------
    configurations : ConfigurationStore
        Gets configurations.
    rollouts : RolloutCoordinator
        Gets orders.
    registration : Registration
        Gets this VM's entry as the store has it.
    view : MeshView
        Gets the entries of the others.
    """

    def __init__(
        self,
        configurations: ConfigurationStore,
        rollouts: RolloutCoordinator,
        registration: Registration,
        view: MeshView,
    ) -> None:
        self._configurations = configurations
        self._rollouts = rollouts
        self._registration = registration
        self._view = view

    def take_operator_records(self, records: Iterable[Record]) -> None:
        """Take configurations and orders."""
        for record in records:
            if record.value is None:
                continue
            if record.key == CONFIGURATION_KEY:
                self._take_configuration(record.value, "store")
            elif record.key.startswith(platform_rollouts.KEY_PREFIX):
                self._take_order(record)

    def _take_order(self, record: Record) -> None:
        decoded = platform_rollouts.decode_order(
            record.key, record.value, record.offset
        )
        if isinstance(decoded, Err):
            events.warning("rollout_refused", key=record.key, error=decoded.err_value)
            return
        self._rollouts.take_order(decoded.ok_value)

    def take_document(self, document: ConfigurationDocument) -> None:
        """Take a configuration that another VM passes on."""
        self._take_configuration(document.source, "vm")

    def _take_configuration(self, value: bytes, origin: str) -> None:
        decoded = decode_configuration(value)
        if isinstance(decoded, Err):
            error = decoded.err_value
            events.warning("configuration_refused", origin=origin, error=error)
            return
        configuration = decoded.ok_value
        before = self._configurations.current.number
        taken = self._configurations.adopt(configuration)
        events.info(
            "configuration_read",
            origin=origin,
            number=configuration.number,
            before=before,
            routes=len(configuration.routes_by_name),
            is_taken=taken,
        )

    def take_entries(self, records: Iterable[Record]) -> None:
        """Take entries of VMs."""
        for record in records:
            if record.value is None:
                self._drop_entry(record.key)
                continue
            decoded = decode_entry(record.value)
            if isinstance(decoded, Err) or decoded.ok_value.vm_id != record.key:
                events.warning("entry_unreadable", key=record.key, offset=record.offset)
                continue
            entry = decoded.ok_value
            if entry.vm_id == self._registration.entry.vm_id:
                self._registration.seen(entry)
            else:
                self._view.merge(entry)

    def _drop_entry(self, vm_id: str) -> None:
        if vm_id == self._registration.entry.vm_id:
            self._registration.missing()
        else:
            self._view.remove(vm_id)
