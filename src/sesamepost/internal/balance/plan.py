"""The planner's typed input and output, and how a plan changes an assignment."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment


class NodeState(StrEnum):
    """Whether a node's endpoint may own keys.

    ``LEAVING`` is a planned restart: the VM is expected back with another
    incarnation. Under the restart policy ``wait`` the controller keeps listing the old
    incarnation as ``LEAVING`` until the new one announces the service or
    ``restart_wait_s`` has passed. ``DRAINING`` is a VM that operators take out of
    service for longer. ``FAILING`` is an endpoint whose health calls for ejection.
    """

    IN_SERVICE = "in_service"
    LEAVING = "leaving"
    DRAINING = "draining"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """A node that is neither fenced nor gone, as the planner sees it.

    ``slots`` is the capacity that the cold-start ramp allows so far; ``full_slots`` the
    one after it, None if the ramp has ended.
    """

    node: NodeId
    failure_domain: str
    region: str
    slots: float
    state: NodeState = NodeState.IN_SERVICE
    full_slots: float | None = None


@dataclass(frozen=True, slots=True)
class Loads:
    """Estimated loads of one service, in requests/s.

    ``partitions`` has one rate for each partition, or is empty before any report. A
    partition's rate contains those of its hot keys, except keys that have an exception.
    ``keys`` maps the hashes of hot keys to their rates. ``partition_keys`` holds the
    number of keys of the partitions for which it is known. ``unavailable_s`` is the
    expected time without service of one planned move. ``unreported`` names nodes whose
    load is not known well enough for balance moves; their exceptions are not taken for
    cold. Rates for them are guesses, good enough to place items that must move.
    """

    partitions: Sequence[float] = ()
    keys: Mapping[int, float] = field(default_factory=dict)
    partition_keys: Mapping[int, int] = field(default_factory=dict)
    unavailable_s: float = 0.1
    unreported: frozenset[NodeId] = frozenset()


class ItemKind(StrEnum):
    """What a move transfers; ``KEY_RETURN`` ends the exception of a hot key."""

    PARTITION = "partition"
    KEY = "key"
    KEY_RETURN = "key_return"


class Reason(StrEnum):
    """Why an item changes owner."""

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
    """One partition or hot key that changes owner.

    ``item`` is a partition number or a key's hash, according to ``kind``. ``source`` is
    None if there is no living owner, so that no release is needed.
    """

    kind: ItemKind
    item: int
    source: NodeId | None
    destination: NodeId
    reason: Reason


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one planning round for one service.

    ``assign`` needs no release and loses the idempotency records; ``moves`` need a
    release by their source. ``unfinished`` says that a limit of the round cut balance
    moves short; the caller passes it to the next round as ``continuing``. A caller with
    moves of an earlier plan under way finishes or abandons them before it plans again,
    since the planner knows nothing of releases.
    """

    assign: tuple[Move, ...] = ()
    moves: tuple[Move, ...] = ()
    unfinished: bool = False


def apply(plan: Plan, assignment: Assignment, next_version: int) -> Assignment:
    """Return a copy of ``assignment`` with all of ``plan`` done.

    ``next_version`` is the version that the compare-and-swap will create. A caller that
    has only some of the releases passes a plan reduced to those.
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
