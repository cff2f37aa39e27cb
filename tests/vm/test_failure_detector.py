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
        held = self.directory.get(vm_id)
        return held.status if held else None

    def after(self, seconds):
        self.clock.seconds += seconds
        self.detector.tick()
        return self.status()


@pytest.fixture
def rig():
    return Rig()


def test_a_suspicion_that_is_not_refuted_becomes_death(rig):
    rig.detector.suspect("other")
    assert rig.after(4.9) is VmStatus.SUSPECT
    assert rig.after(0.2) is VmStatus.DEAD


def test_a_higher_incarnation_refutes(rig):
    rig.detector.suspect("other")
    rig.membership.accept(attrs.evolve(other, incarnation=11))
    assert rig.after(60) is VmStatus.ALIVE


def test_vms_of_other_zones_are_never_suspected(rig):
    rig.membership.accept(VmRecord("far", "r", "z2", "far:1", 10))
    rig.detector.suspect("far")
    assert rig.status("far") is VmStatus.ALIVE


def test_a_suspicion_by_a_vm_that_dies_itself_is_still_finished(rig):
    rig.membership.accept(attrs.evolve(other, status=VmStatus.SUSPECT))
    assert rig.after(6) is VmStatus.SUSPECT
    assert rig.after(5) is VmStatus.DEAD


def test_a_pause_of_the_judge_does_not_count_against_the_suspect(rig):
    rig.detector.suspect("other")
    rig.clock.seconds += 100
    rig.detector.extend_deadlines(100)
    assert rig.after(0) is VmStatus.SUSPECT


def test_a_vm_that_left_is_dropped_in_the_end(rig):
    rig.membership.accept(attrs.evolve(other, status=VmStatus.LEAVING, sequence=1))
    assert rig.after(30) is VmStatus.LEAVING
    assert rig.after(31) is VmStatus.DEAD


def test_a_tombstone_holds_off_late_updates_and_expires(rig):
    rig.detector.suspect("other")
    rig.after(6)
    dead = rig.directory.get("other")
    late = attrs.evolve(other, sequence=99, status=VmStatus.LEAVING)
    assert not rig.membership.accept(late)
    assert rig.after(TOMBSTONE_SECONDS - 120) is VmStatus.DEAD
    assert rig.after(120) is None
    # Another VM whose clock is behind must not bring the tombstone back.
    assert not rig.membership.accept(dead)


def test_own_record_is_refuted_with_a_higher_incarnation(rig):
    for status in (VmStatus.SUSPECT, VmStatus.DEAD):
        said = attrs.evolve(rig.membership.own, status=status, died_at=int(NOW))
        rig.membership.accept(said)
        assert rig.membership.own.incarnation == said.incarnation + 1
        assert rig.membership.own.status is VmStatus.ALIVE
    assert [r.incarnation for r in rig.announced] == [11, 12]


def test_a_restart_with_a_clock_set_back_overtakes_its_former_record(rig):
    former = attrs.evolve(own, incarnation=500, sequence=7)
    rig.membership.accept(former)
    assert rig.directory.get("own").incarnation == 501


def test_two_processes_with_one_id_do_not_raise_each_other(rig, monkeypatch):
    reported = []
    monkeypatch.setattr(
        "lacewingstair.events.error", lambda event, **_: reported.append(event)
    )
    for incarnation in (500, 501):
        intruder = attrs.evolve(own, address="x:1", incarnation=incarnation)
        rig.membership.accept(intruder)
    assert reported == ["vm_id_conflict"]
    assert rig.announced == []


def test_an_incarnation_that_could_not_be_raised_is_refused(rig):
    huge = attrs.evolve(own, incarnation=MAX_INCARNATION + 1, status=VmStatus.DEAD)
    assert not rig.membership.accept(huge)
    assert rig.membership.own.incarnation == 10
