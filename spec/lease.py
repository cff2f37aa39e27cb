"""Specification of the lease and the checkpoints on the system stream.

Two VMs claim the lease and write checkpoints of two chunks. VM 0 holds an older state
than VM 1. A VM may take no step for any length of time, so that its belief in its lease
outlives the lease: that is a pause. An answer to an append may be lost, upon which the
writer reads back before it goes on. Readers fold the stream as ``platform`` does; the
model keeps the result of the fold in place of the records.
"""

import attrs
from minicheck import Protocol

from spec.pairs import set_item

MAX_RECORDS = 6
MAX_TIME = 4
LEASE_TTL = 2
CHUNKS = 2
VMS = (0, 1)
# Offset of the ticket stream up to which each VM has folded.
STATE_OFFSETS = (1, 2)


@attrs.frozen
class Writer:
    """What one VM believes: its token and how many chunks it has written under it."""

    token: int | None = None
    chunks: int = 0
    has_lost_answer: bool = False


@attrs.frozen
class Variant:
    """Deliberate faults; each must be caught by one property."""

    ignores_token: bool = False
    ignores_expiry: bool = False
    grants_every_claim: bool = False
    takes_older_checkpoint: bool = False
    repeats_without_read_back: bool = False


CORRECT = Variant()
LIVENESS = None


@attrs.frozen
class Folded:
    """What a reader concludes from the stream, and what the properties watch."""

    records: int = 0
    holder: int | None = None
    token: int | None = None
    expires: int = 0
    chunks: tuple[int, int] = (0, 0)
    checkpoint: int = 0
    overlaps: bool = False
    unfenced: bool = False
    went_back: bool = False
    doubled: bool = False


def fold_claim(folded: Folded, vm: int, time: int, variant: Variant) -> Folded:
    """Return the fold after a lease claim, made at the log's time."""
    offset = folded.records
    folded = attrs.evolve(folded, records=offset + 1)
    is_taken = folded.holder is not None and time < folded.expires
    if is_taken and not variant.grants_every_claim:
        return folded
    return attrs.evolve(
        folded,
        holder=vm,
        token=offset,
        expires=time + LEASE_TTL,
        chunks=(0, 0),
        overlaps=folded.overlaps or (is_taken and folded.holder != vm),
    )


def fold_chunk(
    folded: Folded, vm: int, token: int, time: int, variant: Variant
) -> Folded:
    """Return the fold after a checkpoint chunk that carries a token."""
    folded = attrs.evolve(folded, records=folded.records + 1)
    is_current = token == folded.token or variant.ignores_token
    is_live = time < folded.expires or variant.ignores_expiry
    if not (is_current and is_live):
        return folded
    is_fenced = token == folded.token and time < folded.expires
    count = folded.chunks[vm] + 1
    folded = attrs.evolve(
        folded,
        unfenced=folded.unfenced or not is_fenced,
        chunks=set_item(folded.chunks, vm, count % CHUNKS),
    )
    offset = STATE_OFFSETS[vm]
    is_older = offset <= folded.checkpoint
    if count < CHUNKS or (is_older and not variant.takes_older_checkpoint):
        return folded
    went_back = folded.went_back or offset < folded.checkpoint
    return attrs.evolve(folded, checkpoint=offset, went_back=went_back)


FIELDS = ("time", "folded", "writers")
INITIAL = (0, Folded(), (Writer(), Writer()))


def transitions(variant: Variant):
    """Return the transition function of a variant."""

    def successors(state: tuple) -> list[tuple[str, tuple]]:
        time, folded, writers = state
        steps = []
        if time < MAX_TIME:
            steps.append(("tick", (time + 1, folded, writers)))
        for vm in VMS:
            steps.extend(_writer_steps(state, vm, variant))
        return steps

    return successors


def _writer_steps(state: tuple, vm: int, variant: Variant) -> list[tuple[str, tuple]]:
    folded, writer = state[1], state[2][vm]
    if writer.has_lost_answer:
        return _lost_answer_steps(state, vm, variant)
    if writer.chunks == CHUNKS:
        return [(f"release_{vm}", _with_writer(state, vm, Writer()))]
    steps = []
    if writer.token is None and folded.holder == vm:
        granted = Writer(token=folded.token)
        steps.append((f"learn_grant_{vm}", _with_writer(state, vm, granted)))
    if folded.records < MAX_RECORDS:
        steps.extend(_append_steps(state, vm, variant))
    return steps


def _append_steps(state: tuple, vm: int, variant: Variant) -> list[tuple[str, tuple]]:
    time, folded, writers = state
    writer = writers[vm]
    if writer.token is None:
        name = f"claim_{vm}"
        folded = fold_claim(folded, vm, time, variant)
    else:
        name = f"write_chunk_{vm}"
        folded = fold_chunk(folded, vm, writer.token, time, variant)
        writer = attrs.evolve(writer, chunks=writer.chunks + 1)
    appended = _with_writer((time, folded, writers), vm, writer)
    lost = attrs.evolve(writer, has_lost_answer=True)
    return [
        (name, appended),
        (f"{name}_answer_lost", _with_writer(appended, vm, lost)),
    ]


def _lost_answer_steps(
    state: tuple, vm: int, variant: Variant
) -> list[tuple[str, tuple]]:
    time, folded, writers = state
    found = attrs.evolve(writers[vm], has_lost_answer=False)
    if not variant.repeats_without_read_back:
        return [(f"read_back_{vm}", _with_writer(state, vm, found))]
    folded = attrs.evolve(folded, records=folded.records + 1, doubled=True)
    return [(f"append_again_{vm}", _with_writer((time, folded, writers), vm, found))]


def _with_writer(state: tuple, vm: int, writer: Writer) -> tuple:
    time, folded, writers = state
    return (time, folded, set_item(writers, vm, writer))


INVARIANTS = {
    "leases_never_overlap": lambda state: not state["folded"].overlaps,
    "chunks_count_only_under_a_live_lease": lambda state: not state["folded"].unfenced,
    "checkpoint_never_goes_back": lambda state: not state["folded"].went_back,
    "no_append_is_doubled": lambda state: not state["folded"].doubled,
}


def protocol(variant: Variant = CORRECT) -> Protocol:
    """Return the model of a variant."""
    return Protocol(
        name="lease",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=transitions(variant),
        invariants=INVARIANTS,
    )


# Each broken variant with the property that has to catch it.
BROKEN = {
    "ignores_token": (
        Variant(ignores_token=True),
        "chunks_count_only_under_a_live_lease",
    ),
    "ignores_expiry": (
        Variant(ignores_expiry=True),
        "chunks_count_only_under_a_live_lease",
    ),
    "grants_every_claim": (Variant(grants_every_claim=True), "leases_never_overlap"),
    "takes_older_checkpoint": (
        Variant(takes_older_checkpoint=True),
        "checkpoint_never_goes_back",
    ),
    "repeats_without_read_back": (
        Variant(repeats_without_read_back=True),
        "no_append_is_doubled",
    ),
}
