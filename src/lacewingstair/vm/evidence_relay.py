"""Transport of evidence up the first tree and between the roots of zones."""

from collections.abc import Callable

import attrs

from lacewingstair.rollouts.evidence import EvidenceReport
from lacewingstair.runtime import Clock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import Peer, PeerTable

# A new root of a zone counts its reports from the start again, so an older sequence is
# accepted after this time.
SEQUENCE_EXPIRY_SECONDS = 3.0


@attrs.frozen
class _Seen:
    """Last report of a zone: its number and its arrival in monotonic seconds."""

    sequence: int
    at: float


class EvidenceRelay:
    """Sends, passes on and delivers reports of evidence.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and place are used.
    overlay : Overlay
        Gives parents, children and relays.
    peers : PeerTable
        Open links.
    clock : Clock
        Time.
    """

    def __init__(
        self, own: VmRecord, overlay: Overlay, peers: PeerTable, clock: Clock
    ) -> None:
        self._own = own
        self._overlay = overlay
        self._peers = peers
        self._clock = clock
        self._seen_by_zone: dict[str, _Seen] = {}
        self._report_listeners: list[Callable[[EvidenceReport], None]] = []
        self._loss_listeners: list[Callable[[str], None]] = []

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a subtree report to the parent, a zone total to the other zones."""
        if report.is_zone_total:
            self._pass_on(report, None)
            return
        self._send_to_parent(messages.Evidence(report))

    def is_zone_root(self) -> bool:
        """Return whether this VM is the root of the zone's first tree."""
        return self._overlay.relay_rank() == 0

    def on_evidence(self, listener: Callable[[EvidenceReport], None]) -> None:
        """Call `listener` with each report that arrives."""
        self._report_listeners.append(listener)

    def on_child_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the VM id of each child whose link has closed."""
        self._loss_listeners.append(listener)

    def receive(self, peer: Peer, report: EvidenceReport) -> None:
        """Deliver a report from a peer; pass a zone total on towards all roots."""
        if report.is_zone_total:
            is_own = report.source == self._own.availability_zone
            if is_own or not self._is_fresh(report):
                return
            self._pass_on(report, peer)
        for listener in self._report_listeners:
            listener(report)

    def on_close(self, peer: Peer) -> None:
        """Tell the listeners when the closed link was that of a child."""
        if peer.vm_id in self._overlay.children(0):
            for listener in self._loss_listeners:
                listener(peer.vm_id)

    def _pass_on(self, report: EvidenceReport, source: Peer | None) -> None:
        body = messages.Evidence(report)
        for peer in self._peers:
            is_other_zone = peer.availability_zone != self._own.availability_zone
            if is_other_zone and self._peers.is_push_target(peer, source):
                peer.stream.send(body)
        is_from_zone = source is None or (
            source.availability_zone == self._own.availability_zone
        )
        # A relay that is not the root hands totals of other zones to the root.
        if not is_from_zone and not self.is_zone_root():
            self._send_to_parent(body)

    def _send_to_parent(self, body: messages.Evidence) -> None:
        parent = self._overlay.parents()[0]
        peer = self._peers.get(parent) if parent is not None else None
        if peer is not None:
            peer.stream.send(body)

    def _is_fresh(self, report: EvidenceReport) -> bool:
        now = self._clock.monotonic()
        seen = self._seen_by_zone.get(report.source)
        if seen is not None and report.sequence <= seen.sequence:
            is_expired = now - seen.at > SEQUENCE_EXPIRY_SECONDS
            if not is_expired:
                return False
        self._seen_by_zone[report.source] = _Seen(report.sequence, now)
        return True
