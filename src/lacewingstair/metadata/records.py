"""Applies records of the store: configurations, rollout orders and entries of VMs."""

from collections.abc import Callable, Iterable

import attrs
from result import Err

from lacewingstair import events
from lacewingstair.metadata.configuration import Configuration, ConfigurationStore
from lacewingstair.metadata.freshness import STORE
from lacewingstair.metadata.operator_records import OperatorRecords
from lacewingstair.metadata.record_transfer import unpack
from lacewingstair.metadata.tail import Record
from lacewingstair.platform import rollouts as platform_rollouts
from lacewingstair.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
    version_of,
)
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.vm.entries import MeshView, decode_entry
from lacewingstair.vm.registration import Registration


@attrs.define
class _TakenDocuments:
    """Outcome of reading configurations.

    Parameters
    ----------
    taken : list of Record
        The record that was adopted, if any.
    unusable : list of Record
        Records that could not be decoded and are not known to be superseded.
    """

    taken: list[Record] = attrs.field(factory=list)
    unusable: list[Record] = attrs.field(factory=list)


class StoreRecords:
    """Decodes records and passes them to the components that hold their state.

    Records that cannot be decoded are logged and skipped.

    Parameters
    ----------
    configurations : ConfigurationStore
        Receives configurations.
    rollouts : RolloutCoordinator
        Receives rollout orders.
    registration : Registration
        Receives this VM's entry as it stands in the store.
    view : MeshView
        Receives the entries of other VMs.
    proof_age_seconds : callable, optional
        Returns how long ago this VM last held the newest records for certain.

    Attributes
    ----------
    operator : OperatorRecords
        Newest records of the operators, which are also sent to other VMs.
    """

    def __init__(
        self,
        configurations: ConfigurationStore,
        rollouts: RolloutCoordinator,
        registration: Registration,
        view: MeshView,
        proof_age_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._proof_age_seconds = proof_age_seconds
        self._configurations = configurations
        self._rollouts = rollouts
        self._registration = registration
        self._view = view
        self.operator = OperatorRecords(_version_of)

    def take_operator_records(self, records: Iterable[Record], position: int) -> None:
        """Apply configurations and rollout orders that were read from the store.

        Parameters
        ----------
        records : iterable of Record
            Records of the operators' topic.
        position : int
            Offset up to which the topic was read.
        """
        self._take_operator_records(records, position, STORE)

    def take_transfer(self, data: bytes, vm_id: str = "") -> bool:
        """Apply records that another VM sent; return whether all of them are usable."""
        unpacked = unpack(data, self.operator)
        if isinstance(unpacked, Err):
            events.warning("records_unreadable", vm=vm_id, error=unpacked.err_value)
            return False
        transfer = unpacked.ok_value
        return self._take_operator_records(transfer.records, transfer.position, vm_id)

    def _take_operator_records(
        self, records: Iterable[Record], position: int, source: str
    ) -> bool:
        records = list(records)
        documents = [r for r in records if r.key == CONFIGURATION_KEY and r.value]
        others = [r for r in records if r.key != CONFIGURATION_KEY]
        found = self._take_newest_configuration(documents, source)
        taken = self.operator.take([*others, *found.taken], position, found.unusable)
        for record in taken:
            if record.key.startswith(platform_rollouts.KEY_PREFIX):
                self._take_order(record)
        return not found.unusable

    def _take_newest_configuration(
        self, records: list[Record], source: str
    ) -> "_TakenDocuments":
        """Adopt the highest version that can be decoded.

        Versions that are already superseded are not decoded.
        """
        result = _TakenDocuments()
        found = [(version_of(record.value), record) for record in records]
        found.sort(key=lambda pair: pair[0], reverse=True)
        for number, record in found:
            # A document without a version is decoded so that its error is logged.
            if 0 < number <= self._configurations.current.number:
                continue
            if self._take_configuration(record, source):
                result.taken.append(record)
            else:
                result.unusable.append(record)
        return result

    def _take_order(self, record: Record) -> None:
        if record.value is None:
            return
        decoded = platform_rollouts.decode_order(
            record.key, record.value, record.offset
        )
        if isinstance(decoded, Err):
            events.warning("rollout_refused", key=record.key, error=decoded.err_value)
            return
        try:
            self._rollouts.apply_order(decoded.ok_value)
        except Exception as error:
            # The record is held already, so that it would not be applied when it is
            # read again, and neither would the records after it.
            events.error("rollout_order_crashed", key=record.key, error=repr(error))

    def _take_configuration(self, record: Record, source: str) -> bool:
        """Adopt a configuration; return whether it is now in force."""
        decoded = decode_configuration(record.value, self._configurations.current)
        if isinstance(decoded, Err):
            error = decoded.err_value
            events.warning("configuration_refused", source=source, error=error)
            return False
        configuration = decoded.ok_value
        self._log_faults(configuration)
        before = self._configurations.current.number
        taken = self._configurations.adopt(configuration)
        events.info(
            "configuration_read",
            source=source,
            offset=record.offset,
            proof_age_ms=round(self._proof_age_seconds() * 1000),
            number=configuration.number,
            before=before,
            routes=len(configuration.routes_by_name),
            is_taken=taken,
        )
        return taken

    def _log_faults(self, configuration: Configuration) -> None:
        """Log what is unreadable in a configuration and was not in the one before."""
        routes_before = self._configurations.current.routes_by_name
        for name, route in configuration.routes_by_name.items():
            if route.fault and routes_before.get(name) != route:
                self._log_fault(configuration, f"route {name}", route.fault)
        for fault in configuration.faults:
            if fault not in self._configurations.current.faults:
                self._log_fault(configuration, fault.place, fault.reason)

    def _log_fault(self, configuration: Configuration, place: str, error: str) -> None:
        number = configuration.number
        events.error("configuration_fault", number=number, place=place, error=error)

    def take_entries(self, records: Iterable[Record], position: int) -> None:
        """Apply entries of VMs."""
        for record in records:
            if record.value is None:
                self._drop_entry(record)
                continue
            decoded = decode_entry(record.value)
            if isinstance(decoded, Err) or decoded.ok_value.vm_id != record.key:
                events.warning("entry_unreadable", key=record.key, offset=record.offset)
                if record.key == self._registration.entry.vm_id:
                    # VMs that start now cannot find this one until it is rewritten.
                    self._registration.handle_missing_entry(record.offset)
                continue
            entry = decoded.ok_value
            if entry.vm_id == self._registration.entry.vm_id:
                self._registration.handle_observed_entry(entry, record.offset)
            else:
                self._view.merge(entry)

    def _drop_entry(self, record: Record) -> None:
        if record.key == self._registration.entry.vm_id:
            self._registration.handle_missing_entry(record.offset)
        else:
            self._view.remove(record.key)


def _version_of(key: str, value: bytes | None) -> int:
    """Return the version of a configuration, 0 for all other records."""
    return version_of(value) if key == CONFIGURATION_KEY and value else 0
