"""Unit tests of the lease protocol: late, lost and invalid messages."""

import math

from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.fencing import FenceDecision, Fencing
from sesamepost.internal.lease.holder import LeaseHolder
from sesamepost.internal.lease.messages import (
    REFUSED_NOT_RECORDED,
    REFUSED_OTHER_INCARNATION,
    REFUSED_PROMISED,
    Promise,
    Promised,
    PromiseRefused,
    Renew,
    Renewed,
    RenewRefused,
    Suspect,
)
from sesamepost.internal.lease.witness import Witness
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.wire.messages import decode, encode
from sesamepost.internal.wire.pool import Address

DIGEST = b"12345678"
H, W1, W2, W3, W4 = (NodeId(vm, 1) for vm in ("h", "w1", "w2", "w3", "w4"))


def record(node, witnesses=(), sequence=1):
    return NodeRecord(node, Address("h", 1), "a1", "a", tuple(witnesses), sequence)


def fleet(version, witnesses, sequence=1, *others):
    return Fleet(version, [record(H, witnesses, sequence), *others])


def recorded_holder(witnesses):
    holder = LeaseHolder(H)
    if witnesses:
        holder.propose(witnesses)
    holder.observe(fleet(1, witnesses, 1 if witnesses else 0))
    return holder


def answer(holder, now, *witnesses):
    for renew in holder.renewals_due(now, DIGEST):
        if renew.witness in witnesses:
            holder.receive_renewed(Renewed(H, renew.witness, renew.sequence, DIGEST))


def test_validity_counts_from_the_send_times_of_a_majority():
    # A delayed answer must not extend the lease.
    holder = recorded_holder((W1, W2, W3))
    sent = holder.renewals_due(10.0, DIGEST)
    assert {renew.witness for renew in sent} == {W1, W2, W3}
    assert holder.renewals_due(10.3, DIGEST) == []
    assert holder.valid_until() == -math.inf
    for renew in sent[:2]:
        holder.receive_renewed(Renewed(H, renew.witness, renew.sequence, DIGEST))
    assert holder.valid_until() == 11.5
    assert holder.is_valid(11.49)
    assert not holder.is_valid(11.5)
    answer(holder, 10.4, W1)
    assert holder.valid_until() == 11.5


def test_answers_for_others_or_unknown_sequences_are_ignored():
    # Guards against a lease extended by an answer to another incarnation.
    holder = recorded_holder((W1,))
    (renew,) = holder.renewals_due(0.0, DIGEST)
    restarted = NodeId("h", 2)
    holder.receive_renewed(Renewed(restarted, W1, renew.sequence, DIGEST))
    holder.receive_renewed(Renewed(H, W1, renew.sequence + 1, DIGEST))
    holder.receive_renewed(Renewed(H, NodeId("w1", 2), renew.sequence, DIGEST))
    assert not holder.is_valid(0.0)


def test_a_lease_needs_every_set_that_may_be_recorded():
    # Guards against fencing by one set while the holder counts only another.
    holder = recorded_holder((W1, W2, W3))
    answer(holder, 0.0, W1, W2, W3)
    assert holder.is_valid(0.1)
    second = holder.propose((W2, W3, W4))
    third = holder.propose((W1, W4))
    assert not holder.is_valid(0.1), "W4 has not answered for the third set"
    assert (second.sequence, third.sequence) == (2, 3)
    answer(holder, 0.5, W1, W4)
    assert holder.valid_until() == 1.5, "the second set counts from W2 or W3"
    holder.observe(fleet(2, (W2, W3, W4), 2))
    assert [p.sequence for p in holder.proposals] == [3]
    holder.observe(fleet(3, (W1, W4), 3))
    assert holder.valid_until() == 2.0
    holder.observe(fleet(2, (W2, W3, W4), 2))
    assert holder.recorded.sequence == 3, "an older fleet version was accepted"


def test_a_holder_without_witnesses_is_valid_only_while_recorded():
    # Guards against an endless lease of a node that is not in the fleet or that may
    # already have witnesses.
    holder = LeaseHolder(H)
    holder.observe(Fleet(1, [record(W1)]))
    assert not holder.is_valid(0.0)
    holder.observe(fleet(2, (), 0))
    assert holder.valid_until() == math.inf
    holder.propose((W1,))
    assert not holder.is_valid(0.0), "the proposal may already be recorded"


def test_a_holder_stops_when_fenced_or_missing():
    # Guards against serving after the record was fenced or its tombstone dropped.
    for gone in (fleet(2, ()).fence(H, 1), Fleet(2)):
        holder = recorded_holder(())
        holder.observe(gone)
        assert holder.fenced
        assert not holder.is_valid(0.0)
        assert holder.renewals_due(9.0, DIGEST) == []


def test_unresponsive_and_lost_witnesses_are_replaced():
    # Guards against keeping a witness that can never renew this holder again, and
    # against replacing one that has not read the holder's record yet.
    holder = recorded_holder((W1, W2, W3))
    for step in range(6):
        answer(holder, step * 0.4, W1, W2)
    assert holder.witnesses_to_replace(1.9) == ()
    assert holder.witnesses_to_replace(2.0) == (W3,)
    holder.receive_refused(RenewRefused(H, W1, 1, REFUSED_NOT_RECORDED))
    holder.receive_refused(RenewRefused(H, W2, 1, REFUSED_PROMISED))
    assert holder.witnesses_to_replace(2.0) == (W2, W3)


def test_a_resumed_holder_does_not_replace_all_witnesses():
    # After a pause of the holder, answers may still be waiting to be read, so the
    # witnesses must not be taken for unresponsive.
    holder = recorded_holder((W1, W2, W3))
    answer(holder, 0.0)
    holder.renewals_due(60.0, DIGEST)
    assert holder.witnesses_to_replace(60.0) == ()


def test_a_witness_keeps_its_promise_and_renews_only_live_nodes():
    # Guards against a renewal that makes a node valid after it may have been fenced.
    witness = Witness(W1)
    renew = Renew(H, W1, 5, DIGEST)
    refused = RenewRefused(H, W1, 5, REFUSED_NOT_RECORDED)
    assert witness.receive_renew(renew, DIGEST, 0.0) == refused
    witness.observe(fleet(1, (W1,)), 0.0)
    assert witness.receive_renew(renew, DIGEST, 1.0) == Renewed(H, W1, 5, DIGEST)
    promise = Promise(H, W1, 1)
    assert witness.receive_promise(promise, 2.59) == PromiseRefused(H, W1, 1)
    assert witness.receive_promise(promise, 2.6) == Promised(H, W1, 1)
    answer = witness.receive_renew(renew, DIGEST, 2.7)
    assert answer == RenewRefused(H, W1, 5, REFUSED_PROMISED)
    witness.observe(fleet(2, (W1,)).fence(H, 1), 3.0)
    assert witness.receive_renew(renew, DIGEST, 3.0) == refused
    assert witness.holders == {}
    restarted = Renew(H, NodeId("w1", 2), 5, DIGEST)
    assert witness.receive_renew(restarted, DIGEST, 3.0).reason == (
        REFUSED_OTHER_INCARNATION
    )


def test_a_node_that_never_renews_is_suspected():
    # Guards against a node that dies before its first renewal and is never fenced.
    witness = Witness(W1)
    witness.observe(fleet(1, (W1, W2)), 5.0)
    assert witness.suspects_due(6.59) == []
    assert witness.suspects_due(6.6) == [Suspect(H, W1)]
    assert witness.suspects_due(7.0) == []
    assert witness.suspects_due(7.1) == [Suspect(H, W1)]
    witness.observe(fleet(2, (W2,), 2), 7.2)
    assert witness.suspects_due(9.0) == [], "the witness is no longer assigned"
    witness.observe(fleet(3, (W1,), 3), 9.0)
    assert witness.suspects_due(9.1) == [], "the expiry counts from the assignment"


def start_round(fencing, now=0.0, witnesses=(W1, W2)):
    for witness in witnesses:
        fencing.receive_suspect(Suspect(H, witness), now)
    return fencing.promises_due(now)


def test_fencing_needs_promises_of_a_majority_for_its_version():
    # Guards against counting promises of other versions or of other nodes.
    fencing = Fencing()
    fencing.observe(fleet(7, (W1, W2, W3)), 0.0)
    assert start_round(fencing, witnesses=(W1, W4)) == [], (
        "W4 is not a recorded witness"
    )
    assert start_round(fencing) == [Promise(H, w, 7) for w in (W1, W2, W3)]
    for promised in (Promised(H, W2, 6), Promised(H, W4, 7), Promised(H, W1, 7)):
        fencing.receive_promised(promised)
    assert fencing.decisions(0.1) == []
    fencing.receive_refused(PromiseRefused(H, W1, 7))
    fencing.receive_promised(Promised(H, W3, 7))
    assert fencing.decisions(0.1) == [FenceDecision(H, 7)]
    fencing.observe(fleet(8, (W1, W2, W3), 1, record(W4)), 0.2)
    assert fencing.decisions(0.2) == [FenceDecision(H, 8)]
    fencing.observe(fleet(9, (W1, W2, W3), 3), 0.3)
    assert fencing.decisions(0.3) == [], "a changed proposal starts a new round"


def test_suspicions_expire_and_are_withdrawn_by_a_refusal():
    # Guards against requesting promises about a node that renews again.
    fencing = Fencing()
    fencing.observe(fleet(1, (W1, W2, W3)), 0.0)
    fencing.receive_suspect(Suspect(H, W1), 0.0)
    fencing.receive_suspect(Suspect(H, W2), 2.0)
    assert fencing.promises_due(2.0) == []
    assert start_round(fencing, 3.0)
    fencing.receive_refused(PromiseRefused(H, W1, 1))
    assert fencing.promises_due(3.5) == []


def test_a_node_without_witnesses_is_fenced_after_its_vm_rejoins():
    # Guards against fencing it while its endpoints may still be working, and against
    # a delay that starts again with every fleet version.
    fencing = Fencing()
    fencing.observe(fleet(1, ()), 0.0)
    assert fencing.decisions(100.0) == []
    again = record(NodeId("h", 2))
    fencing.observe(fleet(2, (), 1, again), 100.0)
    fencing.observe(fleet(3, (), 1, again, record(W1)), 101.0)
    assert fencing.decisions(101.5) == []
    assert fencing.decisions(101.61) == [FenceDecision(H, 3)]


def test_a_removed_vm_is_fenced_unless_a_witness_renews_it():
    # Guards against fencing a live node whose VM was removed by mistake.
    fencing = Fencing()
    fencing.observe(fleet(1, (W1, W2, W3), 1, record(W1)), 0.0)
    fencing.set_removed_vms({"h", "w1"})
    assert fencing.decisions(0.0) == [FenceDecision(W1, 1)]
    for step in range(40):
        fencing.promises_due(step * 0.1)
        if step % 10 == 0:
            fencing.receive_refused(PromiseRefused(H, W2, 1))
        assert FenceDecision(H, 1) not in fencing.decisions(step * 0.1)
    for step in range(40, 60):
        fencing.promises_due(step * 0.1)
    assert FenceDecision(H, 1) in fencing.decisions(6.0)


def test_messages_round_trip_through_the_encoding():
    # Guards against node ids that are decoded as lists.
    for item in (
        Renew(H, W1, 3, DIGEST),
        Renewed(H, W1, 3, DIGEST),
        RenewRefused(H, W1, 3, REFUSED_PROMISED),
        Suspect(H, W1),
        Promise(H, W1, 3),
        Promised(H, W1, 3),
        PromiseRefused(H, W1, 3),
    ):
        assert decode(encode(item)) == item
