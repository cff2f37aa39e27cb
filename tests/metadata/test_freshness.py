from lacewingstair import events
from lacewingstair.metadata.freshness import STORE, Freshness


class ManualClock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class Vm:
    """Freshness of a VM whose position and clock a test sets."""

    def __init__(self):
        self.clock = ManualClock()
        self.position = -1
        self.delays = []
        self.freshness = Freshness(
            lambda: self.position, self.clock, self.delays.append
        )

    def take(self, position, source=STORE):
        self.position = position
        return self.freshness.note_position(source)


def test_the_age_counts_from_the_last_read_that_found_nothing_newer():
    vm = Vm()
    vm.clock.now += 3
    assert vm.freshness.age_seconds() == 3
    vm.take(4)
    vm.freshness.note_end(5, vm.clock.now)
    vm.clock.now += 2
    assert vm.freshness.age_seconds() == 2


def test_a_read_proves_nothing_until_its_records_are_held():
    """Guards against a VM that counts as current while it lacks known records."""
    vm = Vm()
    vm.take(4)
    vm.freshness.note_end(5, vm.clock.now)
    vm.clock.now += 1
    vm.freshness.note_end(7, vm.clock.now, "other")
    vm.clock.now += 1
    assert vm.freshness.age_seconds() == 2
    vm.take(6, "other")
    assert vm.freshness.age_seconds() == 1


def test_what_another_vm_holds_is_no_proof():
    """Guards against VMs that confirm each other an older version."""
    vm = Vm()
    vm.take(4)
    vm.freshness.note_end(5, vm.clock.now)
    vm.clock.now += 1
    vm.freshness.note_newer(6, "other")
    vm.take(6, "other")
    assert vm.freshness.age_seconds() == 1


def test_a_vm_that_is_always_one_version_behind_has_proofs():
    """Guards against a storm of versions in which each VM checks the store itself."""
    vm = Vm()
    vm.take(4)
    for end_offset in range(6, 60):
        vm.freshness.note_end(end_offset, vm.clock.now, "other")
        vm.clock.now += 0.2
        vm.take(end_offset - 2, "other")
        vm.clock.now += 0.1
    assert vm.freshness.age_seconds() < 0.7


def test_the_delay_of_a_change_is_bounded_by_the_last_proof():
    vm = Vm()
    assert vm.take(4) is None
    vm.freshness.note_end(5, vm.clock.now)
    vm.clock.now += 1.5
    assert vm.take(5) == 1.5
    assert vm.take(5) is None
    assert vm.delays == [1.5]


def test_a_vm_that_was_behind_says_for_how_long_and_who_knew(monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, "warning", lambda name, **fields: lines.append((name, fields))
    )
    vm = Vm()
    vm.take(4)
    vm.freshness.note_end(5, vm.clock.now)
    vm.clock.now += 16
    vm.freshness.note_newer(7, "vm1")
    vm.clock.now += 1
    vm.take(7, "vm2")
    (name, fields) = lines[0]
    assert name == "records_were_behind"
    assert fields["behind_ms_at_most"] == 17_000
    assert fields["known_ms"] == 1_000
    assert (fields["known_from"], fields["taken_from"]) == ("vm1", "vm2")
