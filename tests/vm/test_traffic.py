from lacewingstair.standins.mesh_cluster import Cluster, zones
from lacewingstair.standins.virtual_time import run_virtual


def in_mesh(scenario):
    async def main():
        cluster = Cluster(zones(3, 2), 4)
        await cluster.start()
        await scenario(cluster)
        await cluster.stop()

    return lambda: run_virtual(main())


def bytes_of(vm):
    return vm.node.traffic.bytes_by_distance_and_direction()


def sent_bytes(vm):
    counted = bytes_of(vm)
    return sum(counted[key] for key in counted if key[1] == "sent")


@in_mesh
async def test_bytes_are_counted_by_the_distance_to_the_other_vm(cluster):
    """Guards against bytes between regions that are counted as bytes in the zone."""
    bytes_to_other_region = {}
    for vm in cluster:
        counted = bytes_of(vm)
        assert counted["zone", "sent"] > 0
        assert counted["zone", "received"] > 0
        bytes_to_other_region[vm] = counted["other_region", "sent"]
    regions = cluster.network.bytes_by_region_pair
    assert sum(bytes_to_other_region.values()) > 0
    # The distance is unknown until the peer has answered the Hello.
    across = sum(n for pair, n in regions.items() if pair[0] != pair[1])
    unknown = sum(bytes_of(vm)["unknown", "sent"] for vm in cluster)
    assert across - unknown <= sum(bytes_to_other_region.values()) <= across


@in_mesh
async def test_bytes_of_ended_connections_stay_counted(cluster):
    """Guards against a counter that decreases when a link is closed."""
    vm, *others = list(cluster)
    for other in others:
        for peer in other.node.peers:
            peer.stream.close()
    before = sent_bytes(vm)
    await vm.clock.sleep(10.0)
    assert sent_bytes(vm) > before
    assert all(sent_bytes(each) == each.transport.bytes_sent for each in cluster)
    assert all(each.node.traffic.queued_bytes() == 0 for each in cluster)
