"""Totals that parts of a sidecar keep, for its metrics and its log."""

from collections.abc import Mapping

from lacewingstair import events
from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.metrics.sidecar import SidecarMetrics
from lacewingstair.platform.store import MetadataStore
from lacewingstair.vm.stream_traffic import StreamTraffic


class SidecarTotals:
    """Counts since the start of the process, by their labels.

    Parameters
    ----------
    gate : AdmissionProxy
        Counts the calls sent to the backend server.
    store : MetadataStore
        Counts the calls to the store and their bytes.
    traffic : StreamTraffic
        Counts the bytes between VMs.
    """

    def __init__(
        self, gate: AdmissionProxy, store: MetadataStore, traffic: StreamTraffic
    ) -> None:
        self._gate = gate
        self._store = store
        self._traffic = traffic

    def show_in(self, metrics: SidecarMetrics) -> None:
        """Let metrics show the totals."""
        metrics.mesh_bytes = self.mesh_bytes
        metrics.store_calls = self.store_calls
        metrics.upstream_arrivals = self.arrivals
        metrics.capacity_calls = lambda: self._gate.capacity_counts.calls_by_labels
        metrics.silent_calls = lambda: {(): self._gate.silent_calls}
        metrics.unusable_responses = self.unusable_responses

    def mesh_bytes(self) -> dict[tuple[str, str, str], int]:
        """Return the bytes between VMs and with the store."""
        with_store = {
            (operation, "store", direction): size
            for (operation, direction), size in self._store.bytes_by_labels.items()
        }
        return {**self._traffic.bytes_by_labels, **with_store}

    def store_calls(self) -> dict[tuple[str], int]:
        """Return the calls to the store, by operation."""
        counts = self._store.calls_by_operation.items()
        return {(operation,): count for operation, count in counts}

    def arrivals(self) -> dict[tuple[str], int]:
        """Return the calls sent to the backend server, by why they were sent."""
        counts = self._gate.arrivals_by_origin.items()
        return {(origin.name.lower(),): count for origin, count in counts}

    def unusable_responses(self) -> dict[tuple[str], int]:
        """Return the responses of the backend server outside the protocol."""
        counts = self._gate.responses_by_fault.items()
        return {(kind.value,): count for kind, count in counts}

    def log(self) -> None:
        """Log each total in a line of its own, one field for each set of labels."""
        events.info("traffic_total", **_fields(self.mesh_bytes()))
        events.info("store_calls_total", **_fields(self.store_calls()))
        service = self._gate.service
        events.info("arrivals_total", service=service, **_fields(self.arrivals()))
        self._gate.capacity_counts.log(service)


def _fields(totals: Mapping[tuple[str, ...], int]) -> dict[str, int]:
    found = sorted(totals.items())
    return {
        "_".join(labels).replace("-", "_"): total for labels, total in found if total
    }
