"""Plans which partitions and hot keys change their owners.

Planning is a pure function, so that a new controller makes the same decisions as its
predecessor on the same input.
"""

from collections.abc import Sequence

from sesamepost.internal.balance.balancing import Balancer
from sesamepost.internal.balance.plan import (
    CapacityState,
    Loads,
    Move,
    NodeCapacity,
    Plan,
    Reason,
    apply,
)
from sesamepost.internal.balance.planning_state import ABSENT, PlanningState
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.model import RestartPolicy, Weights

__all__ = ["apply", "plan"]

# Endpoints are ejected only if at least this share remains in service. If more seem to
# fail at once, it is more likely that the reports are wrong.
MIN_IN_SERVICE_TO_EJECT = 0.5


def plan(
    assignment: Assignment,
    nodes: Sequence[NodeCapacity],
    loads: Loads,
    weights: Weights,
    restart: RestartPolicy,
    max_moves: int,
    *,
    continuing: bool = False,
) -> Plan:
    """Return the changes of owner for one round of one service.

    Items whose owner is gone come first, then those of nodes that leave, drain or fail.
    ``max_moves`` limits neither of them: the former are not served until they are
    assigned, and the latter share one write and must finish within the stop timeout.
    Balance moves, at most ``max_moves``, are made only in a round without any of these,
    because loads reported before a loss say little about the loads after it.

    A balance move of an item from node a to node b must satisfy::

        gain / 0.1 x weights.imbalance
            > keys x weights.churn + load x unavailable_s x weights.unavailable

    ``load`` and ``keys`` are the load and the number of keys of the item, relative to
    those of the mean node. ``gain`` is ``load x (r_a - r_b - load)``, where r is the
    load per slot of a node relative to the mean. This is half the decrease of the sum
    of squares of the relative loads. The 0.1 sets the units: with weights of 1, a
    partition of average size moves as soon as the loads of the two nodes differ by more
    than its own load plus 10% of the mean, plus 1% for each 0.1 s of unavailable time.

    Hysteresis: a series of moves starts only if one move satisfies the condition with
    r_a about a tenth lower and its cost about a tenth higher (``START_MARGIN``), which
    noise of 5% in the loads cannot cause. The series then continues until no move
    satisfies the plain condition. ``continuing`` is True if the limits of the previous
    round interrupted it (``Plan.unfinished``).
    """
    if max_moves < 0:
        raise ValueError(f"max_moves must be 0 or more, not {max_moves}")
    planning_state = PlanningState(assignment, nodes, loads)
    if not planning_state.targets:
        return Plan()
    balancer = Balancer(planning_state, loads, weights, max_moves)
    assign = _assign_lost(planning_state, restart)
    in_service = (
        planning_state.nodes[planning_state.targets[0]].state
        is CapacityState.IN_SERVICE
    )
    moves = _evacuate(planning_state, restart, balancer) if in_service else []
    if assign or moves or not in_service:
        return Plan(tuple(assign), tuple(moves), unfinished=continuing)
    return balancer.run(continuing)


def _assign_lost(planning_state: PlanningState, restart: RestartPolicy) -> list[Move]:
    """Assign every item whose owner is gone to a node.

    Under the policy ``wait``, the items of a VM go back to its next incarnation. A hot
    key whose owner is lost keeps its override, since returning the key would restart
    the record coverage of its whole partition.
    """
    moves = []
    if restart is RestartPolicy.WAIT:
        moves = _assign_to_next_incarnations(planning_state)
    partitions = [
        partition
        for partition, owner in enumerate(planning_state.owner)
        if owner == ABSENT
    ]
    keys = [key for key, owner in planning_state.key_owner.items() if owner == ABSENT]
    return moves + planning_state.spread(partitions, keys, {ABSENT: Reason.OWNER_LOST})


def _assign_to_next_incarnations(planning_state: PlanningState) -> list[Move]:
    node_of_vm = {
        planning_state.node_id(target).vm: target for target in planning_state.targets
    }
    nodes = planning_state.assignment.nodes
    moves = []
    for partition, owner in enumerate(planning_state.owner):
        if owner != ABSENT:
            continue
        previous = planning_state.assignment.owner_of_partition(partition)
        if previous is None or previous.vm not in node_of_vm:
            continue
        target = node_of_vm[previous.vm]
        moves.append(
            planning_state.move_partition(partition, target, Reason.OWNER_LOST)
        )
    for key, owner in list(planning_state.key_owner.items()):
        vm = nodes[planning_state.assignment.key_overrides[key].owner].vm
        if owner == ABSENT and vm in node_of_vm:
            moves.append(
                planning_state.move_key(key, node_of_vm[vm], Reason.OWNER_LOST)
            )
    return moves


def _evacuate(
    planning_state: PlanningState, restart: RestartPolicy, balancer: Balancer
) -> list[Move]:
    """Move the items of nodes that leave, drain or fail to nodes in service."""
    reasons = _reasons_to_evacuate(planning_state, restart)
    if not reasons:
        return []
    keys = [key for key, owner in planning_state.key_owner.items() if owner in reasons]
    moves = []
    for key in balancer.cold_keys(keys):
        if planning_state.owner[planning_state.assignment.partition_of(key)] in reasons:
            continue
        moves.append(
            planning_state.return_key(key, reasons[planning_state.key_owner[key]])
        )
    keys = [key for key in keys if key in planning_state.key_owner]
    partitions = [
        partition
        for partition, owner in enumerate(planning_state.owner)
        if owner in reasons
    ]
    return moves + planning_state.spread(partitions, keys, reasons)


def _reasons_to_evacuate(
    planning_state: PlanningState, restart: RestartPolicy
) -> dict[int, Reason]:
    """Return the nodes whose items must be moved away, and why."""
    in_service = sum(
        item.state is CapacityState.IN_SERVICE for item in planning_state.nodes
    )
    may_eject = in_service >= MIN_IN_SERVICE_TO_EJECT * len(planning_state.nodes)
    reasons = {}
    for index, capacity in enumerate(planning_state.nodes):
        match capacity.state:
            case CapacityState.DRAINING:
                reasons[index] = Reason.OWNER_DRAINING
            case CapacityState.LEAVING if restart is RestartPolicy.MOVE:
                reasons[index] = Reason.OWNER_LEAVING
            case CapacityState.FAILING if may_eject:
                reasons[index] = Reason.OWNER_FAILING
    return reasons
