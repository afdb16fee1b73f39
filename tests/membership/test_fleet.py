"""The fleet document: late changes, fencing, tombstones and size."""

import pytest

from sesamepost.internal.documents.delta import delta_push
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import (
    TOMBSTONE_RETENTION_S,
    Fleet,
    NodeFencedError,
    NodeRecord,
    NodeState,
    controller_candidates,
    neighbours,
)
from sesamepost.internal.membership.messages import ChangeWitnesses, Join
from sesamepost.internal.wire.messages import ProtocolError, decode, encode
from sesamepost.internal.wire.pool import Address


def node(name, incarnation=1):
    return NodeId(name, incarnation)


def record(name, incarnation=1, domain="a1", region="a", witnesses=(), **rest):
    return NodeRecord(
        node(name, incarnation),
        Address("10.20.30.40", 7000),
        domain,
        region,
        tuple(map(node, witnesses)),
        **rest,
    )


def test_a_repeated_join_keeps_the_recorded_witnesses():
    # Guards against a duplicate Join that reverts a later change of witnesses.
    fleet = Fleet(3).join(record("m", witnesses="abc", witness_sequence=1))
    changed = fleet.change_witnesses(node("m"), 2, (node("d"),))
    again = changed.join(record("m", witnesses="abc", witness_sequence=1))
    assert again.get(node("m")).witnesses == (node("d"),)
    assert fleet.get(node("m")).witness_sequence == 1, "the original has changed"


def test_an_earlier_proposal_is_not_written_late():
    # Guards against recording witnesses that the holder has already replaced.
    fleet = Fleet(1, [record("m", witnesses="abc", witness_sequence=2)])
    for sequence in (1, 2):
        assert fleet.change_witnesses(node("m"), sequence, (node("d"),)) is fleet


def test_a_fenced_incarnation_cannot_return():
    # Guards against a fenced node that becomes live again without a restart.
    fleet = Fleet(1, [record("m", witnesses="abc")]).fence(node("m"), 1000)
    with pytest.raises(NodeFencedError):
        fleet.join(record("m"))
    assert fleet.change_witnesses(node("m"), 9, ()) is fleet
    assert fleet.mark_leaving(node("m")) is fleet
    assert fleet.fence(node("m"), 2000) is fleet
    assert fleet.join(record("m", 2)).live(node("m", 2)) is not None


def test_tombstones_stay_for_an_hour():
    # Guards against a paused process that resumes and cannot see that it is fenced.
    fleet = Fleet(1, [record("m"), record("n")]).fence(node("m"), 1000)
    assert len(fleet.drop_expired_tombstones(1000 + 3599)) == 2
    assert [r.node.vm for r in fleet.drop_expired_tombstones(1000 + 3600)] == ["n"]


def test_a_leaving_node_can_still_change_its_witnesses():
    # Guards against a lease that is lost during a planned stop.
    fleet = Fleet(1, [record("m", witnesses="abc")]).mark_leaving(node("m"))
    changed = fleet.change_witnesses(node("m"), 1, (node("d"),))
    assert changed.get(node("m")).state is NodeState.LEAVING
    assert changed.get(node("m")).witnesses == (node("d"),)


def test_the_document_round_trips_and_stays_small():
    # Guards against fields lost in encoding and a large document at 480 nodes.
    names = [f"prod-worker-{i:04}.eu" for i in range(480)]
    records = [
        NodeRecord(
            NodeId(name, 2**63 - 1 - i),
            Address("192.168.100.100", 17000),
            f"north-{i % 6}",
            f"region-north-{i % 3}",
            tuple(NodeId(names[i - j], 2**63 - 1 - j) for j in (1, 2, 3)),
            70_000 + i,
            NodeState(i % 3),
            1_800_000_000 if i % 3 == 2 else 0,
        )
        for i, name in enumerate(names)
    ]
    body = Fleet(7, records).encode()
    copy = Fleet.decode(8, body)
    assert copy.version == 8
    assert list(copy) == records
    assert len(body) < 100_000


def test_controller_candidates_are_the_lowest_active_names():
    # Guards against several candidates in a failure domain or an inactive one.
    fleet = Fleet(
        1,
        [
            record("b"),
            record("c"),
            record("a"),
            record("x", domain="b1"),
        ],
    )
    assert set(controller_candidates(fleet)) == {node("a"), node("x")}
    fleet = fleet.fence(node("a"), 1).mark_leaving(node("x")).join(record("b", 2))
    assert controller_candidates(fleet) == (node("b", 2),)


def test_neighbours_are_witnesses_in_both_directions():
    # Guards against documents that are not pushed to holders or to witnesses.
    fleet = Fleet(
        1,
        [
            record("m", witnesses="ab"),
            record("a", witnesses="m"),
            record("b"),
            record("c", witnesses="mb"),
            record("d", witnesses="m"),
        ],
    ).fence(node("d"), 1)
    assert neighbours(fleet, node("m")) == {node("a"), node("b"), node("c")}


def test_membership_messages_keep_node_ids():
    # Guards against node ids that are decoded as lists and against duplicates.
    for item in (
        Join(node("m"), "h", 1, "a1", "a", (node("a"), node("b")), 1),
        ChangeWitnesses(node("m"), (node("a"),), 4),
    ):
        assert decode(encode(item)) == item
    with pytest.raises(ProtocolError):
        ChangeWitnesses(node("m"), (node("a"), node("a")), 4)


def test_only_expired_tombstones_need_the_owners_of_all_assignments():
    # Guards against a controller that scans every partition of every service in each
    # round: it collects the owners of all assignments only if this check is true.
    live = Fleet(3, [record("a"), record("b")])
    fenced = live.fence(node("a"), 1000)

    assert not live.has_expired_tombstones(10_000)
    assert not fenced.has_expired_tombstones(1000 + TOMBSTONE_RETENTION_S - 1)
    assert fenced.has_expired_tombstones(1000 + TOMBSTONE_RETENTION_S)
    assert len(fenced.drop_expired_tombstones(1000 + TOMBSTONE_RETENTION_S)) == 1


def test_fencing_changes_only_the_blocks_of_the_record():
    # Guards against sending the whole document when one of 480 nodes is fenced.
    nodes = [NodeId(f"vm-{n:03d}", n + 1) for n in range(480)]
    fleet = Fleet(1, [NodeRecord(n, Address("10.0.0.1", 1), "a", "r") for n in nodes])
    fenced = fleet.fence(nodes[7], 1_800_000_000)
    push = delta_push("fleet", 2, fenced.encode(), 1, fleet.encode())
    assert push.base_version == 1, "the whole document was sent"
    assert len(push.blocks) <= 2
