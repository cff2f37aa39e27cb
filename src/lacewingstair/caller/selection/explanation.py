"""Tells where a call would be placed now, and why; sends nothing."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sized
from typing import Any

import attrs

from lacewingstair.caller.selection.candidates import CandidateSelection, TriedVms
from lacewingstair.caller.selection.placement import (
    Candidate,
    choose_candidate,
    expected_link_ms,
    expected_service_ms,
    expected_wait_ms,
    stated_times,
)
from lacewingstair.metadata.configuration import CallRoute, Configuration
from lacewingstair.runtime import Clock

# The choice is partly random; so many are made to tell the share of each VM.
DRAWS = 100


@attrs.frozen
class ExplainedCall:
    """Call that is explained; it has the properties of a `PlacedCall`.

    Parameters
    ----------
    service, route_name, method : str
        Service, route and method.
    route : CallRoute
        Configuration of the route.
    body : sized
        Stands for a body of the request's size.
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
    account: str = ""
    is_nested: bool = False


class PlacementExplanation:
    """Explains the placement of calls at this VM.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force.
    selection : CandidateSelection
        Selection that places calls.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        selection: CandidateSelection,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._selection = selection
        self._clock = clock

    def explain(
        self, host: str, path: str, method: str, size: int, account: str
    ) -> dict[str, Any]:
        """Return where a call would go, as a JSON object.

        Parameters
        ----------
        host, path, method : str
            Host name, path and method of the request.
        size : int
            Size of its body in bytes.
        account : str
            Name of its client account; empty if there is none.
        """
        configuration = self._configuration()
        asked = {"host": host, "path": path.partition("?")[0], "method": method}
        found = {
            **asked,
            "size": size,
            "account": account,
            "configuration": configuration.number,
            "route": None,
            "services": [],
        }
        if configuration.is_empty:
            return {**found, "reason": "no configuration yet"}
        named = configuration.table.find(host, asked["path"], method)
        if named is None:
            return {**found, "reason": "no route matches"}
        found["route"] = named.name
        if named.route.fault:
            return {**found, "reason": f"the route is unreadable: {named.route.fault}"}
        total = sum(part.weight for part in named.route.parts)
        now = self._clock.monotonic()
        for part in named.route.parts:
            call = ExplainedCall(
                part.service,
                named.name,
                method,
                named.route,
                range(size),
                now + named.route.target_latency_ms / 1000,
                now + named.route.timeout_ms / 1000,
                account,
            )
            share = part.weight / total if total else 0.0
            found["services"].append(
                {"service": part.service, "share": share, **self._placement(call, now)}
            )
        return {**found, "reason": ""}

    def _placement(self, call: ExplainedCall, now: float) -> dict[str, Any]:
        # A preference for the new version of a rollout would be counted as a call.
        candidates = list(
            self._selection.candidates(call.service, TriedVms(), len(call.body))
        )
        if not candidates:
            return {
                "choice": None,
                "reason": "no connected VM of the service takes calls",
                "candidates": [],
            }
        relative_cost = self._selection.relative_cost(call)
        chosen = self._draws(call, candidates, relative_cost, now)
        rows = [
            {
                **_candidate_row(found, relative_cost),
                "chosen_share": chosen[found.vm_id],
            }
            for found in candidates
        ]
        if not chosen:
            reason = "no VM is expected to answer in time"
            return {"choice": None, "reason": reason, "candidates": rows}
        ((choice, share),) = Counter(chosen).most_common(1)
        return {
            "choice": choice,
            "reason": f"chosen in {share:.0%} of {DRAWS} draws",
            "candidates": rows,
        }

    def _draws(
        self,
        call: ExplainedCall,
        candidates: Iterable[Candidate],
        relative_cost: float,
        now: float,
    ) -> Counter[str]:
        """Return the share of the draws in which each VM is chosen."""
        rng = random.Random()
        counts: Counter[str] = Counter()
        for _ in range(DRAWS):
            found = choose_candidate(
                candidates,
                (call.target_at - now) * 1000,
                (call.deadline_at - now) * 1000,
                self._selection.body_kib(call),
                rng,
                relative_cost,
            )
            if found is not None:
                counts[found.vm_id] += 1
        return Counter({vm_id: count / DRAWS for vm_id, count in counts.items()})


def _candidate_row(candidate: Candidate, relative_cost: float) -> dict[str, Any]:
    load = candidate.load
    if load.work_percent:
        times = stated_times(candidate, relative_cost)
        service_ms, wait_ms = times.service_ms + times.margin_ms, times.wait_ms
    else:
        service_ms, wait_ms = (
            expected_service_ms(candidate),
            expected_wait_ms(candidate),
        )
    return {
        "vm": candidate.vm_id,
        "distance": candidate.distance.name.lower(),
        "running": load.running,
        "waiting": load.waiting,
        "slots": load.slots,
        "unreported": candidate.unreported,
        "work_percent": load.work_percent or None,
        "backlog_ms": load.backlog_ms if load.work_percent else None,
        "report_age_ms": round(candidate.age_seconds * 1000),
        "service_ms": round(service_ms, 1),
        "wait_ms": round(wait_ms, 1),
        "link_ms": round(expected_link_ms(candidate), 1),
    }
