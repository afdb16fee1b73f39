"""The choice of witnesses: locations, fallbacks, balance and churn."""

from collections import Counter

import pytest

from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.membership.witness_choice import choose_witnesses
from sesamepost.internal.wire.pool import Address


def fleet_of(layout, per_domain):
    """Return a fleet with ``layout`` like ``"a1 a2 b1"`` (region, failure domain)."""
    return Fleet(
        1,
        [
            NodeRecord(
                NodeId(f"{domain}-{i:03}", 1), Address("h", 1), domain, domain[0]
            )
            for domain in layout.split()
            for i in range(per_domain)
        ],
    )


def choose(fleet, name, **rest):
    domain = name.split("-")[0]
    return choose_witnesses(fleet, NodeId(name, 1), domain, domain[0], **rest)


def witness_domains(fleet, name, **rest):
    return [witness.vm.split("-")[0] for witness in choose(fleet, name, **rest)]


@pytest.mark.parametrize(
    ("layout", "per_domain", "expected"),
    [
        ("a1 a2 b1 b2 c1 c2", 3, ["a1", "a2", "bc"]),
        ("a1 a2 b1", 3, ["a1", "a2", "b1"]),
        ("a1 b1 b2", 3, ["a1", "a1", "b"]),
        ("a1 a2 a3", 3, ["a1", "a2", "a3"]),
        ("a1 a2", 3, ["a1", "a2", "a1"]),
        ("a1 a2 a3 b1", 1, ["a", "a", "b1"]),
        ("a1 b1 c1 d1", 1, ["bcd", "bcd", "bcd"]),
        ("a1", 4, ["a1", "a1", "a1"]),
        ("a1 a2 b1", 1, ["a2"]),
        ("a1", 2, ["a1"]),
        ("a1", 1, []),
    ],
)
def test_witnesses_are_chosen_by_location(layout, per_domain, expected):
    # Guards against a lease that ends with the loss of one other failure domain or of
    # the link to another region.
    fleet = fleet_of(layout, per_domain)
    found = witness_domains(fleet, "a1-000")
    assert len(found) == len(expected)
    for domain, wanted in zip(found, expected, strict=True):
        assert domain == wanted or (domain[0] in wanted and domain != "a1")
    chosen = choose(fleet, "a1-000")
    assert len({witness.vm for witness in chosen} - {"a1-000"}) == len(expected)


def test_every_node_is_a_witness_of_about_three_others():
    # Guards against a node that is a witness of so many others that it exceeds its
    # budget for control traffic.
    fleet = fleet_of("a1 a2 b1 b2 c1 c2", 80)
    load = Counter(w for r in fleet for w in choose(fleet, r.node.vm))
    assert sum(load.values()) == 3 * 480
    assert len(load) > 0.9 * 480
    assert max(load.values()) <= 12


def test_a_replacement_changes_only_the_avoided_witness():
    # Guards against further changes, each of which would make the lease depend on more
    # nodes at once.
    fleet = fleet_of("a1 a2 b1 b2", 10)
    before = choose(fleet, "a1-000")
    for lost in before:
        after = choose(fleet, "a1-000", avoid={lost}, keep=set(before) - {lost})
        assert len(set(after) & set(before)) == 2
        assert lost not in after


def test_too_few_other_nodes_do_not_shrink_the_set():
    # Guards against a set of two witnesses, which needs both of them. A set of three
    # needs any two, even if the third is the lost one.
    fleet = fleet_of("a1", 4)
    lost = NodeId("a1-001", 1)
    chosen = choose(fleet, "a1-000", avoid={lost})
    assert len(chosen) == 3
    assert chosen[2] == lost


def test_only_the_latest_active_incarnations_are_chosen():
    # Guards against a witness that is fenced, leaving or replaced by a restart.
    fleet = fleet_of("a1", 5)
    fleet = fleet.fence(NodeId("a1-001", 1), 5).mark_leaving(NodeId("a1-002", 1))
    restarted = NodeRecord(NodeId("a1-003", 2), Address("h", 1), "a1", "a")
    chosen = choose(fleet.join(restarted), "a1-000")
    assert chosen in [(NodeId("a1-003", 2),), (NodeId("a1-004", 1),)]
