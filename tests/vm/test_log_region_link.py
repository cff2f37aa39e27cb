"""Simulated meshes in which one region reads the log for the others."""

import asyncio

import pytest

from lacewingstair.standins.mesh_cluster import Cluster, zones
from lacewingstair.standins.virtual_time import run_virtual

# The log is in r0. r0 and r1 have two zones each, r2 has one.
LOG_REGION = "r0"
# A lost link to the log region is detected after 3 s of silence, and the region counts
# as partitioned 4 s later if no new link is up.
PARTITION_TAKEOVER_SECONDS = 9


def run_mesh(scenario, vms_per_zone=4, zone_count=5):
    """Run a scenario on a stable mesh; no VM may revert to an older ticket."""

    async def main():
        places = zones(zone_count, 3)
        cluster = Cluster(places, vms_per_zone, log_region=LOG_REGION)
        await cluster.start()
        # Links to contacts from start-up are closed with a delay; wait until they are.
        await asyncio.sleep(30)
        regressions = []

        def record_regression(before, after):
            if after.next_offset < before.next_offset or after.number < before.number:
                regressions.append((before, after))

        for vm in cluster:
            vm.store.subscribe(record_regression)
        loop_errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: loop_errors.append(context))
        await scenario(cluster)
        await cluster.stop()
        assert regressions == []
        assert loop_errors == []

    run_virtual(main())


def regions_with_readers(cluster):
    return {vm.place.region for vm in cluster if vm.node.is_log_reader()}


def gateways(cluster, region):
    vm = next(vm for vm in cluster if vm.place.region == region)
    return [cluster.vms_by_id[vm_id] for vm_id in vm.node.overlay.gateways()]


def partition(cluster, region, others, from_log=False):
    region_zones = cluster.zones_of(region)
    cluster.network.cut(region_zones, [z for r in others for z in cluster.zones_of(r)])
    if from_log:
        cluster.log.cut_zones.update(region_zones)


async def heal_and_check_recovery(cluster, number):
    """Heal the network; check that only the log region reads and its pushes arrive."""
    cluster.network.heal()
    cluster.log.cut_zones.clear()
    await cluster.until(lambda: cluster.has_ticket(number) and cluster.is_settled(), 30)
    await cluster.until(lambda: regions_with_readers(cluster) == {LOG_REGION}, 30)
    await asyncio.sleep(40)
    await assert_pushed_once_per_region(cluster, number + 1)


async def assert_pushed_once_per_region(cluster, number):
    frame_counts = cluster.network.far_frames_by_type
    before = frame_counts["TicketDelta"]
    poll_bytes = cluster.log.far_poll_bytes
    cluster.publish(number)
    # A pull would wait for a heartbeat, up to 1 s, so only a push arrives in time.
    await cluster.until(lambda: cluster.has_ticket(number), 0.2)
    await asyncio.sleep(3)
    assert frame_counts["TicketDelta"] - before == 2
    assert cluster.log.far_poll_bytes == poll_bytes


def test_ticket_is_pushed_once_to_each_other_region_without_polls_there():
    async def scenario(cluster):
        assert regions_with_readers(cluster) == {LOG_REGION}
        readers = {vm for vm in cluster if vm.node.is_log_reader()}
        assert readers == set(gateways(cluster, LOG_REGION))
        assert len({vm.place for vm in readers}) == 2
        poll_bytes = cluster.log.far_poll_bytes
        for number in range(1, 6):
            await assert_pushed_once_per_region(cluster, number)
        assert cluster.log.far_poll_bytes == poll_bytes

    run_mesh(scenario)


@pytest.mark.parametrize("region", ["r1", "r2"])
def test_region_partitioned_from_all_others_reads_the_log(region):
    async def scenario(cluster):
        others = {"r0", "r1", "r2"} - {region}
        partition(cluster, region, others)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), PARTITION_TAKEOVER_SECONDS)
        assert regions_with_readers(cluster) == {LOG_REGION, region}
        # The readers are already active when the second ticket is published.
        cluster.publish(2)
        await cluster.until(lambda: cluster.has_ticket(2), 1)
        await heal_and_check_recovery(cluster, 2)

    run_mesh(scenario)


def test_region_partitioned_from_the_log_gets_tickets_through_another_region():
    async def scenario(cluster):
        partition(cluster, "r1", ["r0"], from_log=True)
        for number in range(1, 4):
            cluster.publish(number)
            await cluster.until(lambda n=number: cluster.has_ticket(n), 5)
            await asyncio.sleep(7)
        await heal_and_check_recovery(cluster, 3)

    run_mesh(scenario)


def test_region_that_gets_tickets_through_another_does_not_read_the_log():
    """Guards against billed log polls by a region that receives tickets anyway."""

    async def scenario(cluster):
        partition(cluster, "r1", ["r0"])
        for number in range(1, 15):
            cluster.publish(number)
            await cluster.until(lambda n=number: cluster.has_ticket(n), 5)
            await asyncio.sleep(2)
        assert regions_with_readers(cluster) == {LOG_REGION}
        # Without new tickets, the region cannot tell that it would still receive them.
        await asyncio.sleep(PARTITION_TAKEOVER_SECONDS)
        assert regions_with_readers(cluster) == {LOG_REGION, "r1"}

    run_mesh(scenario)


def test_other_regions_read_the_log_after_loss_of_the_log_region():
    async def scenario(cluster):
        lost = [vm for vm in cluster if vm.place.region == LOG_REGION]
        for vm in lost:
            await cluster.crash(vm.vm_id)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), PARTITION_TAKEOVER_SECONDS)
        assert regions_with_readers(cluster) == {"r1", "r2"}
        for index, vm in enumerate(lost):
            await cluster.add(vm.place, 10 + index)
        await cluster.until(cluster.is_settled, 120)
        await heal_and_check_recovery(cluster, 1)

    run_mesh(scenario)


@pytest.mark.parametrize("is_frozen", [False, True])
@pytest.mark.parametrize("region", ["r0", "r1", "r2"])
@pytest.mark.parametrize("index", [0, 1])
def test_loss_of_one_gateway_delays_a_ticket_at_most_by_the_target(
    is_frozen, region, index
):
    async def scenario(cluster):
        gateway = gateways(cluster, region)[index]
        others = [vm for vm in cluster if vm is not gateway]
        if is_frozen:
            gateway.transport.running.clear()
        else:
            await cluster.crash(gateway.vm_id)
        cluster.publish(1)
        await cluster.until(lambda: all(v.is_converged(1) for v in others), 5)
        await asyncio.sleep(40)
        # The gateway's successor has taken over by now.
        cluster.publish(2)
        await cluster.until(lambda: all(v.is_converged(2) for v in others), 1)
        assert regions_with_readers(others) == {LOG_REGION}
        gateway.transport.running.set()
        if is_frozen:
            await heal_and_check_recovery(cluster, 2)

    run_mesh(scenario)


def test_loss_of_both_readers_delays_a_ticket_until_they_are_declared_dead():
    async def scenario(cluster):
        for vm in gateways(cluster, LOG_REGION):
            await cluster.crash(vm.vm_id)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), 15)
        assert regions_with_readers(cluster) == {LOG_REGION}

    run_mesh(scenario)


def test_zone_of_the_log_region_without_log_access_does_not_delay_tickets():
    """Guards against placing both readers in the one zone that cannot read the log."""

    async def scenario(cluster):
        for zone in cluster.zones_of(LOG_REGION):
            cluster.log.cut_zones = {zone}
            number = len(cluster.log.values) + 1
            cluster.publish(number)
            await cluster.until(lambda n=number: cluster.has_ticket(n), 5)
            await asyncio.sleep(20)

    run_mesh(scenario)


def test_regions_converge_on_the_newest_ticket_after_the_log_region_rejoins():
    async def scenario(cluster):
        others = ["r1", "r2"]
        partition(cluster, LOG_REGION, others)
        cluster.log.cut_zones.update(z for r in others for z in cluster.zones_of(r))
        for number in range(1, 4):
            cluster.publish(number)
            await asyncio.sleep(10)
        numbers = {(vm.place.region, vm.number) for vm in cluster}
        assert numbers == {("r0", 3), ("r1", 0), ("r2", 0)}
        await heal_and_check_recovery(cluster, 3)

    run_mesh(scenario)


def test_gateway_whose_links_moved_to_another_vm_does_not_read_the_log():
    """Guards against a gateway that polls the log forever after a short pause.

    During the pause, the relays of the log region link to another VM instead.
    """

    async def scenario(cluster):
        gateway = gateways(cluster, "r1")[0]
        gateway.transport.running.clear()
        await asyncio.sleep(8)
        gateway.transport.running.set()
        await asyncio.sleep(40)
        assert regions_with_readers(cluster) == {LOG_REGION}
        assert any(p.region == LOG_REGION for p in gateway.node.peers)

    run_mesh(scenario)


def test_ticket_lost_in_a_push_between_regions_is_pulled_within_a_heartbeat():
    async def scenario(cluster):
        log_gateway = gateways(cluster, LOG_REGION)[0]
        others = gateways(cluster, "r1")[0], gateways(cluster, "r2")[0]
        places = {vm.place for vm in others}
        silenced = cluster.network.silence(
            lambda one, other: one == log_gateway.place and other in places
        )
        assert silenced >= 2
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), 1.2)

    run_mesh(scenario)


@pytest.mark.parametrize("regions_with_setting", [{"r0"}, {"r1"}, {"r1", "r2"}])
def test_tickets_reach_all_regions_during_rollout_of_the_setting(
    regions_with_setting,
):
    """Guards against delayed tickets while the setting is rolled out VM by VM."""

    async def main():
        cluster = Cluster(zones(5, 3), 4)
        for place in cluster.places:
            is_set = place.region in regions_with_setting
            cluster.log_region = LOG_REGION if is_set else ""
            for index in range(4):
                await cluster.add(place, index)
        await cluster.until(cluster.is_settled, 120)
        await asyncio.sleep(30)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), 5)
        await cluster.stop()

    run_virtual(main())
