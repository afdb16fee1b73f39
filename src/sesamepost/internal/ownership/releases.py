"""Which items this daemon has given up, and which requests still run for them."""

from collections import Counter

from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.items import Item


class ReleaseTable:
    """Releases and requests in flight of one daemon.

    A release is a promise to the controller: under the epoch that it names, or a lower
    one, this daemon serves the item no more. It is kept until an assignment shows a
    higher epoch.
    """

    def __init__(self) -> None:
        self.epochs: dict[Item, int] = {}
        self.incomplete: set[Item] = set()
        # One request counts once for the item that it was served under and once for
        # its key, because a key can be released apart from its partition.
        self.in_flight: Counter[Item] = Counter()
        self.keys_in_flight: Counter[tuple[str, int]] = Counter()

    def begin(self, item: Item, epoch: int) -> bool:
        """Serve ``item`` no more under ``epoch``; True if nothing is in flight for it.

        Repeating a release is safe. A release of an epoch that a newer assignment has
        replaced has no effect.
        """
        self.epochs[item] = max(epoch, self.epochs.get(item, 0))
        if self.is_idle(item):
            return True
        self.incomplete.add(item)
        return False

    def is_idle(self, item: Item) -> bool:
        """Tell whether no request of ``item`` is in flight."""
        if item.is_key:
            return not self.keys_in_flight[item.service, item.number]
        return not self.in_flight[item]

    def is_released(self, item: Item, key_hash: int, epoch: int) -> bool:
        """Tell whether the item, or the key apart from its partition, is released."""
        if self.epochs.get(item, -1) >= epoch:
            return True
        return self.epochs.get(Item(item.service, True, key_hash), -1) >= epoch

    def enter(self, item: Item, key_hash: int) -> None:
        """Count a request, before its idempotency record is begun."""
        self.in_flight[item] += 1
        self.keys_in_flight[item.service, key_hash] += 1

    def leave(self, item: Item, key_hash: int) -> list[Item]:
        """Forget a request whose record is finished.

        Returns the releases that became complete with it; their records can be
        exported now.
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
        """Drop releases of epochs below those of the newest assignment."""
        for item, epoch in list(self.epochs.items()):
            if item.service != assignment.service:
                continue
            if _epoch_of(assignment, item) > epoch:
                del self.epochs[item]
                self.incomplete.discard(item)

    def released(self) -> list[tuple[Item, int]]:
        """Return what the next controller has to grant anew, for load reports."""
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
