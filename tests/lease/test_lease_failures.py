"""Failure scenarios of a cluster: which nodes keep their lease and which are fenced."""

import pytest
from lease_cluster import Cluster

from sesamepost.internal.lease.fencing import Fencing
from sesamepost.internal.lease.messages import Renewed, Suspect

THREE_REGIONS = ("a1", "a2", "b1", "b2", "c1", "c2")
TWO_REGIONS = ("a1", "a2", "b1", "b2", "b3")


def cluster_of(domains, per_domain=3):
    cluster = Cluster({f"{d}-{i}": d for d in domains for i in range(per_domain)})
    cluster.run(1)
    assert all(map(cluster.is_valid, cluster.nodes))
    return cluster


def vms(cluster, prefix):
    return [vm for vm in cluster.nodes if vm.startswith(prefix)]


def fenced(cluster):
    return {vm for vm in cluster.nodes if cluster.is_fenced(vm)}


def pause_vms(cluster, prefix):
    for vm in vms(cluster, prefix):
        cluster.nodes[vm].paused = True


def test_witnesses_lost_one_after_another_are_replaced():
    cluster = cluster_of(THREE_REGIONS)
    lost = set()
    for _ in range(4):
        # The loss of a current witness must not end the lease.
        failed_vm = cluster.stored.get(cluster.nodes["a1-0"].id).witnesses[0].vm
        cluster.nodes[failed_vm].paused = True
        lost.add(failed_vm)
        for _ in range(60):
            cluster.run(0.1)
            assert cluster.is_valid("a1-0")
    assert len(lost) == 4
    assert fenced(cluster) == lost


@pytest.mark.parametrize("domains", [THREE_REGIONS, TWO_REGIONS])
def test_a_region_that_is_cut_off_keeps_its_leases(domains):
    cluster = cluster_of(domains)
    inside, outside = vms(cluster, "a"), [*vms(cluster, "b"), *vms(cluster, "c")]
    cluster.separate(inside, [*outside, "k1", "k2"])
    for _ in range(100):
        cluster.run(0.1)
        assert all(map(cluster.is_valid, cluster.nodes))
    assert fenced(cluster) == set()


@pytest.mark.parametrize("domains", [THREE_REGIONS, TWO_REGIONS])
def test_the_loss_of_a_failure_domain_fences_exactly_its_nodes(domains):
    cluster = cluster_of(domains)
    pause_vms(cluster, "a1")
    for _ in range(40):
        cluster.run(0.1)
        others = set(cluster.nodes) - set(vms(cluster, "a1"))
        assert all(map(cluster.is_valid, others))
    assert fenced(cluster) == set(vms(cluster, "a1"))


def test_fencing_takes_less_than_two_and_a_half_seconds():
    cluster = cluster_of(THREE_REGIONS)
    pause_vms(cluster, "a1-0")
    cluster.run(2.5)
    assert fenced(cluster) == {"a1-0"}


def test_a_lease_ends_when_a_cut_separates_the_node_from_most_of_its_witnesses():
    # The holder reaches one witness, the controller the other two.
    cluster = cluster_of(THREE_REGIONS)
    record = cluster.stored.get(cluster.nodes["a1-0"].id)
    near = record.witnesses[0].vm
    far = set(cluster.nodes) - {"a1-0", near}
    cluster.separate(["a1-0", near], [*far, "k1", "k2"])
    cluster.run(1.5)
    assert not cluster.is_valid("a1-0")
    cluster.run(2)
    assert cluster.is_fenced("a1-0")
    cluster.blocked_links.clear()
    cluster.run(3)
    assert cluster.nodes["a1-0"].holder.fenced


def test_a_witness_lost_during_a_store_outage_is_replaced_afterwards():
    # The lease needs a majority of the recorded set and of the open proposal. Both sets
    # still have one.
    cluster = cluster_of(THREE_REGIONS)
    cluster.store_down = True
    holder = cluster.nodes["a1-0"].holder
    failed_vm = holder.recorded.witnesses[1].vm
    pause_vms(cluster, failed_vm)
    for _ in range(100):
        cluster.run(0.1)
        assert cluster.is_valid("a1-0")
    assert holder.proposals
    assert fenced(cluster) == set()
    cluster.store_down = False
    cluster.run(4)
    assert not holder.proposals
    assert failed_vm not in {witness.vm for witness in holder.recorded.witnesses}
    assert fenced(cluster) == {failed_vm}


def test_a_holder_has_no_lease_after_a_long_pause():
    cluster = cluster_of(THREE_REGIONS)
    cluster.nodes["a1-0"].paused = True
    cluster.run(5)
    assert cluster.is_fenced("a1-0")
    cluster.wake("a1-0")
    assert not cluster.is_valid("a1-0")
    cluster.run(3)
    assert not cluster.is_valid("a1-0")
    assert cluster.nodes["a1-0"].holder.fenced


def test_a_short_pause_does_not_end_the_lease():
    cluster = cluster_of(THREE_REGIONS)
    cluster.nodes["a1-0"].paused = True
    cluster.run(1)
    cluster.wake("a1-0")
    cluster.run(1)
    assert cluster.is_valid("a1-0")
    assert fenced(cluster) == set()


def test_the_only_failure_domain_of_a_region_is_fenced_only_on_removal():
    # The loss leaves one witness of three, which must not suffice to fence.
    cluster = cluster_of(("a1", "b1"))
    pause_vms(cluster, "a1")
    cluster.run(8)
    assert fenced(cluster) == set()
    for fencing in cluster.fencings.values():
        fencing.set_removed_vms(cluster.nodes)
    cluster.run(4)
    assert fenced(cluster) == set(vms(cluster, "a1"))
    assert all(map(cluster.is_valid, vms(cluster, "b1")))


def test_delayed_answers_do_not_extend_the_lease():
    # If the lease were counted from the receipt of an answer, the node would stay valid
    # after it is fenced.
    cluster = cluster_of(THREE_REGIONS)
    deliver, held = cluster.deliver, []

    def hold_answers(source, target, message):
        if target == "a1-0" and isinstance(message, Renewed):
            held.append((source, target, message))
        else:
            deliver(source, target, message)

    cluster.deliver = hold_answers
    cluster.run(0.5)
    assert held
    cluster.separate(["a1-0"], [*cluster.nodes, "k1", "k2"])
    cluster.run(1)
    for item in held:
        deliver(*item)
    cluster.run(3)
    assert cluster.is_fenced("a1-0")


def test_a_fast_clock_of_the_witnesses_does_not_fence_a_valid_node():
    # Without the margin between HOLDER_TTL_S and WITNESS_TTL_S the witnesses would
    # promise before the holder's lease ends.
    cluster = cluster_of(THREE_REGIONS)
    for vm, node in cluster.nodes.items():
        node.rate = 1.0 if vm == "a1-0" else 1.05
    cluster.run(1)
    cluster.separate(["a1-0"], [*cluster.nodes, "k1", "k2"])
    cluster.run(3, step=0.01)
    assert cluster.is_fenced("a1-0")


def test_a_fencing_decided_before_a_witness_change_is_not_written():
    # A slow controller decides on the old witness set after another controller has
    # recorded a new one.
    cluster = cluster_of(THREE_REGIONS)
    node, slow = cluster.nodes["a1-0"], Fencing()
    slow.observe(cluster.stored, 0.0)
    old = node.holder.recorded.witnesses[1:]
    names = [witness.vm for witness in old]
    cluster.separate(["a1-0", "k1", "k2"], names)
    cluster.run(4)
    assert cluster.is_valid("a1-0"), "the witnesses were not replaced"
    for witness in old:
        slow.receive_suspect(Suspect(node.id, witness), 5.0)
    for promise in slow.promises_due(5.0):
        if promise.witness in old:
            target = cluster.nodes[promise.witness.vm]
            now = cluster.clock(target)
            slow.receive_promised(target.witness.receive_promise(promise, now))
    (decision,) = slow.decisions(5.0)
    fenced_fleet = slow.fleet.fence(decision.node, 1)
    cluster.compare_and_swap(decision.version, fenced_fleet)
    cluster.check()
    slow.observe(cluster.stored, 5.0)
    assert slow.decisions(5.0) == []
