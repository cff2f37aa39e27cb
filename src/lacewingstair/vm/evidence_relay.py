"""Forwarding of evidence up the first tree of a zone and between zone roots."""

from collections.abc import Callable

import attrs

from lacewingstair.rollouts.evidence import EvidenceReport
from lacewingstair.runtime import Clock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import Peer, PeerTable

# A new root of a zone restarts the sequence numbers of its reports, so a lower sequence
# number is accepted once no report has been accepted for this time.
SEQUENCE_EXPIRY_SECONDS = 3.0


@attrs.frozen
class _LastReport:
    """Sequence number and arrival, in monotonic seconds, of a zone's last report."""

    sequence: int
    received_at: float


class EvidenceRelay:
    """Sends, forwards and delivers evidence reports.

    Parameters
    ----------
    own : VmRecord
        This VM; only its zone is used.
    overlay : Overlay
        Source of parents, children and relays.
    peers : PeerTable
        Open links.
    clock : Clock
        Time source.
    """

    def __init__(
        self, own: VmRecord, overlay: Overlay, peers: PeerTable, clock: Clock
    ) -> None:
        self._own = own
        self._overlay = overlay
        self._peers = peers
        self._clock = clock
        self._last_report_by_zone: dict[str, _LastReport] = {}
        self._report_listeners: list[Callable[[EvidenceReport], None]] = []
        self._child_loss_listeners: list[Callable[[str], None]] = []

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a subtree report to the parent or a zone total to the other zones."""
        if report.is_zone_total:
            self._forward(report, None)
            return
        self._send_to_parent(messages.Evidence(report))

    def is_zone_root(self) -> bool:
        """Return whether this VM is the root of the zone's first tree."""
        return self._overlay.relay_rank() == 0

    def on_evidence(self, listener: Callable[[EvidenceReport], None]) -> None:
        """Register a listener that is called with each report that arrives."""
        self._report_listeners.append(listener)

    def on_child_lost(self, listener: Callable[[str], None]) -> None:
        """Register a listener called with the VM id of each child whose link closes."""
        self._child_loss_listeners.append(listener)

    def receive(self, peer: Peer, report: EvidenceReport) -> None:
        """Deliver a report from a peer; forward a zone total towards all zone roots."""
        if report.is_zone_total:
            is_own = report.source == self._own.availability_zone
            if is_own or not self._is_fresh(report):
                return
            self._forward(report, peer)
        for listener in self._report_listeners:
            listener(report)

    def on_close(self, peer: Peer) -> None:
        """Notify the listeners if the closed link was to a child."""
        if peer.vm_id in self._overlay.children(0):
            for listener in self._child_loss_listeners:
                listener(peer.vm_id)

    def _forward(self, report: EvidenceReport, source: Peer | None) -> None:
        body = messages.Evidence(report)
        for peer in self._peers:
            is_other_zone = peer.availability_zone != self._own.availability_zone
            if is_other_zone and self._peers.is_push_target(peer, source):
                peer.stream.send(body)
        is_from_own_zone = source is None or (
            source.availability_zone == self._own.availability_zone
        )
        # A relay that is not the zone root forwards totals of other zones to the root.
        if not is_from_own_zone and not self.is_zone_root():
            self._send_to_parent(body)

    def _send_to_parent(self, body: messages.Evidence) -> None:
        parent = self._overlay.parents()[0]
        peer = self._peers.get(parent) if parent is not None else None
        if peer is not None:
            peer.stream.send(body)

    def _is_fresh(self, report: EvidenceReport) -> bool:
        now = self._clock.monotonic()
        last_report = self._last_report_by_zone.get(report.source)
        if last_report is not None and report.sequence <= last_report.sequence:
            is_expired = now - last_report.received_at > SEQUENCE_EXPIRY_SECONDS
            if not is_expired:
                return False
        self._last_report_by_zone[report.source] = _LastReport(report.sequence, now)
        return True
