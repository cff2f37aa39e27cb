import attrs
import pytest

from lacewingstair.vm.directory import TOMBSTONE_SECONDS, Directory, VmRecord, VmStatus
from lacewingstair.vm.failure_detector import FailureDetector
from lacewingstair.vm.membership import MAX_INCARNATION, Membership

NOW = 1_700_000_040.0
own = VmRecord("own", "r", "z", "own:1", 10)
other = VmRecord("other", "r", "z", "other:1", 10)


class ManualClock:
    def __init__(self):
        self.seconds = 0.0

    def monotonic(self):
        return self.seconds

    def wall(self):
        return NOW + self.seconds


class Rig:
    def __init__(self):
        self.clock = ManualClock()
        self.directory = Directory()
        self.announced = []
        self.membership = Membership(
            self.directory, own, self.announced.append, self.clock
        )
        self.detector = FailureDetector(
            self.directory, own, self.membership.accept, self.clock
        )
        self.membership.accept(other)

    def status(self, vm_id="other"):
        record = self.directory.get(vm_id)
        return record.status if record else None

    def status_after(self, seconds):
        self.clock.seconds += seconds
        self.detector.tick()
        return self.status()


@pytest.fixture
def rig():
    return Rig()


def test_a_suspect_that_does_not_refute_is_declared_dead(rig):
    rig.detector.suspect("other")
    assert rig.status_after(4.9) is VmStatus.SUSPECT
    assert rig.status_after(0.2) is VmStatus.DEAD


def test_a_higher_incarnation_refutes_a_suspicion(rig):
    rig.detector.suspect("other")
    rig.membership.accept(attrs.evolve(other, incarnation=11))
    assert rig.status_after(60) is VmStatus.ALIVE


def test_vms_of_other_zones_are_never_suspected(rig):
    rig.membership.accept(VmRecord("far", "r", "z2", "far:1", 10))
    rig.detector.suspect("far")
    assert rig.status("far") is VmStatus.ALIVE


def test_another_vm_declares_the_death_if_the_suspecting_vm_has_failed(rig):
    rig.membership.accept(attrs.evolve(other, status=VmStatus.SUSPECT))
    assert rig.status_after(6) is VmStatus.SUSPECT
    assert rig.status_after(5) is VmStatus.DEAD


def test_a_pause_of_the_suspecting_vm_extends_the_deadline(rig):
    rig.detector.suspect("other")
    rig.clock.seconds += 100
    rig.detector.extend_deadlines(100)
    assert rig.status_after(0) is VmStatus.SUSPECT


def test_a_leaving_vm_is_declared_dead_after_the_leaving_timeout(rig):
    rig.membership.accept(attrs.evolve(other, status=VmStatus.LEAVING, sequence=1))
    assert rig.status_after(30) is VmStatus.LEAVING
    assert rig.status_after(31) is VmStatus.DEAD


def test_a_tombstone_rejects_late_updates_and_expires(rig):
    rig.detector.suspect("other")
    rig.status_after(6)
    dead = rig.directory.get("other")
    late_update = attrs.evolve(other, sequence=99, status=VmStatus.LEAVING)
    assert not rig.membership.accept(late_update)
    assert rig.status_after(TOMBSTONE_SECONDS - 120) is VmStatus.DEAD
    assert rig.status_after(120) is None
    # A VM whose clock is behind may still send the expired tombstone.
    assert not rig.membership.accept(dead)


def test_own_record_is_refuted_with_a_higher_incarnation(rig):
    for status in (VmStatus.SUSPECT, VmStatus.DEAD):
        claimed = attrs.evolve(rig.membership.own, status=status, died_at=int(NOW))
        rig.membership.accept(claimed)
        assert rig.membership.own.incarnation == claimed.incarnation + 1
        assert rig.membership.own.status is VmStatus.ALIVE
    assert [r.incarnation for r in rig.announced] == [11, 12]


def test_a_restart_with_a_clock_set_back_supersedes_the_previous_record(rig):
    previous = attrs.evolve(own, incarnation=500, sequence=7)
    rig.membership.accept(previous)
    assert rig.directory.get("own").incarnation == 501


def test_two_processes_with_one_id_do_not_refute_each_other(rig, monkeypatch):
    reported = []
    monkeypatch.setattr(
        "lacewingstair.events.error", lambda event, **_: reported.append(event)
    )
    for incarnation in (500, 501):
        other_process = attrs.evolve(own, address="x:1", incarnation=incarnation)
        rig.membership.accept(other_process)
    assert reported == ["vm_id_conflict"]
    assert rig.announced == []


def test_an_incarnation_too_high_to_be_raised_is_rejected(rig):
    too_high = attrs.evolve(own, incarnation=MAX_INCARNATION + 1, status=VmStatus.DEAD)
    assert not rig.membership.accept(too_high)
    assert rig.membership.own.incarnation == 10
