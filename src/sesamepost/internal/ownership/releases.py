"""The items that this daemon has released and the requests still in flight."""

from collections import Counter

from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.items import Item


class ReleaseTable:
    """The releases and the requests in flight of one daemon.

    A release assures the controller that this daemon no longer serves the item under
    the given epoch or a lower one. It is kept until an assignment has a higher epoch
    for the item.
    """

    def __init__(self) -> None:
        self.epochs: dict[Item, int] = {}
        self.incomplete: set[Item] = set()
        # A request is counted both for the item under which it is served and for its
        # key, because a hot key can be released separately from its partition.
        self.in_flight: Counter[Item] = Counter()
        self.keys_in_flight: Counter[tuple[str, int]] = Counter()

    def begin(self, item: Item, epoch: int) -> bool:
        """Stop serving ``item`` under ``epoch``; return whether it is idle already.

        Repeating a release is safe. A release of an epoch that a newer assignment has
        superseded has no effect.
        """
        self.epochs[item] = max(epoch, self.epochs.get(item, 0))
        if self.is_idle(item):
            return True
        self.incomplete.add(item)
        return False

    def is_idle(self, item: Item) -> bool:
        """Return whether no request for ``item`` is in flight."""
        if item.is_key:
            return not self.keys_in_flight[item.service, item.number]
        return not self.in_flight[item]

    def is_released(self, item: Item, key_hash: int, epoch: int) -> bool:
        """Return whether the item, or the key on its own, is released at ``epoch``."""
        if self.epochs.get(item, -1) >= epoch:
            return True
        return self.epochs.get(Item(item.service, True, key_hash), -1) >= epoch

    def enter(self, item: Item, key_hash: int) -> None:
        """Count a request as in flight, before its idempotency record is created."""
        self.in_flight[item] += 1
        self.keys_in_flight[item.service, key_hash] += 1

    def leave(self, item: Item, key_hash: int) -> list[Item]:
        """Stop counting a request whose idempotency record is finished.

        Returns the released items that have become idle with it; their records can now
        be exported.
        """
        _decrement(self.in_flight, item)
        _decrement(self.keys_in_flight, (item.service, key_hash))
        complete = [
            released
            for released in (item, Item(item.service, True, key_hash))
            if released in self.incomplete and self.is_idle(released)
        ]
        self.incomplete.difference_update(complete)
        return list(dict.fromkeys(complete))

    def discard_superseded(self, assignment: Assignment) -> None:
        """Drop the releases that ``assignment`` has superseded with a higher epoch."""
        for item, epoch in list(self.epochs.items()):
            if item.service != assignment.service:
                continue
            if _epoch_of(assignment, item) > epoch:
                del self.epochs[item]
                self.incomplete.discard(item)

    def released(self) -> list[tuple[Item, int]]:
        """Return the released items and their epochs for the load report.

        A new controller grants these items again if their owner has not changed.
        """
        return sorted(self.epochs.items())


def _epoch_of(assignment: Assignment, item: Item) -> int:
    if item.is_key:
        return assignment.find(item.number).epoch
    return assignment.epochs[item.number]


def _decrement(counter: Counter, name) -> None:
    if counter[name] < 1:
        raise ValueError(f"no request of {name} is in flight")
    counter[name] -= 1
    if not counter[name]:
        del counter[name]
