"""Tests the size, staleness and validation of load reports, and moves since them."""

import random

import pytest
from balance_fleets import fleet, settled_assignment

from sesamepost.internal.balance.load_table import LoadTable
from sesamepost.internal.balance.reports import (
    LoadReport,
    NodeLoad,
    ReleasedItem,
    ReleasedKind,
    ServiceLoad,
    build_report,
    measure_service,
    read_report,
    report_interval_s,
)
from sesamepost.internal.balance.sketch import LoadCounters
from sesamepost.internal.wire.messages import ProtocolError, decode, encode

NODES = fleet(3)
A, B, C = (item.node for item in NODES)


def make_report(node, total, partitions=(), keys=(), version=1):
    load = ServiceLoad("s", total, tuple(partitions), tuple(keys), 6, 2, 0.095)
    return NodeLoad(node, (load,), (), {"assignment/s": version})


def make_table(*loads, now=0.0):
    table = LoadTable()
    for load in loads:
        table.receive(load, now)
    return table


def test_a_report_round_trips_in_about_150_bytes():
    # Guards against exceeding 9 KB/s of control traffic at 50 reports/s.
    rng = random.Random(1)
    counters = LoadCounters(4096, 0.0, seed=1)
    hot = [rng.getrandbits(52) << 12 | 5 for _ in range(2)]
    for second in range(20):
        for _ in range(3550):
            key = rng.getrandbits(52) << 12 | rng.randrange(9)
            counters.record(rng.choice(hot) if rng.random() < 0.2 else key)
        counters.advance(second + 1.0)
    service = measure_service("valuation", counters, 12, 7, 0.2, 0.6)
    assert {key for key, _ in service.keys} == set(hot)
    load = NodeLoad(
        fleet(480)[479].node, (service,), (), {"assignment/valuation": 70_000}
    )
    message = encode(build_report(load))
    print(f"report: {len(message)} bytes")
    assert len(message) <= 160
    received = read_report(decode(message))
    assert received.services[0].total_rate == pytest.approx(3550, abs=0.1)
    assert received.services[0].cold_start_fraction == 0.6
    assert received.versions == load.versions


def test_released_items_round_trip():
    # Guards against a new controller that cannot grant released items again.
    items = (
        ReleasedItem("s", ReleasedKind.PARTITION, 17, 5),
        ReleasedItem("s", ReleasedKind.KEY, 2**63 + 1, 6),
    )
    received = read_report(decode(encode(build_report(NodeLoad(A, (), items)))))
    assert received.released == items
    assert list(make_table(received).released()) == [(A, item) for item in items]


@pytest.mark.parametrize(
    ("services", "released"),
    [
        ([["s", 1]], []),
        ([["s", -1, [], [], 6, 2, 3, 100]], []),
        ([["s", 1, [1], [], 6, 2, 3, 100]], []),
        ([["s", 1, [1, 2] * 9, [], 6, 2, 3, 100]], []),
        ([["s", 1, [1, "x"], [], 6, 2, 3, 100]], []),
        ([], [["s", 7, 1, 1]]),
        ([5], []),
    ],
)
def test_an_invalid_report_is_refused_as_a_whole(services, released):
    # Guards against a faulty daemon whose report ends the controller's task.
    with pytest.raises(ProtocolError):
        read_report(LoadReport(A, services, released, []))


def test_the_interval_bounds_the_controllers_reports():
    # Guards against a report rate at the controller that grows with the fleet.
    assert report_interval_s(18) == 2.0
    assert report_interval_s(480) == pytest.approx(9.6)


def test_busiest_partitions_are_exact_and_the_rest_is_spread_evenly():
    # Guards against wrong estimates for partitions that a report does not list, and
    # against treating a node as reported too early.
    assignment = settled_assignment(NODES, 8)
    held = [p for p in range(8) if assignment.owner_of_partition(p) == A]
    table = make_table(make_report(A, 100.0, [(held[0], 70.0)]), make_report(B, 30.0))
    loads = table.loads(assignment, [A, B, C], 1.0, 2.0)
    assert loads.partitions[held[0]] == 70.0
    assert [loads.partitions[p] for p in held[1:]] == [15.0, 15.0]
    assert loads.unreported == {A, B, C}
    table.receive(make_report(A, 100.0, [(held[0], 70.0)]), 10.0)
    table.receive(make_report(B, 30.0), 10.0)
    assert table.loads(assignment, [A, B, C], 10.0, 2.0).unreported == {C}
    assert loads.unavailable_s == pytest.approx(0.1)
    mean = (100.0 + 30.0) / (len(held) + 3)
    other = next(p for p in range(8) if assignment.owner_of_partition(p) == C)
    assert loads.partitions[other] == pytest.approx(mean)


def test_stale_reports_lose_weight():
    # Guards against decisions based on the load of a node that stopped reporting.
    assignment = settled_assignment(NODES, 8)
    table = make_table(make_report(A, 300.0))
    table.receive(make_report(B, 30.0), 8.0)
    table.receive(make_report(C, 30.0), 8.0)
    own = next(p for p in range(8) if assignment.owner_of_partition(p) == A)
    rates = [
        table.loads(assignment, [A, B, C], now, 2.0).partitions[own]
        for now in (4.0, 6.0, 8.0)
    ]
    assert rates[0] == 100.0
    assert rates[0] > rates[1] > rates[2] > 45.0
    assert table.age_s(A, 8.0) == 8.0
    assert A in table.loads(assignment, [A, B, C], 20.0, 2.0).unreported


def test_a_report_older_than_a_move_does_not_hide_the_moved_load():
    # Guards against a round that treats a node that has just received load as idle.
    assignment = settled_assignment(NODES, 8)
    moved = next(p for p in range(8) if assignment.owner_of_partition(p) == A)
    table = make_table(make_report(A, 90.0), make_report(B, 30.0), make_report(C, 20.0))
    nodes = [A, B, C]
    before = table.loads(assignment, nodes, 0.0, 2.0).partitions[moved]
    assignment.set_partition_owner(moved, C, 2, records_kept=True)
    for version in (1, 2):
        table.receive(make_report(C, 20.0, version=version), 1.0)
        assert table.loads(assignment, nodes, 1.0, 2.0).partitions[moved] == before
    table.receive(make_report(C, 24.0, [(moved, 6.0)], version=2), 2.0)
    assert table.loads(assignment, nodes, 2.0, 2.0).partitions[moved] == 6.0


def test_the_rate_of_a_moved_key_decays_slowly_and_counts_once():
    # Guards against returning a key before its new owner has had time to count it.
    assignment = settled_assignment(NODES, 8)
    owner = assignment.find(3).owner
    other = next(node for node in (A, B, C) if node != owner)
    table = make_table(make_report(owner, 80.0, keys=[(3, 60.0)]))
    nodes = [A, B, C]
    assert table.loads(assignment, nodes, 0.0, 2.0).keys == {3: 60.0}
    assignment.set_key_owner(3, other, 2, records_kept=True)
    table.receive(make_report(other, 9.0), 1.0)
    loads = table.loads(assignment, nodes, 1.0, 2.0)
    assert 50.0 < loads.keys[3] < 60.0
    held = [p for p in range(8) if assignment.owner_of_partition(p) == owner]
    assert sum(loads.partitions[p] for p in held) < 80.0
    table.receive(make_report(other, 60.0, keys=[(3, 58.0)], version=2), 3.0)
    loads = table.loads(assignment, nodes, 3.0, 2.0)
    assert loads.keys[3] == pytest.approx(58.0)
    held = [p for p in range(8) if assignment.owner_of_partition(p) == other]
    assert sum(loads.partitions[p] for p in held) == pytest.approx(2.0)
    table.receive(make_report(other, 1.0, version=2), 103.0)
    assert table.loads(assignment, nodes, 103.0, 2.0).keys[3] < 1.0


def test_released_items_follow_the_last_report_of_each_node():
    # Guards against errors in the controller's index of released items: a stale entry
    # would grant an item again forever, a missing one would leave it without an owner.
    table = LoadTable()
    item = ReleasedItem("s", ReleasedKind.PARTITION, 7, 3)

    table.receive(NodeLoad(A, (), (item,)), 0.0)
    table.receive(NodeLoad(B, (), (item,)), 0.0)
    assert list(table.released()) == [(A, item), (B, item)]

    table.receive(NodeLoad(A, (), ()), 1.0)
    assert list(table.released()) == [(B, item)]

    table.forget(B)
    assert list(table.released()) == []
