"""Specification of a rollout's stages and its one-way taking back.

Two VMs in two availability zones, two rollouts of one name from two tickets, of which
the first is bad and the second good. Marks travel between VMs and over the system
stream, lost, doubled and reordered. VMs are replaced and join from a neighbour or from
the log; a VM may take no step for any length of time.
"""

import attrs
from minicheck import Protocol

from spec.pairs import set_item

STAGES = 2
VMS = (0, 1)
BAD, GOOD = 1, 2


@attrs.frozen
class Vm:
    """What one VM knows; the pairs are for the rollouts of ticket 1 and 2."""

    number: int = 0
    stages: tuple[int, int] = (0, 0)
    taken: tuple[bool, bool] = (False, False)

    @property
    def share(self) -> int:
        """Share of the new version in stages; 0 when taken back or not known."""
        if self.number == 0 or self.taken[self.number - 1]:
            return 0
        return 1 + self.stages[self.number - 1]


@attrs.frozen
class Variant:
    """Deliberate faults, each of which must be caught by one property.

    `one_decider` is no fault: it leaves out restarts and evidence on VM 1, so that VM 1
    can learn of a take-back only from others. Liveness is checked in that model.
    """

    one_decider: bool = False
    joins_without_marks: bool = False
    stage_clears_take_back: bool = False
    marks_by_name_only: bool = False
    does_not_record_take_back: bool = False
    ignores_marks_of_peers: bool = False


CORRECT = Variant()
LIVENESS = Variant(one_decider=True)

FIELDS = (
    "vms",
    "published",  # highest ticket on the log
    "recorded",  # take-backs on the system stream, by rollout
    "rose",  # whether a share rose from 0 after its VM knew the take-back
    "joined_unaware",  # whether a VM serves a version that its source knew as bad
)
INITIAL = ((Vm(), Vm()), 1, (False, False), False, False)


def _with_vm(state: tuple, index: int, vm: Vm) -> tuple:
    vms, published, recorded, rose, joined_unaware = state
    held = vms[index]
    number = held.number
    knew = number > 0 and vm.number == number and held.taken[number - 1]
    rose = rose or (knew and vm.share > 0)
    return (set_item(vms, index, vm), published, recorded, rose, joined_unaware)


def transitions(variant: Variant):
    """Return the transition function of a variant."""

    def successors(state: tuple) -> list[tuple[str, tuple]]:
        vms, published, recorded, rose, joined_unaware = state
        steps = []
        if published < GOOD:
            later = (vms, GOOD, recorded, rose, joined_unaware)
            steps.append(("publish", later))
        for index in VMS:
            if index == 0 or not variant.one_decider:
                steps.extend(_decide(state, index))
            steps.extend(_merge_from_peer(state, index, variant))
            steps.extend(_platform(state, index, variant))
            if not variant.one_decider:
                steps.append((f"restart_{index}", _with_vm(state, index, Vm())))
            steps.extend(_join_from_neighbour(state, index, variant))
        return steps

    return successors


def _decide(state: tuple, index: int) -> list[tuple[str, tuple]]:
    """Steps of a VM on its own evidence: clear a stage, or convict the bad version."""
    vm = state[0][index]
    if vm.share == 0:
        return []
    steps = []
    place = vm.number - 1
    if vm.stages[place] < STAGES:
        stages = set_item(vm.stages, place, vm.stages[place] + 1)
        raised = attrs.evolve(vm, stages=stages)
        steps.append((f"publish_stage_{index}", _with_vm(state, index, raised)))
    if vm.number == BAD:
        taken = attrs.evolve(vm, taken=set_item(vm.taken, place, True))
        steps.append((f"publish_take_back_{index}", _with_vm(state, index, taken)))
    return steps


def _merge_from_peer(
    state: tuple, index: int, variant: Variant
) -> list[tuple[str, tuple]]:
    vm, peer = state[0][index], state[0][1 - index]
    stages = tuple(max(pair) for pair in zip(vm.stages, peer.stages, strict=True))
    steps = []
    if stages != vm.stages:
        taken = vm.taken
        if variant.stage_clears_take_back:
            taken = (False, False)
        merged = attrs.evolve(vm, stages=stages, taken=taken)
        steps.append((f"merge_stage_{index}", _with_vm(state, index, merged)))
    taken = _merge_taken(vm.taken, peer.taken, variant)
    if taken != vm.taken and not variant.ignores_marks_of_peers:
        merged = attrs.evolve(vm, taken=taken)
        steps.append((f"merge_take_back_{index}", _with_vm(state, index, merged)))
    return steps


def _merge_taken(one: tuple, two: tuple, variant: Variant) -> tuple:
    merged = tuple(a or b for a, b in zip(one, two, strict=True))
    if variant.marks_by_name_only and any(merged):
        return (True, True)
    return merged


def _platform(state: tuple, index: int, variant: Variant) -> list[tuple[str, tuple]]:
    vms, published, recorded, rose, joined_unaware = state
    vm = vms[index]
    steps = []
    known = _merge_taken(recorded, vm.taken, CORRECT)
    if known != recorded and not variant.does_not_record_take_back:
        written = (vms, published, known, rose, joined_unaware)
        steps.append((f"record_take_back_{index}", written))
    if vm.number < published:
        # The system stream is read to its end before the first ticket is applied.
        taken = _merge_taken(vm.taken, recorded, variant)
        read = attrs.evolve(vm, number=vm.number + 1, taken=taken)
        steps.append((f"read_log_{index}", _with_vm(state, index, read)))
    if _merge_taken(vm.taken, recorded, variant) != vm.taken:
        read = attrs.evolve(vm, taken=_merge_taken(vm.taken, recorded, variant))
        steps.append((f"read_take_back_{index}", _with_vm(state, index, read)))
    return steps


def _join_from_neighbour(
    state: tuple, index: int, variant: Variant
) -> list[tuple[str, tuple]]:
    """Adopt a neighbour's state; its marks come before it."""
    vm, peer = state[0][index], state[0][1 - index]
    if vm.number >= peer.number:
        return []
    taken, stages = _merge_taken(vm.taken, peer.taken, variant), peer.stages
    if variant.joins_without_marks or variant.ignores_marks_of_peers:
        taken = vm.taken
    joined = attrs.evolve(vm, number=peer.number, taken=taken, stages=stages)
    vms, published, recorded, rose, unaware = _with_vm(state, index, joined)
    unaware = unaware or (peer.taken[peer.number - 1] and joined.share > 0)
    after = (vms, published, recorded, rose, unaware)
    return [(f"join_from_neighbour_{index}", after)]


def _is_settled(state: dict) -> bool:
    """Whether both VMs have all tickets and the same marks."""
    one, two = state["vms"]
    return one == two and one.number == state["published"]


INVARIANTS = {
    "taking_back_is_one_way": lambda state: not state["rose"],
    "no_vm_joins_unaware": lambda state: not state["joined_unaware"],
    "good_rollout_is_not_taken_back": lambda state: (
        not any(vm.taken[GOOD - 1] for vm in state["vms"])
    ),
}


def protocol(variant: Variant = CORRECT) -> Protocol:
    """Return the model of a variant."""
    return Protocol(
        name="rollout",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=transitions(variant),
        invariants=INVARIANTS,
        goal=_is_settled,
    )


# Each broken variant with the property that has to catch it.
BROKEN = {
    "joins_without_marks": (Variant(joins_without_marks=True), "no_vm_joins_unaware"),
    "stage_clears_take_back": (
        Variant(stage_clears_take_back=True),
        "taking_back_is_one_way",
    ),
    "marks_by_name_only": (
        Variant(marks_by_name_only=True),
        "good_rollout_is_not_taken_back",
    ),
    "ignores_marks_of_peers": (
        Variant(
            one_decider=True,
            ignores_marks_of_peers=True,
            does_not_record_take_back=True,
        ),
        "liveness",
    ),
}
