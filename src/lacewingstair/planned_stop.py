"""Ends the calls of a process in order before the platform kills it.

The gate stays open for a while, since its backend server's slots are missed elsewhere;
then the other VMs learn that this one leaves. The wait ends once callers and other VMs
have gone elsewhere and have all answers, or shortly before the kill.
"""

import attrs

from lacewingstair import events
from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.caller.ingress import Ingress
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_server import CallStreamServer
from lacewingstair.vm.entries import UpstreamState
from lacewingstair.vm.registration import Registration

# The platform sends no callers after two missed checks, one each second.
LEAVING_SECONDS = 2.2
# Part of the time to stop in which the gate stays open: the process waits for callers
# to go elsewhere anyway, and its backend server's slots are missed meanwhile.
GATE_OPEN_SHARE = 0.3
# Left between the latest end of a call that is still taken and the platform's kill.
STOP_MARGIN_SECONDS = 0.6
# Left of it for closing, when calls that are still open are cut.
CLOSE_SECONDS = 0.25
STOP_CHECK_SECONDS = 0.05
# While too few VMs of a zone are ready, the platform sends callers to one that leaves.
CALLERS_GONE_SECONDS = 0.5
# Calls that other VMs sent before they learned of the stop arrive until then.
VMS_GONE_SECONDS = 0.4


class PlannedStop:
    """Waits for the calls of a process that stops.

    Parameters
    ----------
    ingress : Ingress
        Calls of callers.
    gate : AdmissionProxy
        Calls at the backend server.
    call_server : CallStreamServer
        Calls of other VMs.
    registration : Registration
        Tells the other VMs that this one leaves.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        ingress: Ingress,
        gate: AdmissionProxy,
        call_server: CallStreamServer,
        registration: Registration,
        clock: Clock,
    ) -> None:
        self._ingress = ingress
        self._gate = gate
        self._call_server = call_server
        self._registration = registration
        self._clock = clock

    async def run(self, started_at: float, killed_at: float) -> None:
        """Wait until the process can end, and cut what is open then.

        Parameters
        ----------
        started_at, killed_at : float
            Begin of the stop and time of the platform's kill, monotonic seconds.
        """
        self._ingress.is_draining = True
        await self._wait_for_calls(started_at, killed_at)
        self._log_open_calls(started_at, killed_at)
        self._ingress.abort_calls()

    async def _wait_for_calls(self, started_at: float, killed_at: float) -> None:
        """Wait until no call is open and none is to be expected, or for too long."""
        latest = killed_at - STOP_MARGIN_SECONDS
        self._ingress.stop_admission.ends_at = latest
        self._gate.stop_admission.ends_at = latest
        await self._wait_until_quiet(started_at, killed_at, latest)
        # What arrives from now on could not be answered before the end.
        self._ingress.stop_admission.ends_at = self._clock.monotonic()
        self._close_gate()
        cut_at = killed_at - CLOSE_SECONDS
        while not self.is_idle() and self._clock.monotonic() < cut_at:
            await self._clock.sleep(STOP_CHECK_SECONDS)
            # A report of the backend server opens it again.
            self._close_gate()

    async def _wait_until_quiet(
        self, started_at: float, killed_at: float, latest: float
    ) -> None:
        """Wait until callers and other VMs have gone elsewhere; close the gate."""
        has_upstream = self._gate.identity.state is not UpstreamState.ABSENT
        # Without one the VM is removed, and a later end keeps no slots waiting.
        earliest = started_at + LEAVING_SECONDS if has_upstream else latest
        gate_closes_at = started_at + GATE_OPEN_SHARE * (killed_at - started_at)
        left_at: float | None = None
        while (now := self._clock.monotonic()) < latest:
            is_quiet = now - self._ingress.newest_call_at >= CALLERS_GONE_SECONDS
            is_done = self.is_idle() and is_quiet and now >= earliest
            if left_at is None and (is_done or now >= gate_closes_at):
                self._leave_mesh()
                left_at = now
            if is_done and now - left_at >= VMS_GONE_SECONDS:
                return
            await self._clock.sleep(STOP_CHECK_SECONDS)

    def _close_gate(self) -> None:
        """Refuse the calls that have not begun to run, here and of other VMs."""
        closed = attrs.evolve(self._gate.identity, state=UpstreamState.ABSENT)
        self._gate.set_identity(closed)

    def is_idle(self) -> bool:
        """Return whether no call is open here, and all answers have left."""
        if self._ingress.open_calls or self._ingress.queued_calls:
            return False
        if self._call_server.open_calls:
            return False
        return not self._ingress.unsent_bytes and not self._call_server.unsent_bytes

    def _log_open_calls(self, started_at: float, killed_at: float) -> None:
        """Log what the end of the process cuts."""
        now = self._clock.monotonic()
        events.info(
            "stop_wait_ended",
            waited_ms=round((now - started_at) * 1000),
            left_ms=round((killed_at - now) * 1000),
            callers_calls=self._ingress.open_calls,
            vms_calls=self._call_server.open_calls,
            unsent_bytes=self._ingress.unsent_bytes,
            vms_unsent_bytes=self._call_server.unsent_bytes,
        )

    def _leave_mesh(self) -> None:
        """Let the calls of other VMs, and of this one, go to other gates."""
        self._gate.is_stopping = True
        self._registration.change(is_leaving=True)
