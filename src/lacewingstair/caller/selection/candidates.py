"""Collects the VMs that may run a call, and selects one of them."""

import random
from collections.abc import Callable, Iterator, Sized
from typing import Protocol

import attrs

from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.caller.selection.answer_sizes import AnswerSizes
from lacewingstair.caller.selection.placement import (
    Candidate,
    Distance,
    choose_candidate,
)
from lacewingstair.metadata.configuration import CallRoute
from lacewingstair.runtime import Clock
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.link_queue import MIN_COUNTED_BYTES, transfer_ms
from lacewingstair.work.estimates import CallClass


class PlacedCall(Protocol):
    """Properties of a call that the selection depends on.

    Attributes
    ----------
    service, route_name, method : str
        Service, route and method of the call.
    route : CallRoute
        Configuration of the route.
    body : sized
        Body of the request; only its size matters.
    target_at, deadline_at : float
        Latency target and deadline, monotonic seconds.
    account : str
        Name of the client account; empty if there is none.
    is_nested : bool
        Whether a backend server makes the call while it runs another one.
    """

    service: str
    route_name: str
    method: str
    route: CallRoute
    body: Sized
    target_at: float
    deadline_at: float
    account: str
    is_nested: bool


@attrs.define
class TriedVms:
    """VMs that earlier attempts of a call exclude.

    Parameters
    ----------
    tried : set of str
        Ids of the VMs that were tried.
    prefers_new_version : bool or None
        Whether the call goes to the new version of a rollout; None without a rollout.
    """

    tried: set[str] = attrs.field(factory=set)
    prefers_new_version: bool | None = None


class CandidateSelection:
    """Selects the VM for each attempt of a call.

    Parameters
    ----------
    own_entry : callable
        Returns the entry of this VM.
    view : MeshView
        Entries of all VMs.
    links : CallLinks
        Links to other VMs.
    gate : AdmissionProxy
        Proxy of this VM.
    rollouts : RolloutCoordinator
        Decides which VMs serve a new version.
    clock, rng
        Sources of time and randomness.
    """

    def __init__(
        self,
        own_entry: Callable[[], VmEntry],
        view: MeshView,
        links: CallLinks,
        gate: AdmissionProxy,
        rollouts: RolloutCoordinator,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own_entry = own_entry
        self._view = view
        self._links = links
        self._gate = gate
        self._rollouts = rollouts
        self._clock = clock
        self._rng = rng
        self._answer_sizes = AnswerSizes()

    def record_answer(self, call: PlacedCall, size: int) -> None:
        """Record the size of the answer to a call in bytes."""
        self._answer_sizes.record(call.route_name, size)

    def choose_vm(self, call: PlacedCall, tried: TriedVms) -> str | None:
        """Return the VM for the next attempt of a call, or None if none is suitable.

        If no VM of the new version is eligible, `tried` is changed to the old one.
        """
        chosen = self._choose_candidate(call, tried)
        if (
            chosen is None
            and tried.prefers_new_version
            and next(self.candidates(call.service, tried), None) is None
        ):
            tried.prefers_new_version = False
            chosen = self._choose_candidate(call, tried)
        if chosen is not None:
            return chosen.vm_id
        return self._choose_disconnected(call.service, tried)

    def _choose_candidate(self, call: PlacedCall, tried: TriedVms) -> Candidate | None:
        now = self._clock.monotonic()
        goes_ahead = call.is_nested and self._gate.prefers_nested_calls
        target_ms = (call.target_at - now) * 1000
        if goes_ahead:
            # Its parent has a target of its own, and waits for the response.
            target_ms = min(target_ms, call.route.target_latency_ms)
        return choose_candidate(
            self.candidates(call.service, tried, len(call.body)),
            target_ms,
            (call.deadline_at - now) * 1000,
            self.body_kib(call),
            self._rng,
            self.relative_cost(call),
            goes_ahead=goes_ahead,
        )

    def relative_cost(self, call: PlacedCall) -> float:
        """Return the expected cost as a multiple of the mean of the service."""
        size = len(call.body)
        call_class = CallClass(call.route_name, call.method, size, call.account)
        return self._gate.relative_cost(call.service, call_class)

    def body_kib(self, call: PlacedCall) -> float:
        """Return the expected size of both bodies of a call."""
        answer_bytes = self._answer_sizes.expected_bytes(
            call.route_name, call.route.has_large_answers
        )
        return (len(call.body) + answer_bytes) / 1024

    def _choose_disconnected(self, service: str, tried: TriedVms) -> str | None:
        """Return a disconnected VM that may have recovered, or None."""
        own_vm_id = self._own_entry().vm_id
        now = self._clock.monotonic()
        found = []
        for entry in self._view.entries_of_service(service):
            link = self._links.get(entry.vm_id)
            if entry.vm_id == own_vm_id or link is None:
                continue
            if not self._is_eligible(entry, tried):
                continue
            if not link.is_connected and link.is_usable(now):
                found.append(entry.vm_id)
        return self._rng.choice(found) if found else None

    def _is_eligible(self, entry: VmEntry, tried: TriedVms) -> bool:
        if entry.vm_id in tried.tried or not entry.accepts_calls:
            return False
        return self._rollouts.allows(
            entry.service, entry.vm_id, entry.version, tried.prefers_new_version
        )

    def candidates(
        self, service: str, tried: TriedVms, body_bytes: int = 0
    ) -> Iterator[Candidate]:
        """Yield the VMs that may run a call, the nearest first."""
        own = self._own_entry()
        now = self._clock.monotonic()
        for entry in self._view.entries_of_service(service):
            if not self._is_eligible(entry, tried):
                continue
            if entry.vm_id == own.vm_id:
                if self._gate.is_open and not self._gate.is_stopping:
                    yield Candidate(own.vm_id, Distance.SAME_VM, self._gate.load())
                continue
            link = self._links.get(entry.vm_id)
            if link is None or not link.is_connected or not link.load.is_open:
                continue
            age = now - link.load_received_at
            if link.in_flight and not link.load.work_percent:
                age = 0.0
            distance = _distance(own, entry)
            yield Candidate(
                entry.vm_id,
                distance,
                link.load,
                link.calls_since_load_report,
                age,
                _transfer_ms(body_bytes, entry),
            )


def _transfer_ms(body_bytes: int, entry: VmEntry) -> float:
    """Return how long a body occupies the link of a VM, 0 for small ones."""
    if body_bytes < MIN_COUNTED_BYTES:
        return 0.0
    return transfer_ms(body_bytes, entry.bandwidth_kbps)


def _distance(own: VmEntry, other: VmEntry) -> Distance:
    if own.availability_zone == other.availability_zone:
        return Distance.SAME_ZONE
    if own.region == other.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
