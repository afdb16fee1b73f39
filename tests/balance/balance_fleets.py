"""Builds fleets, loads and assignments for tests of the planner."""

from collections import Counter
from dataclasses import replace

from sesamepost.internal.balance.plan import Loads, NodeCapacity
from sesamepost.internal.balance.planner import apply, plan
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.model import RestartPolicy, Weights

EQUAL = Weights()
LAHORE = Weights(imbalance=1.0, churn=0.5, unavailable=20.0)
VALUATION = Weights(imbalance=1.0, churn=5.0, unavailable=1.0)


def fleet(count, slots=6.0, domains=6):
    return [
        NodeCapacity(NodeId(f"vm-{i:03}", i + 1), f"d{i % domains}", f"r{i % 3}", slots)
        for i in range(count)
    ]


def plan_round(assignment, nodes, loads=None, weights=EQUAL, **options):
    restart = options.pop("restart", RestartPolicy.MOVE)
    max_moves = options.pop("max_moves", 16)
    loads = Loads() if loads is None else loads
    return plan(assignment, nodes, loads, weights, restart, max_moves, **options)


def settle(assignment, nodes, loads=None, weights=EQUAL, **options):
    """Plan and apply rounds until nothing moves; fail after 400 rounds.

    ``loads`` may be a function of the assignment.
    """
    continuing = options.pop("continuing", False)
    for _ in range(400):
        current_loads = loads(assignment) if callable(loads) else loads
        result = plan_round(
            assignment, nodes, current_loads, weights, continuing=continuing, **options
        )
        if not result.assign and not result.moves:
            return assignment
        assignment = apply(result, assignment, assignment.version + 1)
        continuing = result.unfinished
    raise AssertionError("the planner still moves items after 400 rounds")


def with_hot_keys(assignment, loads, keys):
    """Return ``loads`` with hot keys; partitions include those without overrides."""
    rates = list(loads.partitions)
    for key, rate in keys.items():
        if key not in assignment.key_overrides:
            rates[assignment.partition_of(key)] += rate
    return replace(loads, partitions=rates, keys=keys)


def settled_assignment(nodes, partitions=512, loads=None, weights=EQUAL):
    return settle(Assignment("s", partitions), nodes, loads, weights)


def partitions_of(assignment, node):
    return {
        partition
        for partition in range(len(assignment))
        if assignment.owner_of_partition(partition) == node
    }


def partition_counts(assignment):
    return Counter(assignment.owner_of_partition(p) for p in range(len(assignment)))
