"""Decides which partitions and hot keys change owner.

The decision is a pure function, so a controller that takes over decides the same as
its predecessor on the same input.
"""

from collections.abc import Sequence

from sesamepost.internal.balance.balancing import Balancer
from sesamepost.internal.balance.placement import ABSENT, Placement
from sesamepost.internal.balance.plan import (
    Loads,
    Move,
    NodeCapacity,
    NodeState,
    Plan,
    Reason,
    apply,
)
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.model import RestartPolicy, Weights

__all__ = ["apply", "plan"]

# Ejection needs at least this share of the endpoints to remain in service. If more
# seem to fail at once, the reports are the more likely fault.
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

    Items without a living owner come first, then those of nodes that leave, drain or
    fail. Neither is limited by ``max_moves``: the former are not served until they are
    assigned, and the latter share one write and have to end within the stop timeout.
    Balance moves, at most ``max_moves``, are made only in a round without either,
    because loads reported before a loss say little about the time after it.

    A balance move of an item from node a to node b needs::

        gain / 0.1 x weights.imbalance
            > keys x weights.churn + load x unavailable_s x weights.unavailable

    ``load`` is the item's load as a share of the mean node's, and ``keys`` its number
    of keys as a share of the mean node's. ``gain`` is ``load x (r_a - r_b - load)``,
    with r a node's load for each slot relative to the mean: half the decrease of the
    sum of squares of the relative loads. The 0.1 sets the units: with weights of 1, a
    partition of average size moves as soon as the two nodes then differ by more than
    10% of the mean, plus 1% for each 0.1 s without service.

    Hysteresis: a series of moves starts only if one move meets the condition with r_a
    lower by a tenth and its cost higher by as much, which noise of 5% in the loads
    cannot bring about. A series then goes on until no move meets the plain condition;
    ``continuing`` says that the limits of the previous round interrupted it
    (``Plan.unfinished``).
    """
    if max_moves < 0:
        raise ValueError(f"max_moves must be 0 or more, not {max_moves}")
    placement = Placement(assignment, nodes, loads)
    if not placement.targets:
        return Plan()
    balancer = Balancer(placement, loads, weights, max_moves)
    assign = _assign_lost(placement, restart)
    in_service = placement.nodes[placement.targets[0]].state is NodeState.IN_SERVICE
    moves = _evacuate(placement, restart, balancer) if in_service else []
    if assign or moves or not in_service:
        return Plan(tuple(assign), tuple(moves), unfinished=continuing)
    return balancer.run(continuing)


def _assign_lost(placement: Placement, restart: RestartPolicy) -> list[Move]:
    """Give every item without a living owner to a node.

    Under the policy ``wait`` a VM's partitions go back to its next incarnation. A lost
    hot key keeps its exception: returning it would restart the record coverage of its
    whole partition.
    """
    moves = []
    if restart is RestartPolicy.WAIT:
        moves = _assign_to_next_incarnations(placement)
    partitions = [
        partition for partition, owner in enumerate(placement.owner) if owner == ABSENT
    ]
    keys = [key for key, owner in placement.key_owner.items() if owner == ABSENT]
    return moves + placement.spread(partitions, keys, {ABSENT: Reason.OWNER_LOST})


def _assign_to_next_incarnations(placement: Placement) -> list[Move]:
    node_of_vm = {placement.node_id(target).vm: target for target in placement.targets}
    nodes = placement.assignment.nodes
    moves = []
    for partition, owner in enumerate(placement.owner):
        if owner != ABSENT:
            continue
        previous = placement.assignment.owner_of_partition(partition)
        if previous is None or previous.vm not in node_of_vm:
            continue
        target = node_of_vm[previous.vm]
        moves.append(placement.move_partition(partition, target, Reason.OWNER_LOST))
    for key, owner in list(placement.key_owner.items()):
        vm = nodes[placement.assignment.exceptions[key].owner].vm
        if owner == ABSENT and vm in node_of_vm:
            moves.append(placement.move_key(key, node_of_vm[vm], Reason.OWNER_LOST))
    return moves


def _evacuate(
    placement: Placement, restart: RestartPolicy, balancer: Balancer
) -> list[Move]:
    """Move the items of nodes that stop or fail, if a node in service remains."""
    reasons = _reasons_to_evacuate(placement, restart)
    if not reasons:
        return []
    keys = [key for key, owner in placement.key_owner.items() if owner in reasons]
    moves = []
    for key in balancer.cold_keys(keys):
        if placement.owner[placement.assignment.partition_of(key)] in reasons:
            continue
        moves.append(placement.return_key(key, reasons[placement.key_owner[key]]))
    keys = [key for key in keys if key in placement.key_owner]
    partitions = [
        partition for partition, owner in enumerate(placement.owner) if owner in reasons
    ]
    return moves + placement.spread(partitions, keys, reasons)


def _reasons_to_evacuate(
    placement: Placement, restart: RestartPolicy
) -> dict[int, Reason]:
    """Return the nodes whose items are to be moved away, with the reason."""
    in_service = sum(item.state is NodeState.IN_SERVICE for item in placement.nodes)
    may_eject = in_service >= MIN_IN_SERVICE_TO_EJECT * len(placement.nodes)
    reasons = {}
    for index, capacity in enumerate(placement.nodes):
        match capacity.state:
            case NodeState.DRAINING:
                reasons[index] = Reason.OWNER_DRAINING
            case NodeState.LEAVING if restart is RestartPolicy.MOVE:
                reasons[index] = Reason.OWNER_LEAVING
            case NodeState.FAILING if may_eject:
                reasons[index] = Reason.OWNER_FAILING
    return reasons
