"""The controller pushes documents to nodes to which no other node would push."""

from sesamepost.internal.clock import boottime
from tests.e2e.local import running_fleet


def leader_of(fleet):
    return next(vm.daemon for vm in fleet.vms if vm.daemon.leadership.is_leader)


async def test_the_controller_pushes_the_fleet_to_a_fenced_node():
    # Guards against a resigned node that never learns of its fencing, because its
    # witnesses have been replaced.
    async with running_fleet(vms=3) as fleet:
        leader = leader_of(fleet)
        node = next(vm.daemon.node for vm in fleet.vms if vm.daemon is not leader)
        fleet_document = leader.views.fleet
        leader.views.fleet = fleet_document.fence(node, int(boottime()), resigned=True)
        for record in list(leader.views.fleet.live_records()):
            others = tuple(w for w in record.witnesses if w != node)
            leader.views.fleet = leader.views.fleet.change_witnesses(
                record.node, record.witness_sequence + 1, others
            )
        assert node in [target for target, _ in leader._push_targets()]
        leader.views.fleet = fleet_document
