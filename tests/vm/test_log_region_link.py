"""Meshes in virtual time in which one region reads the log for the others."""

import asyncio

import pytest

from lacewingstair.standins.mesh_cluster import Cluster, zones
from lacewingstair.standins.virtual_time import run_virtual

# r0 holds the log; r0 and r1 have two zones, r2 has one.
LOG_REGION = "r0"
# A link to the log's region is missed after 3 s of silence and 4 s without a new one.
CUT_OFF_SECONDS = 9


def run_mesh(scenario, vms_per_zone=4, zone_count=5):
    """Run a scenario on a settled mesh; no VM may go back to an older ticket."""

    async def main():
        places = zones(zone_count, 3)
        cluster = Cluster(places, vms_per_zone, log_region=LOG_REGION)
        await cluster.start()
        # Start-up ends with links to contacts that are closed later.
        await asyncio.sleep(30)
        backward = []

        def note(before, after):
            if after.next_offset < before.next_offset or after.number < before.number:
                backward.append((before, after))

        for vm in cluster:
            vm.store.subscribe(note)
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        await scenario(cluster)
        await cluster.stop()
        assert backward == []
        assert failures == []

    run_virtual(main())


def reading_regions(cluster):
    return {vm.place.region for vm in cluster if vm.node.is_log_reader()}


def gateways(cluster, region):
    vm = next(vm for vm in cluster if vm.place.region == region)
    return [cluster.vms_by_id[vm_id] for vm_id in vm.node.overlay.gateways()]


def cut(cluster, region, others, from_log=False):
    zones_inside = cluster.zones_of(region)
    cluster.network.cut(zones_inside, [z for r in others for z in cluster.zones_of(r)])
    if from_log:
        cluster.log.cut_zones.update(zones_inside)


async def rejoin(cluster, number):
    """Heal the network; one region is to be the only reader, and its pushes arrive."""
    cluster.network.heal()
    cluster.log.cut_zones.clear()
    await cluster.until(lambda: cluster.has_ticket(number) and cluster.is_settled(), 30)
    await cluster.until(lambda: reading_regions(cluster) == {LOG_REGION}, 30)
    await asyncio.sleep(40)
    await assert_pushed_once(cluster, number + 1)


async def assert_pushed_once(cluster, number):
    frames = cluster.network.far_frames_by_type
    before = frames["TicketDelta"]
    polled = cluster.log.far_poll_bytes
    cluster.publish(number)
    # A pull takes a heartbeat, up to 1 s.
    await cluster.until(lambda: cluster.has_ticket(number), 0.2)
    await asyncio.sleep(3)
    assert frames["TicketDelta"] - before == 2
    assert cluster.log.far_poll_bytes == polled


def test_a_ticket_crosses_to_each_other_region_once_and_nobody_there_polls():
    async def scenario(cluster):
        assert reading_regions(cluster) == {LOG_REGION}
        readers = {vm for vm in cluster if vm.node.is_log_reader()}
        assert readers == set(gateways(cluster, LOG_REGION))
        assert len({vm.place for vm in readers}) == 2
        polled = cluster.log.far_poll_bytes
        for number in range(1, 6):
            await assert_pushed_once(cluster, number)
        assert cluster.log.far_poll_bytes == polled

    run_mesh(scenario)


@pytest.mark.parametrize("region", ["r1", "r2"])
def test_a_region_cut_off_from_all_others_reads_the_log_itself(region):
    async def scenario(cluster):
        others = {"r0", "r1", "r2"} - {region}
        cut(cluster, region, others)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), CUT_OFF_SECONDS)
        assert reading_regions(cluster) == {LOG_REGION, region}
        # A second ticket finds the readers in place.
        cluster.publish(2)
        await cluster.until(lambda: cluster.has_ticket(2), 1)
        await rejoin(cluster, 2)

    run_mesh(scenario)


def test_a_region_cut_off_from_the_log_and_its_region_gets_tickets_by_another():
    async def scenario(cluster):
        cut(cluster, "r1", ["r0"], from_log=True)
        for number in range(1, 4):
            cluster.publish(number)
            await cluster.until(lambda n=number: cluster.has_ticket(n), 5)
            await asyncio.sleep(7)
        await rejoin(cluster, 3)

    run_mesh(scenario)


def test_a_region_that_gets_tickets_by_another_leaves_the_log_alone():
    """Guards against paid polls of a region that is supplied all the same."""

    async def scenario(cluster):
        cut(cluster, "r1", ["r0"])
        for number in range(1, 15):
            cluster.publish(number)
            await cluster.until(lambda n=number: cluster.has_ticket(n), 5)
            await asyncio.sleep(2)
        assert reading_regions(cluster) == {LOG_REGION}
        # Without news nobody can tell that the region is still supplied.
        await asyncio.sleep(CUT_OFF_SECONDS)
        assert reading_regions(cluster) == {LOG_REGION, "r1"}

    run_mesh(scenario)


def test_the_loss_of_all_vms_of_the_log_region_makes_the_others_read():
    async def scenario(cluster):
        lost = [vm for vm in cluster if vm.place.region == LOG_REGION]
        for vm in lost:
            await cluster.crash(vm.vm_id)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), CUT_OFF_SECONDS)
        assert reading_regions(cluster) == {"r1", "r2"}
        for index, vm in enumerate(lost):
            await cluster.add(vm.place, 10 + index)
        await cluster.until(cluster.is_settled, 120)
        await rejoin(cluster, 1)

    run_mesh(scenario)


@pytest.mark.parametrize("is_frozen", [False, True])
@pytest.mark.parametrize("region", ["r0", "r1", "r2"])
@pytest.mark.parametrize("index", [0, 1])
def test_the_loss_of_one_gateway_delays_a_ticket_by_no_more_than_the_target(
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
        # Its successor has taken over.
        cluster.publish(2)
        await cluster.until(lambda: all(v.is_converged(2) for v in others), 1)
        assert reading_regions(others) == {LOG_REGION}
        gateway.transport.running.set()
        if is_frozen:
            await rejoin(cluster, 2)

    run_mesh(scenario)


def test_the_loss_of_both_readers_costs_the_time_to_declare_them_dead():
    async def scenario(cluster):
        for vm in gateways(cluster, LOG_REGION):
            await cluster.crash(vm.vm_id)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), 15)
        assert reading_regions(cluster) == {LOG_REGION}

    run_mesh(scenario)


def test_a_zone_of_the_log_region_cut_off_from_the_log_does_not_hold_up_tickets():
    """Guards against both readers in the one zone that cannot read."""

    async def scenario(cluster):
        for zone in cluster.zones_of(LOG_REGION):
            cluster.log.cut_zones = {zone}
            number = len(cluster.log.values) + 1
            cluster.publish(number)
            await cluster.until(lambda n=number: cluster.has_ticket(n), 5)
            await asyncio.sleep(20)

    run_mesh(scenario)


def test_the_log_region_cut_off_with_its_log_and_rejoined_settles_forward():
    async def scenario(cluster):
        others = ["r1", "r2"]
        cut(cluster, LOG_REGION, others)
        cluster.log.cut_zones.update(z for r in others for z in cluster.zones_of(r))
        for number in range(1, 4):
            cluster.publish(number)
            await asyncio.sleep(10)
        numbers = {(vm.place.region, vm.number) for vm in cluster}
        assert numbers == {("r0", 3), ("r1", 0), ("r2", 0)}
        await rejoin(cluster, 3)

    run_mesh(scenario)


def test_a_gateway_whose_links_went_to_its_neighbour_does_not_read_the_log():
    """Guards against polls that never end after a short pause of a gateway."""

    async def scenario(cluster):
        gateway = gateways(cluster, "r1")[0]
        gateway.transport.running.clear()
        await asyncio.sleep(8)
        gateway.transport.running.set()
        await asyncio.sleep(40)
        assert reading_regions(cluster) == {LOG_REGION}
        assert any(p.region == LOG_REGION for p in gateway.node.peers)

    run_mesh(scenario)


def test_a_ticket_that_a_push_between_regions_lost_is_pulled_within_a_heartbeat():
    async def scenario(cluster):
        hub = gateways(cluster, LOG_REGION)[0]
        others = gateways(cluster, "r1")[0], gateways(cluster, "r2")[0]
        places = {vm.place for vm in others}
        silenced = cluster.network.silence(
            lambda one, other: one == hub.place and other in places
        )
        assert silenced >= 2
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), 1.2)

    run_mesh(scenario)


@pytest.mark.parametrize("regions_with_setting", [{"r0"}, {"r1"}, {"r1", "r2"}])
def test_tickets_reach_all_regions_while_only_some_have_the_setting(
    regions_with_setting,
):
    """Guards against a change of the setting VM by VM that holds up tickets."""

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
