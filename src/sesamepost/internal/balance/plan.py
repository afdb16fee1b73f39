"""Input and output types of the planner, and applying a plan to an assignment."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment


class CapacityState(StrEnum):
    """Whether the endpoint of a node may own keys.

    ``LEAVING`` means a planned restart: the VM is expected to return with another
    incarnation. Under the restart policy ``wait``, the controller continues to list the
    old incarnation as ``LEAVING`` until the new one announces the service or
    ``restart_wait_s`` has passed. ``DRAINING`` means a VM that operators take out of
    service for longer. ``FAILING`` means an endpoint whose health requires ejection.
    """

    IN_SERVICE = "in_service"
    LEAVING = "leaving"
    DRAINING = "draining"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """The capacity and state of a node that is neither fenced nor gone.

    ``slots`` is the capacity that the cold-start ramp currently allows. ``full_slots``
    is the capacity after the ramp, or None if the ramp has ended.
    """

    node: NodeId
    failure_domain: str
    region: str
    slots: float
    state: CapacityState = CapacityState.IN_SERVICE
    full_slots: float | None = None


@dataclass(frozen=True, slots=True)
class Loads:
    """Estimated loads of one service, in requests/s.

    ``partitions`` has one rate for each partition, or is empty before any report. The
    rate of a partition includes its hot keys, except those with an override. ``keys``
    maps the hashes of hot keys to their rates. ``partition_keys`` maps partitions to
    their number of keys where it is known. ``unavailable_s`` is the expected
    unavailable time of one planned move. ``unreported`` contains the nodes whose load
    is not known well enough for balance moves; their keys with an override are not
    considered cold. Rates for these nodes are guesses, which suffice to place items
    that must move.
    """

    partitions: Sequence[float] = ()
    keys: Mapping[int, float] = field(default_factory=dict)
    partition_keys: Mapping[int, int] = field(default_factory=dict)
    unavailable_s: float = 0.1
    unreported: frozenset[NodeId] = frozenset()


class ItemKind(StrEnum):
    """What a move transfers; ``KEY_RETURN`` removes the override of a hot key."""

    PARTITION = "partition"
    KEY = "key"
    KEY_RETURN = "key_return"


class Reason(StrEnum):
    """Why an item changes its owner."""

    OWNER_LOST = "owner_lost"
    OWNER_LEAVING = "owner_leaving"
    OWNER_DRAINING = "owner_draining"
    OWNER_FAILING = "owner_failing"
    NEW_NODE = "new_node"
    KEY_HOT = "key_hot"
    KEY_COLD = "key_cold"
    IMBALANCE = "imbalance"


@dataclass(frozen=True, slots=True)
class Move:
    """A change of the owner of one partition or hot key.

    ``item`` is a partition number or the hash of a key, depending on ``kind``.
    ``source`` is None if the owner is gone, so that no release is needed.
    """

    kind: ItemKind
    item: int
    source: NodeId | None
    destination: NodeId
    reason: Reason


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one planning round for one service.

    The moves in ``assign`` need no release and lose the idempotency records; those in
    ``moves`` need a release by their source. ``unfinished`` is True if a limit of the
    round interrupted the balance moves; the caller passes it to the next round as
    ``continuing``. Moves of an earlier plan must be finished or abandoned before the
    next plan, since the planner does not know about releases.
    """

    assign: tuple[Move, ...] = ()
    moves: tuple[Move, ...] = ()
    unfinished: bool = False


def apply(plan: Plan, assignment: Assignment, next_version: int) -> Assignment:
    """Return a copy of ``assignment`` with all moves of ``plan`` applied.

    ``next_version`` is the version that the compare-and-swap will create. If only some
    of the releases have arrived, ``plan`` must be reduced to these.
    """
    changed = assignment.copy()
    changed.version = next_version
    for move in plan.assign:
        _apply_move(changed, move, next_version, records_kept=False)
    for move in plan.moves:
        _apply_move(changed, move, next_version, records_kept=True)
    return changed


def _apply_move(
    assignment: Assignment, move: Move, version: int, records_kept: bool
) -> None:
    match move.kind:
        case ItemKind.PARTITION:
            assignment.set_partition_owner(
                move.item, move.destination, version, records_kept
            )
        case ItemKind.KEY:
            assignment.set_key_owner(move.item, move.destination, version, records_kept)
        case ItemKind.KEY_RETURN:
            assignment.remove_key_owner(move.item, version, records_kept)
