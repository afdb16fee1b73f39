"""What is owned as one unit: a partition, or a hot key that has its own owner."""

from collections.abc import Callable
from typing import NamedTuple

from sesamepost.internal.ownership.assignment import Assignment


class Item(NamedTuple):
    """A partition of a service, or one hot key by its hash."""

    service: str
    is_key: bool
    number: int

    def __str__(self) -> str:
        kind = f"key {self.number:016x}" if self.is_key else f"partition {self.number}"
        return f"{self.service} {kind}"

    @property
    def fence_name(self) -> str:
        """The value of ``Sesamepost-Partition``, within which epochs only rise.

        A hot key has a name of its own. If it shared that of its partition, a node
        that owns both would send the lower of the two epochs after the higher one, and
        a fenced endpoint would refuse it.
        """
        return f"key-{self.number:016x}" if self.is_key else str(self.number)


def item_of(assignment: Assignment, key_hash: int) -> Item:
    """Return the item whose owner serves the key with this hash."""
    if key_hash in assignment.key_overrides:
        return Item(assignment.service, True, key_hash)
    return Item(assignment.service, False, assignment.partition_of(key_hash))


def key_hash_filter(assignment: Assignment, item: Item) -> Callable[[int], bool]:
    """Return a predicate that tells whether a key's hash belongs to ``item``.

    Hot keys with their own owner do not belong to their partition.
    """
    if item.is_key:
        return lambda key_hash: key_hash == item.number
    return lambda key_hash: (
        assignment.partition_of(key_hash) == item.number
        and key_hash not in assignment.key_overrides
    )
