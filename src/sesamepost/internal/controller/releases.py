"""Planned moves that wait until the present owner has released the item."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesamepost.internal.balance.plan import ItemKind, Move, Plan, apply
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.items import Item
from sesamepost.internal.ownership.messages import Release, Released

RELEASE_REPEAT_INTERVAL_S = 0.5


@dataclass(slots=True)
class PendingMove:
    """A move whose source is asked to release the item under ``epoch``."""

    item: Item
    move: Move
    epoch: int
    requested_at: float = float("-inf")
    is_released: bool = False
    records_kept: bool = False


class PendingMoves:
    """The moves of all services that are planned but not yet written."""

    __slots__ = ("moves",)

    def __init__(self) -> None:
        self.moves: dict[Item, PendingMove] = {}

    def add(self, assignment: Assignment, moves: Iterable[Move]) -> None:
        """Add moves, except for items that are already being moved."""
        for move in moves:
            item = item_of_move(assignment.service, move)
            if item in self.moves:
                continue
            epoch = epoch_of(assignment, item)
            self.moves[item] = PendingMove(item, move, epoch)

    def expected_assignment(self, assignment: Assignment) -> Assignment:
        """Return the assignment as it will be once all pending moves are written.

        The planner works on this assignment, so that it does not move a load twice.
        """
        moves = [p.move for p in self.moves.values() if self._concerns(p, assignment)]
        if not moves:
            return assignment
        return apply(Plan(moves=tuple(moves)), assignment, assignment.version + 1)

    def drop_outdated(self, assignment: Assignment, fleet: Fleet) -> None:
        """Drop moves whose item has another epoch or whose nodes are no longer live."""
        for item, pending in list(self.moves.items()):
            if not self._concerns(pending, assignment):
                continue
            if (
                epoch_of(assignment, item) != pending.epoch
                or fleet.live(pending.move.source) is None
                or fleet.live(pending.move.destination) is None
            ):
                del self.moves[item]

    def releases_due(self, now: float) -> list[tuple[NodeId, Release]]:
        """Return the release requests due at ``now``, each with its recipient."""
        due = []
        for pending in self.moves.values():
            if (
                pending.is_released
                or now - pending.requested_at < RELEASE_REPEAT_INTERVAL_S
            ):
                continue
            pending.requested_at = now
            release = Release(*pending.item, pending.epoch, pending.move.destination)
            due.append((pending.move.source, release))
        return due

    def receive(self, released: Released) -> bool:
        """Record that an owner released an item; return False if no move expects it."""
        item = Item(released.service, released.is_key, released.item)
        pending = self.moves.get(item)
        if pending is None or pending.epoch != released.epoch:
            return False
        if pending.move.destination != released.target:
            return False
        pending.is_released = True
        pending.records_kept = released.records_kept
        return True

    def completed(self, service: str) -> list[PendingMove]:
        """Return the released moves of a service, which can now be written."""
        return [
            pending
            for pending in self.moves.values()
            if pending.is_released and pending.item.service == service
        ]

    def remove(self, written: Iterable[PendingMove]) -> None:
        """Remove moves that have been written."""
        for pending in written:
            self.moves.pop(pending.item, None)

    def _concerns(self, pending: PendingMove, assignment: Assignment) -> bool:
        return pending.item.service == assignment.service


def item_of_move(service: str, move: Move) -> Item:
    """Return the item that a move transfers."""
    return Item(service, move.kind is not ItemKind.PARTITION, move.item)


def epoch_of(assignment: Assignment, item: Item) -> int:
    """Return the epoch of an item in an assignment."""
    if not item.is_key:
        return assignment.epochs[item.number]
    return assignment.find(item.number).epoch
