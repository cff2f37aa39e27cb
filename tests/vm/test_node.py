"""Tests of complete meshes in virtual time."""

import asyncio
import functools
import json

import pytest
from loguru import logger

from lacewingstair.rollouts.evidence import EvidenceCounter, EvidenceReport
from lacewingstair.rollouts.marks import RollbackMark, RolloutKey, StageMark
from lacewingstair.standins.memory_network import Faults
from lacewingstair.standins.mesh_cluster import Cluster, zones
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Endpoint, VmStatus
from lacewingstair.vm.links import MAX_ACCEPTED_CONNECTIONS

ROLLOUT = RolloutKey("move", 1)


def run_on_mesh(zone_count=3, regions=2, vms_per_zone=4, **options):
    """Run a test coroutine on a settled mesh; an error in any VM fails the test."""

    def decorate(scenario):
        @functools.wraps(scenario)
        def run():
            async def main():
                cluster = Cluster(zones(zone_count, regions), vms_per_zone, **options)
                await cluster.start()
                failures = []
                loop = asyncio.get_running_loop()
                loop.set_exception_handler(lambda _, context: failures.append(context))
                await scenario(cluster)
                await cluster.stop()
                assert failures == []

            run_virtual(main())

        del run.__wrapped__
        return run

    return decorate


def record_rollbacks(cluster):
    """Return a list that records each VM's changes to an older ticket or offset."""
    rollbacks = []

    def record_rollback(before, after):
        if after.number < before.number or after.next_offset < before.next_offset:
            rollbacks.append((before.number, after.number))

    for vm in cluster:
        vm.store.subscribe(record_rollback)
    return rollbacks


def statuses(vm):
    return {record.vm_id: record.status for record in vm.directory}


@run_on_mesh()
async def test_mesh_converges_despite_lost_duplicated_and_delayed_deltas(cluster):
    rollbacks = record_rollbacks(cluster)
    cluster.network.faults = Faults(lost=0.2, doubled=0.3, late=0.3)
    for number in range(1, 21):
        cluster.publish(number)
        vm = cluster.rng.choice(list(cluster))
        vm.node.set_endpoints([Endpoint("s", f"v{number}", "e:1")])
        await asyncio.sleep(0.3)
    cluster.network.faults = Faults()
    await cluster.until(lambda: cluster.has_ticket(20) and cluster.is_settled(), 20)
    assert rollbacks == []
    assert len({vm.store.state.digest for vm in cluster}) == 1


@run_on_mesh()
async def test_lost_deltas_are_repaired_by_heartbeat_digests(cluster):
    cluster.network.faults = Faults(lost=1.0)
    cluster.publish(1)
    first = next(iter(cluster))
    first.node.publish_stage(StageMark(ROLLOUT, "z", "read", 2))
    first.node.publish_take_back(RollbackMark(ROLLOUT, "bad", "", 1.0, "vm"))
    first.node.set_endpoints([])
    await asyncio.sleep(0.5)
    assert not cluster.has_ticket(1)
    cluster.network.faults = Faults()

    def is_repaired():
        marks = {vm.marks.digest() for vm in cluster}
        return cluster.has_ticket(1) and cluster.is_settled() and len(marks) == 1

    await cluster.until(is_repaired, 15)
    assert first.marks.is_rolled_back(ROLLOUT)


@run_on_mesh()
async def test_permanently_silent_connections_are_replaced(cluster):
    assert cluster.network.silence(lambda one, other: True) > 0
    cluster.publish(1)
    await cluster.until(lambda: cluster.has_ticket(1), 8)
    await asyncio.sleep(20)
    assert set(statuses(next(iter(cluster))).values()) == {VmStatus.ALIVE}
    # A replacement connection is tried before the peer is suspected, so no VM had to
    # refute a suspicion with a new incarnation.
    incarnations = {vm.node.own.incarnation for vm in cluster}
    assert len(incarnations) == 1


@run_on_mesh(zone_count=4)
async def test_a_partitioned_zone_converges_without_rollback_after_healing(cluster):
    rollbacks = record_rollbacks(cluster)
    isolated, *others = [place.availability_zone for place in cluster.places][::-1]
    cluster.network.cut([isolated], others)
    cluster.log.cut_zones.add(isolated)
    cluster.publish(1)
    inside = cluster.in_zone(isolated)[0]
    inside.node.set_endpoints([Endpoint("inside", "v2", "e:1")])
    await asyncio.sleep(60)
    assert all(vm.number == 0 for vm in cluster.in_zone(isolated))
    assert sum(vm.number == 1 for vm in cluster) == 12
    # A partition between zones must not cause any VM to be declared dead.
    assert set(statuses(inside).values()) == {VmStatus.ALIVE}
    cluster.network.heal()
    await cluster.until(lambda: cluster.has_ticket(1) and cluster.is_settled(), 30)
    assert rollbacks == []


@run_on_mesh(zone_count=4)
async def test_a_zone_isolated_from_other_zones_reads_the_log_itself(cluster):
    isolated, *others = [place.availability_zone for place in cluster.places][::-1]
    cluster.network.cut([isolated], others)
    await asyncio.sleep(15)
    cluster.publish(1)
    await cluster.until(lambda: cluster.has_ticket(1), 25)
    assert 1 <= sum(vm.node.is_log_reader() for vm in cluster.in_zone(isolated)) <= 2


@run_on_mesh(vms_per_zone=20, decodes=False)
async def test_simultaneous_restart_of_zones_bounds_snapshots_and_log_reads(cluster):
    cluster.publish(1)
    await cluster.until(lambda: cluster.has_ticket(1), 10)
    restarted = [vm for vm in cluster if vm.place != cluster.places[0]]
    assert len(restarted) == 40
    others = cluster.in_zone(cluster.places[0].availability_zone)
    for vm in restarted:
        await cluster.crash(vm.vm_id)
    new = [
        await cluster.add(vm.place, index)
        for vm in restarted
        for index in [int(vm.vm_id.rsplit("-")[1]) + 100]
    ]
    records_read = cluster.log.records_read

    def has_ticket():
        # A VM without the directory of the mesh computes that it is a relay itself, but
        # must not read the log until it has joined.
        unjoined = [v for v in new if v.node.peers and not v.node.is_joined]
        assert not any(vm.node.is_log_reader() for vm in unjoined)
        return cluster.has_ticket(1)

    await cluster.until(has_ticket, 30)
    assert all(vm.node.snapshot_server.max_concurrent <= 4 for vm in cluster)
    assert cluster.log.records_read - records_read <= 4
    await cluster.until(cluster.is_settled, 120)
    assert sum(vm.node.snapshot_server.served for vm in [*others, *new]) >= 40


@run_on_mesh()
async def test_a_paused_vm_is_declared_dead_and_refutes_on_resumption(cluster):
    paused, *others = cluster.in_zone(cluster.places[1].availability_zone)
    before = paused.node.own.incarnation
    paused.transport.running.clear()
    await asyncio.sleep(20)
    assert statuses(others[0])[paused.vm_id] is VmStatus.DEAD
    paused.transport.running.set()
    await cluster.until(cluster.is_settled, 20)
    assert paused.node.own.incarnation > before
    # The paused VM received nothing for 20 s and must not suspect its peers for that.
    assert set(statuses(paused).values()) == {VmStatus.ALIVE}


@run_on_mesh()
async def test_a_pause_of_the_suspecting_vm_does_not_declare_the_suspect_dead(cluster):
    detector, suspect, observer = cluster.in_zone("r1z1")[:3]
    deaths = []
    for vm in (detector, observer):
        vm.directory.subscribe(
            lambda _, after: after.status is VmStatus.DEAD and deaths.append(after)
        )
    detector.node.on_unreachable(suspect.vm_id)
    detector.transport.running.clear()
    await asyncio.sleep(7)
    detector.transport.running.set()
    await asyncio.sleep(20)
    assert [d.vm_id for d in deaths if d.vm_id == suspect.vm_id] == []


@run_on_mesh(zone_count=4)
async def test_a_relay_failure_keeps_ticket_latency_within_the_target(cluster):
    zone = cluster.places[1].availability_zone
    (relay,) = [vm for vm in cluster.in_zone(zone) if vm.node.is_zone_root()]
    await cluster.crash(relay.vm_id)
    cluster.publish(1)
    await cluster.until(lambda: cluster.has_ticket(1), 5)
    await cluster.until(lambda: statuses(next(iter(cluster)))[relay.vm_id] == 3, 20)
    roots = [vm for vm in cluster.in_zone(zone) if vm.node.is_zone_root()]
    assert len(roots) == 1
    # Links to the new relay are opened at the next heartbeats.
    await asyncio.sleep(3)
    cluster.publish(2)
    assert await cluster.until(lambda: cluster.has_ticket(2), 5) < 0.5


@pytest.mark.parametrize("pause_seconds", [6, 30])
def test_a_relay_regains_its_links_and_role_after_a_pause(pause_seconds):
    """Guards against two faults that can follow the pause of a relay.

    The relay may have no links to the other zones of its region and treat them as
    unreachable, or a region pair may keep two eager links.
    """

    @run_on_mesh(zone_count=4)
    async def scenario(cluster):
        for place in list(cluster.places):
            zone = cluster.in_zone(place.availability_zone)
            (relay,) = [vm for vm in zone if vm.node.is_zone_root()]
            relay.transport.running.clear()
            await asyncio.sleep(pause_seconds)
            relay.transport.running.set()
            await asyncio.sleep(40)
            linked = {peer.availability_zone for peer in relay.node.peers}
            assert set(cluster.zones_of(place.region)) <= linked
        eager = [
            (vm, peer)
            for vm in cluster
            for peer in vm.node.peers
            if peer.is_eager and peer.region != vm.place.region
        ]
        # A single eager link, counted at both ends.
        assert len(eager) == 2

    scenario()


@run_on_mesh()
async def test_a_failed_leaf_is_detected_by_vms_that_were_never_linked_to_it(cluster):
    leaf = cluster.in_zone(cluster.places[0].availability_zone)[-1]
    # The other VMs of the zone are replaced too, so that no live VM of the zone ever
    # had a connection to the leaf.
    for vm in cluster.in_zone(cluster.places[0].availability_zone):
        await cluster.crash(vm.vm_id)
    for index in range(10, 13):
        await cluster.add(cluster.places[0], index)
    await cluster.until(cluster.is_settled, 90)
    assert statuses(next(iter(cluster)))[leaf.vm_id] is VmStatus.DEAD


@run_on_mesh()
async def test_a_vm_that_restarts_with_its_id_replaces_its_record(cluster):
    old = await cluster.crash(
        cluster.in_zone(cluster.places[0].availability_zone)[1].vm_id
    )
    new = await cluster.add(old.place, int(old.vm_id[-1]))
    await cluster.until(cluster.is_settled, 30)
    held = next(iter(cluster)).directory.get(new.vm_id)
    assert held.incarnation >= new.node.own.incarnation > old.node.own.incarnation


@run_on_mesh(zone_count=2, regions=1)
async def test_a_vm_that_lags_far_behind_receives_a_snapshot_of_the_state(cluster):
    zone = cluster.places[1].availability_zone
    cluster.network.cut([zone], [cluster.places[0].availability_zone])
    cluster.log.cut_zones.add(zone)
    for number in range(1, 301):
        cluster.publish(number)
    await asyncio.sleep(30)
    assert {vm.number for vm in cluster.in_zone(zone)} == {0}
    cluster.network.heal()
    await cluster.until(lambda: cluster.has_ticket(300), 30)
    assert sum(vm.node.snapshot_server.served for vm in cluster) >= 1


def test_separately_formed_meshes_merge_through_periodic_contacts():
    async def main():
        cluster = Cluster(zones(2, 1), 3)
        first, second = cluster.places
        cluster.network.cut([first.availability_zone], [second.availability_zone])
        for place in cluster.places:
            for index in range(3):
                await cluster.add(place, index)
        await asyncio.sleep(60)
        assert {len(vm.directory) for vm in cluster} == {3}
        cluster.network.heal()
        await cluster.until(cluster.is_settled, 120)
        await cluster.stop()

    run_virtual(main())


@run_on_mesh(zone_count=9, regions=4, vms_per_zone=3)
async def test_a_change_is_sent_once_to_each_other_region(cluster):
    await asyncio.sleep(30)
    counted = cluster.network.far_frames_by_type
    before = counted["DirectoryDelta"]
    cluster.in_zone("r1z1")[0].node.set_endpoints([])
    await cluster.until(cluster.is_settled, 5)
    # One frame to each of the three other regions.
    assert counted["DirectoryDelta"] - before == 3
    tickets = counted["TicketDelta"]
    cluster.publish(1)
    await cluster.until(lambda: cluster.has_ticket(1), 5)
    # Each region reads the log itself, so no ticket is sent between regions.
    assert counted["TicketDelta"] == tickets


@run_on_mesh(vms_per_zone=30, decodes=False)
async def test_a_restarted_zone_detects_all_its_failed_vms_in_one_round(cluster):
    """Guards against detecting a failed VM only after its parents are declared dead."""
    zone = cluster.in_zone("r1z1")
    for vm in zone:
        await cluster.crash(vm.vm_id)
    new = [await cluster.add(vm.place, 100 + i) for i, vm in enumerate(zone)]
    # 3 s until a child counts as missing, 5 s of suspicion, and the restart itself.
    await asyncio.sleep(13)
    dead = {vm.vm_id for vm in zone}
    assert all(statuses(new[0])[vm_id] is VmStatus.DEAD for vm_id in dead)


@run_on_mesh(vms_per_zone=20, decodes=False)
async def test_repair_sends_only_the_records_that_differ(cluster):
    await asyncio.sleep(30)
    cluster.network.faults = Faults(lost=1.0)
    next(iter(cluster)).node.set_endpoints([])
    await asyncio.sleep(1)
    sent = []
    delta_type = messages.DirectoryDelta
    original_delays = cluster.network.delays

    def count_records(body):
        if isinstance(body, delta_type):
            sent.append(len(body.records))
        return original_delays(body)

    cluster.network.delays = count_records
    cluster.network.faults = Faults()
    await cluster.until(cluster.is_settled, 15)
    assert sum(sent) < 3 * 60
    assert max(sent) == 1


@run_on_mesh(zone_count=4, regions=2, vms_per_zone=3)
async def test_the_failure_of_any_zone_leaves_the_others_linked(cluster):
    # The records of a failed zone stay in the directory, even if its VMs held the links
    # between regions.
    for failed in list(cluster.places)[:3]:
        for vm in cluster.in_zone(failed.availability_zone):
            await cluster.crash(vm.vm_id)
        await asyncio.sleep(30)
        first = next(iter(cluster))
        first.node.set_endpoints([Endpoint("s", failed.availability_zone, "e:1")])

        def is_known(first=first):
            digests = {vm.directory.digest for vm in cluster}
            return digests == {first.directory.digest}

        await cluster.until(is_known, 10)
        for index in range(3):
            await cluster.add(failed, index)
        await cluster.until(cluster.is_settled, 60)


def test_refused_vms_are_referred_to_other_vms(monkeypatch):
    monkeypatch.setattr("lacewingstair.vm.node.MAX_ACCEPTED_CONNECTIONS", 24)

    async def main():
        cluster = Cluster(zones(1, 1), 100, decodes=False)
        # The single contact accepts connections from a quarter of the VMs. Without
        # referrals, the last VMs wait 25 virtual seconds for a free connection there.
        await cluster.start(settle_seconds=12)
        await cluster.stop()

    run_virtual(main())


def evidence(source, sequence, is_zone_total):
    counter = EvidenceCounter(ROLLOUT, "read", "v2", 1, 10, 1, 9, 2)
    return EvidenceReport(source, is_zone_total, sequence, (counter,))


@run_on_mesh(zone_count=5, regions=2)
async def test_zone_totals_reach_the_root_of_every_zone_once(cluster):
    roots = [vm for vm in cluster if vm.node.is_zone_root()]
    assert len(roots) == 5
    received = []
    for vm in cluster:
        vm.node.on_evidence(lambda report, vm=vm: received.append((vm, report.source)))
    for sequence in (1, 2, 2, 1):
        for root in roots:
            zone = root.place.availability_zone
            root.node.send_evidence(evidence(zone, sequence, True))
        await asyncio.sleep(0.5)
    for root in roots:
        sources = [source for vm, source in received if vm is root]
        others = {vm.place.availability_zone for vm in roots} - {
            root.place.availability_zone
        }
        assert sorted(sources) == sorted([*others, *others])


@run_on_mesh(vms_per_zone=12)
async def test_subtree_reports_reach_the_parent_which_reports_lost_children(cluster):
    zone = cluster.in_zone(cluster.places[0].availability_zone)
    parents = {vm: vm.node.overlay.parents()[0] for vm in zone}
    child, parent_id = next((vm, p) for vm, p in parents.items() if p is not None)
    received, lost = [], []
    parent = cluster.vms_by_id[parent_id]
    for vm in cluster:
        vm.node.on_evidence(lambda report, vm=vm: received.append((vm, report.source)))
    parent.node.on_child_lost(lost.append)
    child.node.send_evidence(evidence(child.vm_id, 1, False))
    await asyncio.sleep(0.1)
    assert received == [(parent, child.vm_id)]
    await cluster.crash(child.vm_id)
    await asyncio.sleep(5)
    assert lost == [child.vm_id]


@run_on_mesh()
async def test_a_malformed_frame_closes_only_its_connection(cluster):
    vm = next(iter(cluster))
    other = (await cluster.add(vm.place, 99)).transport
    stream = (await other.connect(vm.node.own.address)).unwrap()
    hello = messages.Hello("cluster", "stranger", "r", "z", 1)
    stream.send(hello)
    await asyncio.sleep(0.1)
    assert "stranger" in vm.node.peers_by_vm_id
    lines = []
    sink = logger.add(lines.append, level="INFO", format="{message}")
    stream.inject(b"\0\0\0\1\0\xc1")
    await asyncio.sleep(0.1)
    logger.remove(sink)
    assert [line.split()[0] for line in lines] == ["event=link_broken"]
    assert "stranger" not in vm.node.peers_by_vm_id
    cluster.publish(1)
    await cluster.until(lambda: cluster.has_ticket(1), 5)


@run_on_mesh()
async def test_connections_without_hello_are_limited_in_duration_and_number(cluster):
    vm, other = list(cluster)[:2]
    address = vm.node.own.address
    streams = [
        (await other.transport.connect(address)).unwrap()
        for _ in range(MAX_ACCEPTED_CONNECTIONS)
    ]
    excess = (await other.transport.connect(address)).unwrap()
    assert isinstance((await excess.receive()).unwrap(), messages.Full)
    assert isinstance((await streams[0].receive()).unwrap(), messages.Hello)
    # Each connection is closed when no Hello arrives within the timeout.
    async with asyncio.timeout(3):
        assert (await streams[0].receive()).is_err()
    again = (await other.transport.connect(address)).unwrap()
    assert isinstance((await again.receive()).unwrap(), messages.Hello)


@run_on_mesh()
async def test_tickets_that_exceed_one_frame_together_are_delivered(cluster):
    # A reader receives all of them in one response of the log.
    for number in range(1, 13):
        cluster.publish(number, min_length=200_000)
    await cluster.until(lambda: cluster.has_ticket(12), 20)


@run_on_mesh()
async def test_records_too_long_for_a_delta_are_delivered(cluster):
    """Guards against VMs that wait forever for records that fit into no delta."""
    cluster.publish(1, min_length=200_000)
    cluster.publish(2, min_length=200_000)
    await cluster.until(lambda: cluster.has_ticket(2), 20)
    # Ticket 3 exceeds the maximum length and is refused. Ticket 4 must still arrive.
    cluster.publish(3, min_length=600_000)
    cluster.publish(4)
    await cluster.until(lambda: cluster.has_ticket(4), 20)


@pytest.mark.parametrize("number", [1])
def test_a_single_vm_reads_the_log_itself(number):
    async def main():
        cluster = Cluster(zones(1, 1), 1)
        cluster.publish(number)
        await cluster.start()
        await cluster.until(lambda: cluster.has_ticket(number), 30)
        await cluster.stop()
        return json.loads(cluster.log.values[0])["number"]

    assert run_virtual(main()) == number


@run_on_mesh()
async def test_a_new_vm_receives_the_marks_before_the_state(cluster):
    """Guards against a newly joined VM that routes calls to a version taken back."""
    vms = list(cluster)
    # The rollout belongs to a later ticket, so that applying ticket 1 keeps the mark.
    key = RolloutKey("move", 2)
    cluster.publish(1)
    vms[0].node.publish_take_back(RollbackMark(key, "bad", "", 1.0, vms[0].vm_id))
    await cluster.until(lambda: cluster.has_ticket(1), 20)
    await asyncio.sleep(5)
    known = []

    def record_known_mark(_, __):
        known.append(joiner.marks.is_rolled_back(key))

    joiner = cluster.make_vm(vms[0].place, 99)
    joiner.store.subscribe(record_known_mark)
    await joiner.start()
    await cluster.until(lambda: joiner.number == 1, 20)
    assert known[0] is True
