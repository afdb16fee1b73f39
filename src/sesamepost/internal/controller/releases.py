"""The planned moves that wait for a release by their present owner."""

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
    """A move whose owner was asked to release the item at ``epoch``."""

    item: Item
    move: Move
    epoch: int
    requested_at: float = float("-inf")
    is_released: bool = False
    records_kept: bool = False


class PendingMoves:
    """All moves of all services between the request to release and the write."""

    __slots__ = ("moves",)

    def __init__(self) -> None:
        self.moves: dict[Item, PendingMove] = {}

    def add(self, assignment: Assignment, moves: Iterable[Move]) -> None:
        """Start moves, except for items that move already."""
        for move in moves:
            item = item_of_move(assignment.service, move)
            if item in self.moves:
                continue
            epoch = epoch_of(assignment, item)
            self.moves[item] = PendingMove(item, move, epoch)

    def expected_assignment(self, assignment: Assignment) -> Assignment:
        """Return the assignment as it will be when all pending moves are written.

        The planner decides on this, so it does not move the same load twice.
        """
        moves = [p.move for p in self.moves.values() if self._concerns(p, assignment)]
        if not moves:
            return assignment
        return apply(Plan(moves=tuple(moves)), assignment, assignment.version + 1)

    def drop_outdated(self, assignment: Assignment, fleet: Fleet) -> None:
        """Forget moves whose item changed owner or whose nodes are gone."""
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
        """Return the releases to ask for now, with the owner to ask."""
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
        """Note that an owner stopped serving; False if nobody waits for it."""
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
        """Return the moves that can be written."""
        return [
            pending
            for pending in self.moves.values()
            if pending.is_released and pending.item.service == service
        ]

    def remove(self, written: Iterable[PendingMove]) -> None:
        """Forget moves that were written."""
        for pending in written:
            self.moves.pop(pending.item, None)

    def _concerns(self, pending: PendingMove, assignment: Assignment) -> bool:
        return pending.item.service == assignment.service


def item_of_move(service: str, move: Move) -> Item:
    """Return the item that a move transfers."""
    return Item(service, move.kind is not ItemKind.PARTITION, move.item)


def epoch_of(assignment: Assignment, item: Item) -> int:
    """Return the epoch under which an item is served at present."""
    if not item.is_key:
        return assignment.epochs[item.number]
    return assignment.find(item.number).epoch
