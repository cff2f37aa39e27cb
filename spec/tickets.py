"""Specification of ticket distribution.

Two VMs, one log of at most three tickets, two operators who race for number 2, and one
ticket that would remove a service that is still routed to. Deltas between VMs are lost,
doubled and reordered: every delta up to the highest offset that any VM has held may
arrive at any later time, any number of times, or never. That is more than what was
sent, so it covers every loss, doubling and reordering. Records expire once a checkpoint
covers them. VMs restart without state, lose the log, and are cut off from each other.
"""

import attrs
from minicheck import Protocol

from spec.pairs import set_item

MAX_RECORDS = 3
VMS = (0, 1)

# Tickets by one-letter name: number, whether it adds the service and the route.
CREATE = "a"  # number 1: service and route
FIRST_EDIT = "b"  # number 2
RIVAL_EDIT = "c"  # number 2, other content
REMOVAL = "d"  # number 3: removes the service, not the route
NUMBERS = {CREATE: 1, FIRST_EDIT: 2, RIVAL_EDIT: 2, REMOVAL: 3}


@attrs.frozen
class Config:
    """Configuration of one VM: `MeshState` reduced to what the properties need."""

    offset: int = 0
    number: int = 0
    accepted: str = ""
    has_service: bool = False
    has_route: bool = False


@attrs.frozen
class Variant:
    """Deliberate faults; each must be caught by one property."""

    accepts_by_arrival: bool = False
    applies_old_deltas: bool = False
    skips_route_check: bool = False
    applies_in_two_steps: bool = False
    expires_without_checkpoint: bool = False
    adopts_any_checkpoint: bool = False


CORRECT = Variant()
LIVENESS = CORRECT


def fold(config: Config, record: str, offset: int, variant: Variant) -> Config:
    """Return the configuration after one more record, as ``acceptance.fold`` does."""
    after = attrs.evolve(config, offset=offset + 1)
    if not _is_accepted(config, record, variant):
        return after
    return attrs.evolve(
        after,
        number=NUMBERS[record],
        accepted=config.accepted + record,
        has_service=record != REMOVAL,
        has_route=True,
    )


def _is_accepted(config: Config, record: str, variant: Variant) -> bool:
    if NUMBERS[record] <= config.number:
        return False
    if record == REMOVAL:
        return variant.skips_route_check and config.has_route
    return record == CREATE or config.has_service


def fold_all(log: str, end: int, variant: Variant = CORRECT) -> Config:
    """Return the configuration after the records before `end`."""
    config = Config()
    for offset in range(end):
        config = fold(config, log[offset], offset, variant)
    return config


FIELDS = (
    "log",  # tickets in the log's order
    "first",  # first offset that the log keeps
    "checkpoint",  # offset of the newest whole checkpoint, 0 for none
    "configs",  # Config of each VM
    "half",  # Config that a VM has applied in part, only in a broken variant
    "highest",  # highest offset that any VM has held, in any process
    "is_cut",  # whether the VMs are cut off from each other
    "is_log_up",  # whether the log answers
    "went_back",  # whether a VM has returned to an older ticket in one process
)
INITIAL = ("", 0, 0, (Config(), Config()), (None, None), 0, False, True, False)


def _replace(state: tuple, **changes: object) -> tuple:
    values = dict(zip(FIELDS, state, strict=True))
    values.update(changes)
    return tuple(values[field] for field in FIELDS)


def _with_config(state: tuple, vm: int, config: Config) -> tuple:
    values = dict(zip(FIELDS, state, strict=True))
    held = values["configs"][vm]
    return _replace(
        state,
        configs=set_item(values["configs"], vm, config),
        highest=max(values["highest"], config.offset),
        went_back=values["went_back"] or config.number < held.number,
    )


def transitions(variant: Variant):
    """Return the transition function of a variant."""

    def successors(state: tuple) -> list[tuple[str, tuple]]:
        steps = [*_platform_steps(state, variant), *_fault_steps(state)]
        for vm in VMS:
            steps.extend(_log_steps(state, vm, variant))
            steps.extend(_vm_steps(state, vm, variant))
            steps.extend(_second_half(state, vm))
        return steps

    return successors


def _platform_steps(state: tuple, variant: Variant) -> list[tuple[str, tuple]]:
    log, first, checkpoint = state[0], state[1], state[2]
    steps = []
    if state[7] and len(log) < MAX_RECORDS:
        for ticket in NUMBERS:
            if ticket not in log:
                steps.append((f"publish_{ticket}", _replace(state, log=log + ticket)))
    limit = len(log) if variant.expires_without_checkpoint else checkpoint
    if first < limit:
        steps.append(("expire", _replace(state, first=first + 1)))
    return steps


def _fault_steps(state: tuple) -> list[tuple[str, tuple]]:
    is_cut, is_log_up = state[6], state[7]
    steps = [
        ("heal" if is_cut else "cut", _replace(state, is_cut=not is_cut)),
        (
            "log_down" if is_log_up else "log_up",
            _replace(state, is_log_up=not is_log_up),
        ),
    ]
    for vm in VMS:
        # A replaced VM keeps nothing, so an earlier process sets no bound for it.
        configs = set_item(state[3], vm, Config())
        half = set_item(state[4], vm, None)
        steps.append((f"restart_{vm}", _replace(state, configs=configs, half=half)))
    return steps


def _log_steps(state: tuple, vm: int, variant: Variant) -> list[tuple[str, tuple]]:
    log, first, checkpoint, configs = state[:4]
    held = configs[vm]
    if not state[7]:
        return []
    steps = []
    if first <= held.offset < len(log):
        steps.append((f"read_{vm}", _apply(state, vm, held.offset + 1, variant)))
    is_expired = held.offset < first
    if is_expired and (checkpoint > held.offset or variant.adopts_any_checkpoint):
        config = fold_all(log, checkpoint, variant)
        steps.append((f"recover_{vm}", _with_config(state, vm, config)))
    if variant.adopts_any_checkpoint and checkpoint:
        config = fold_all(log, checkpoint, variant)
        steps.append((f"recover_{vm}", _with_config(state, vm, config)))
    if held.offset > checkpoint:
        written = _replace(state, checkpoint=held.offset)
        steps.append((f"write_checkpoint_{vm}", written))
    return steps


def _vm_steps(state: tuple, vm: int, variant: Variant) -> list[tuple[str, tuple]]:
    held, highest, is_cut = state[3][vm], state[5], state[6]
    if is_cut:
        return []
    first = 1 if variant.applies_old_deltas else held.offset + 1
    return [
        (f"apply_records_{vm}", _apply(state, vm, end, variant))
        for end in range(first, highest + 1)
    ]


def _apply(state: tuple, vm: int, end: int, variant: Variant) -> tuple:
    log, held = state[0], state[3][vm]
    if variant.accepts_by_arrival:
        # Judges the last record alone, without the records before it.
        config = fold(held, log[end - 1], end - 1, variant)
    elif end <= held.offset:
        config = fold_all(log, end, variant)
    else:
        config = held
        for offset in range(held.offset, end):
            config = fold(config, log[offset], offset, variant)
    if variant.applies_in_two_steps and not held.has_route and config.has_route:
        half = attrs.evolve(config, has_service=held.has_service)
        waiting = _replace(state, half=set_item(state[4], vm, config))
        return _with_config(waiting, vm, half)
    return _with_config(state, vm, config)


def _second_half(state: tuple, vm: int) -> list[tuple[str, tuple]]:
    rest = state[4][vm]
    if rest is None:
        return []
    finished = _replace(state, half=set_item(state[4], vm, None))
    return [(f"finish_{vm}", _with_config(finished, vm, rest))]


def _routes_have_services(state: dict) -> bool:
    return all(c.has_service or not c.has_route for c in state["configs"])


def _is_whole(state: dict) -> bool:
    """Whether each VM holds exactly the fold of the log up to its offset."""
    return all(c == fold_all(state["log"], c.offset) for c in state["configs"])


def _accepted_agree(state: dict) -> bool:
    """Whether what one VM accepted is a prefix of what the other accepted."""
    one, two = sorted((c.accepted for c in state["configs"]), key=len)
    return two.startswith(one)


def _is_settled(state: dict) -> bool:
    return all(c.offset == len(state["log"]) for c in state["configs"])


INVARIANTS = {
    "no_return_to_an_older_ticket": lambda state: not state["went_back"],
    "no_route_without_its_service": _routes_have_services,
    "no_ticket_applied_in_part": _is_whole,
    "accepted_never_reverts": _accepted_agree,
}


def protocol(variant: Variant = CORRECT) -> Protocol:
    """Return the model of a variant."""
    return Protocol(
        name="tickets",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=transitions(variant),
        invariants=INVARIANTS,
        goal=_is_settled,
    )


# Each broken variant with the property that has to catch it.
BROKEN = {
    "applies_old_deltas": (
        Variant(applies_old_deltas=True),
        "no_return_to_an_older_ticket",
    ),
    "adopts_any_checkpoint": (
        Variant(adopts_any_checkpoint=True),
        "no_return_to_an_older_ticket",
    ),
    "skips_route_check": (
        Variant(skips_route_check=True),
        "no_route_without_its_service",
    ),
    "applies_in_two_steps": (
        Variant(applies_in_two_steps=True),
        "no_ticket_applied_in_part",
    ),
    "accepts_by_arrival": (Variant(accepts_by_arrival=True), "accepted_never_reverts"),
    "expires_without_checkpoint": (
        Variant(expires_without_checkpoint=True),
        "liveness",
    ),
}
